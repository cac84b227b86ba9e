// Serves interactive requests on the runners that this entry host owns: starts
// them on free slots, queues them while no slot is free, and answers each
// exactly once.
//
// When a request arrives and the queue is full, the latest request of the team
// with the most queued requests relative to its share is refused. A request is
// refused on arrival if, estimated from the average run time of requests, it
// can't start before its deadline. A request that a runner refused is tried on
// another slot, within a retry budget. A request whose runner doesn't answer
// ends with outcome kUnknown and isn't sent again, because it may still be
// running.
#ifndef DOTTERELBARROW_SRC_CORE_RUNNER_DISPATCHER_H_
#define DOTTERELBARROW_SRC_CORE_RUNNER_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/config_controller.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/shard_owner.h"
#include "src/core/fair_queue.h"
#include "src/core/lost_runs.h"
#include "src/core/retry_budget.h"
#include "src/core/service_times.h"
#include "src/core/team_slices.h"
#include "src/core/timer_set.h"

namespace dotterelbarrow::core {

// Identifies a caller's request at the entry host that received it.
using PendingId = base::NumberId<struct PendingIdTag>;

// The origin of a request, to which its answer is sent: this entry host's
// router, or a peer.
struct FromRouter {
  PendingId pending;
};
struct FromForward {
  base::EntryId entry;
  base::CallId call;
};
using ServeOrigin = std::variant<FromRouter, FromForward>;

class RunnerDispatcher {
 public:
  // Called exactly once for each request. Answers are collected and only passed
  // on after a method has updated the dispatcher's state, so that the callback
  // may call the dispatcher again.
  using AnswerCallback = std::function<void(const ServeOrigin&, const Answer&,
                                            base::TimePoint now)>;

  // All objects pointed to must outlive this object.
  RunnerDispatcher(const NodeSettings* settings, Outbox* outbox,
                   Counters* counters, const ConfigController* config,
                   ShardOwner* owner, TeamSlices* slices,
                   AnswerCallback on_answer, base::TimePoint now);

  // Serves `request`. Its answer is passed to the callback, possibly before
  // this returns.
  void Serve(const ServeOrigin& origin, const WorkRequest& request,
             base::Duration time_left, base::TimePoint now);
  void OnRunResult(const RunResult& result, base::TimePoint now);
  // Starts queued requests as far as slots and quota slices allow. Call it when
  // slots or quota slices have become free.
  void Dispatch(base::TimePoint now);
  // Ends the requests that have passed their deadline or whose service has no
  // runner left.
  void Tick(base::TimePoint now);

  // Whether this entry host has a usable runner of `service`, or had one until
  // very recently (kRunnerGrace), which may only be unusable until it has been
  // claimed again.
  bool Serves(const base::ServiceId& service, base::TimePoint now) const;
  std::size_t queued() const { return queue_.size(); }
  bool is_idle() const { return items_.empty() && finished_.empty(); }

 private:
  // One attempt to run a request on a runner.
  struct Run {
    base::CallId call;
    SlotGrant slot;
    base::TaskId task;
    base::TimePoint started;
  };
  struct Item {
    ServeOrigin origin;
    WorkRequest request;
    base::TimePoint arrived;
    base::TimePoint deadline;
    std::uint32_t retries = 0;
    // Set while the request is sent to a runner; otherwise the request is in
    // the queue.
    std::optional<Run> run;
  };

  const config::Catalogue& catalogue() const { return config_->catalogue(); }
  double Share(const base::TeamId& team) const;
  std::optional<double> Rank(const base::TeamId& team) const;

  // Returns a refusal if `request` can't be served here at all, or nothing.
  std::optional<Answer> Precheck(const WorkRequest& request,
                                 base::TimePoint now) const;
  void UpdateRunnersSeen(base::TimePoint now);
  void Enqueue(ServeId id, base::TimePoint now);
  void Dequeue(ServeId id);
  // Applies the limits of the queue after `id` was added: refuses `id` or
  // another request if the queue is too long, and `id` if it can't start before
  // its deadline.
  void EnforceQueueLimits(ServeId id, base::TimePoint now);
  base::Duration EstimateWait(const Item& item) const;
  base::Duration DrainTime(const base::ServiceId& service) const;

  // Refreshes the count of lost runs if needed. Must be called before any
  // request is started.
  void RefreshLostRuns(base::TimePoint now);
  void DispatchService(const base::ServiceId& service, base::TimePoint now);
  // Starts a queued request. Returns false if no slot could be taken.
  bool Start(ServeId id, base::TimePoint now);
  void EndRun(ServeId id, const RunResult& result, base::TimePoint now);
  // Retries or ends a request whose run didn't start or whose result was lost.
  void RetryOrEnd(ServeId id, const RunResult& result, base::TimePoint now);
  void RefuseUnservable(base::TimePoint now);
  // Removes a request from the queue and ends it with a refusal.
  void Refuse(ServeId id, Reason reason, std::string detail,
              base::Duration retry_after);
  void Finish(ServeId id, Answer answer);
  // Passes the collected answers to the callback.
  void Flush(base::TimePoint now);

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const ConfigController* config_;
  ShardOwner* owner_;
  TeamSlices* slices_;
  LostRuns lost_runs_;
  AnswerCallback on_answer_;
  RetryBudget budget_;
  ServiceTimes times_;
  // When each requested service last had a usable runner here.
  std::map<base::ServiceId, base::TimePoint> runner_seen_;
  ServeId last_id_;
  // Invariant: each request is either in `queue_` or, under the call id of its
  // run, in `runs_`, and is counted in `slices_` as waiting or running
  // accordingly.
  std::unordered_map<ServeId, Item> items_;
  std::unordered_map<base::CallId, ServeId> runs_;
  FairQueue queue_;
  TimerSet<ServeId> timers_;
  std::vector<std::pair<ServeOrigin, Answer>> finished_;
  bool flushing_ = false;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_RUNNER_DISPATCHER_H_
