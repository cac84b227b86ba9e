// Brings calls to the owner, through a change of the owner if need be.
//
// A call whose outcome at one owner is unknown is decided by the next: what a
// replaced owner didn't store it can't store any more, and what it stored the
// next one knows. So such a call is sent again as soon as another host owns the
// cell, within the time that its caller waits.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_CALLS_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_CALLS_H_

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

// Where the owner is, as far as this host knows.
struct OwnerRoute {
  core::scheduler::FencingToken token;
  // Empty where this host is the owner.
  std::string address;
  // Whether it takes calls; another host finds that out by its answer.
  bool is_ready = true;
};

class OwnerCalls {
 public:
  using FindOwner = std::function<std::optional<OwnerRoute>()>;
  using HandleHere = std::function<void(const OwnerCall&, const OwnerReply&)>;
  // Whether this host hears neither from the store nor from the owner, so that
  // no later answer is to be hoped for.
  using IsCutOff = std::function<bool()>;
  // Takes the head, as text, that a host named which isn't the owner.
  using OwnerHint = std::function<void(const std::string& head)>;

  // All must outlive this.
  OwnerCalls(const wire::EventLoop& loop, RpcClient* rpc,
             core::scheduler::Telemetry telemetry, FindOwner find_owner,
             HandleHere handle_here, IsCutOff is_cut_off, OwnerHint owner_hint);

  // Calls `reply` once, within the patience.
  void Call(const OwnerCall& call, OwnerReply reply);

  // How long a call may go without an outcome; for a process that ends soon.
  void set_patience(base::Duration patience) { patience_ = patience; }
  // How long a call waits for an owner to whom it can go; nothing was done of
  // it yet.
  static constexpr base::Duration kOwnerPatience =
      std::chrono::milliseconds(700);
  // Ends all calls as unknown.
  void EndAll();

 private:
  struct Pending {
    OwnerCall call;
    OwnerReply reply;
    base::TimePoint begun;
    // To which owner it went last, and whether that try is still open.
    core::scheduler::FencingToken sent_to;
    bool is_under_way = false;
    // Some owner may have done something of it.
    bool may_be_done = false;
    // The last owner that answered said that it can't, or isn't it any more.
    base::TimePoint next_try{};

    // Whether surely nothing was done of it.
    bool is_untouched() const { return !is_under_way && !may_be_done; }
  };

  // Returns whether the call is worth holding while the owner changes; counts
  // are asked for again anyway.
  static bool CanWaitForOwner(const OwnerCall& call);
  void Dispatch(std::uint64_t id);
  void OnRpc(std::uint64_t id, core::scheduler::FencingToken sent_to,
             const RpcResult& result);
  void OnAnswer(std::uint64_t id, core::scheduler::FencingToken sent_to,
                const OwnerAnswer& answer);
  void End(std::uint64_t id, const OwnerAnswer& answer);
  void Sweep();
  void ArmSweep();

  // Callers wait 3 s; a later answer is of no use to them.
  base::Duration patience_ = std::chrono::milliseconds(2400);
  RpcClient* rpc_;
  core::scheduler::Telemetry telemetry_;
  FindOwner find_owner_;
  HandleHere handle_here_;
  IsCutOff is_cut_off_;
  OwnerHint owner_hint_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_id_ = 0;
  wire::Timer sweep_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_CALLS_H_
