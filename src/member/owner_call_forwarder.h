// Forwards calls to the owner of a shard, and retries them when the owner
// changes.
//
// If the outcome of a call at one owner is unknown, the next owner decides it:
// a replaced owner can no longer store anything, and the next owner reads all
// that it did store. So such a call is sent again as soon as another host owns
// the cell, if its caller still waits. A submission names the owner that it is
// for, so that a late copy isn't accepted by a later owner on the same host.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_CALL_FORWARDER_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_CALL_FORWARDER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "src/member/calls.h"
#include "src/member/rpc.h"

namespace dotterelbarrow::member {

// The address of the owner, as far as this host knows.
struct OwnerRoute {
  core::scheduler::FencingToken token;
  // Empty if this host is the owner.
  std::string address;
  // Whether the owner accepts calls. Known only if this host is the owner; the
  // answer of another host shows whether it does.
  bool is_ready = true;
};

class OwnerCallForwarder {
 public:
  using FindOwner = std::function<std::optional<OwnerRoute>()>;
  using HandleLocally =
      std::function<void(const OwnerCall&, const OwnerReply&)>;
  // Returns whether this host can reach neither the store nor the owner, so
  // that waiting for a later answer is pointless.
  using IsCutOff = std::function<bool()>;
  // Receives the encoded ownership record that a host which isn't the owner
  // included in its answer.
  using OwnerHint = std::function<void(const std::string& encoded_record)>;

  // Adds to the parameters of a call which shard it is for.
  using AddShard = std::function<void(Json::Value* params)>;

  // All arguments must outlive this.
  OwnerCallForwarder(const wire::EventLoop& loop, RpcClient* rpc,
                     core::scheduler::Telemetry telemetry, FindOwner find_owner,
                     HandleLocally handle_locally, IsCutOff is_cut_off,
                     OwnerHint owner_hint, AddShard add_shard);

  // Calls `reply` once, within the call time-out.
  void Call(const OwnerCall& call, OwnerReply reply);

  // Sets how long a call may remain without an outcome. For a process that is
  // about to exit.
  void set_call_timeout(base::Duration call_timeout) {
    call_timeout_ = call_timeout;
  }
  // How long a call that has had no effect yet waits for an owner that accepts
  // it.
  static constexpr base::Duration kOwnerWaitTimeout =
      std::chrono::milliseconds(700);
  // Answers all open calls at once: NoOwner for those that are guaranteed to
  // have had no effect, OutcomeUnknown for the others.
  void FinishAll();

 private:
  struct Pending {
    OwnerCall call;
    OwnerReply reply;
    base::TimePoint begun_at;
    // The fencing token of the owner that the call was last sent to, and
    // whether that attempt is still unanswered.
    core::scheduler::FencingToken sent_to;
    bool is_in_flight = false;
    int copies = 0;
    // An attempt was made whose outcome is unknown; `unknown_at` is the latest
    // owner of those at which one was.
    bool may_have_taken_effect = false;
    core::scheduler::FencingToken unknown_at{};
    // Set when an owner answers that it can't serve the call or is no longer
    // the owner: not sent again before this time.
    base::TimePoint next_try_at{};

    void SetOutcomeUnknown(core::scheduler::FencingToken owner) {
      may_have_taken_effect = true;
      unknown_at = std::max(unknown_at, owner);
    }
    // Whether the call is guaranteed to have had no effect.
    bool has_no_effect() const {
      return !is_in_flight && !may_have_taken_effect;
    }
  };

  // Returns whether to hold the call until there is an owner. Callers repeat
  // queries for counts anyway, and submissions wait for the answer whether jobs
  // are known, so these fail at once.
  static bool CanWaitForOwner(const OwnerCall& call);
  void Dispatch(std::uint64_t id);
  void OnRpc(std::uint64_t id, core::scheduler::FencingToken sent_to,
             const RpcResult& result);
  void OnAnswer(std::uint64_t id, core::scheduler::FencingToken sent_to,
                const OwnerAnswer& answer);
  void Finish(std::uint64_t id, const OwnerAnswer& answer);
  // Logs what the answer to a submission rests on, unless it is the first
  // copy's acceptance.
  void LogEnd(const Pending& pending, const OwnerAnswer& answer) const;
  // Ends the calls that have timed out, and sends again those that another
  // owner can decide.
  void Sweep();
  void ScheduleSweep();

  // Callers give up after 3 s; a later answer is of no use to them.
  base::Duration call_timeout_ = std::chrono::milliseconds(2400);
  RpcClient* rpc_;
  core::scheduler::Telemetry telemetry_;
  FindOwner find_owner_;
  HandleLocally handle_locally_;
  IsCutOff is_cut_off_;
  OwnerHint owner_hint_;
  AddShard add_shard_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_id_ = 0;
  wire::Timer sweep_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_CALL_FORWARDER_H_
