// Queues the outputs of the core until the driver takes them.
#ifndef DOTTERELBARROW_CORE_OUTBOX_H_
#define DOTTERELBARROW_CORE_OUTBOX_H_

#include <utility>
#include <vector>

#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

// One outbox is shared by all controllers of a node. Controllers send messages
// to their own node as to any peer; the node delivers those itself, without the
// driver.
class Outbox {
 public:
  // Call ids start at a value derived from `incarnation`, so that a late reply
  // to a call of an earlier incarnation, or a copy of such a call, matches no
  // call of this one. Each restart of the process must use a higher
  // incarnation.
  explicit Outbox(base::Incarnation incarnation = base::Incarnation())
      : last_call_(incarnation.value() << kCallBits) {}
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  // Queues `output`.
  void Send(Output output) { outputs_.push_back(std::move(output)); }

  // Queues `message` for the peer `to`.
  void SendToPeer(base::EntryId to, PeerMessage message) {
    Send(ToPeer{std::move(to), std::move(message)});
  }

  // Returns a new call id, higher than all that this node has used before.
  base::CallId NextCall() { return last_call_ = last_call_.next(); }

  // Removes and returns all queued outputs.
  std::vector<Output> Take() { return std::exchange(outputs_, {}); }

 private:
  // Each incarnation has 2^kCallBits call ids.
  static constexpr int kCallBits = 20;

  std::vector<Output> outputs_;
  base::CallId last_call_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_OUTBOX_H_
