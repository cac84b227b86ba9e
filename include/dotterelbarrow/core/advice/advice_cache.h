// Caches the placement advisor's answers, that is, which workers may run which
// steps, and chooses the entry host that sends the next call to the advisor.
//
// The advisor serves one call per entry host at a time, so calls are
// distributed over the hosts by their expected duration.
#ifndef DOTTERELBARROW_CORE_ADVICE_ADVICE_CACHE_H_
#define DOTTERELBARROW_CORE_ADVICE_ADVICE_CACHE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::advice {

// Chooses the entry host for each call to the advisor, and tells when all hosts
// are busy.
//
// Load pattern: many short calls for urgent work, a few calls that take half a
// second, and a backlog of steps that all need advice at once. Calls are
// assigned one by one as hosts become free, so that the most urgent step is
// always next. Long and short calls use separate hosts: a short call never
// waits behind a long one, and a stream of short calls can't occupy all hosts
// and so delay a long one. While long calls occupy all of their hosts, they
// also use those hosts for short calls that the recent short calls don't need:
// gangs whose calls take more than a second otherwise wait for the advisor
// while a third of the fleet is idle. Overdue work borrows more of them: after
// a time without owner hundreds of overdue steps may need long calls, while
// there are no short ones.
class AdviceClientChooser {
 public:
  // A call expected to take at least this long is a long one: it would use up
  // half of the slack of work that is due within a second.
  static constexpr base::Duration kLongCall = std::chrono::milliseconds(200);
  // The next short call is sent this long before the host is expected to be
  // free, so that the advisor isn't idle during the round trip.
  static constexpr base::Duration kSendAhead = std::chrono::milliseconds(10);
  // How long a host is not used after a failed call: a host that is gone may
  // stay on the list of hosts for as long.
  static constexpr base::Duration kFailedHostPause = std::chrono::seconds(2);
  // The same while there is no other host for the call: then calls have failed
  // at all of them, more likely because connections broke than because all
  // hosts are gone. Doubles with each further failure, up to the above.
  static constexpr base::Duration kOnlyHostsPause =
      std::chrono::milliseconds(150);
  // After this long without a long call, the hosts for long calls also serve
  // short ones.
  static constexpr base::Duration kLongCallHostsRelease =
      std::chrono::seconds(5);

  // Hosts that are always left for short calls, which are enough for the
  // backlog of urgent steps of a small cell after a take-over.
  static constexpr std::size_t kMinShortHosts = 4;
  // The same beside calls for overdue work. More are left while recent short
  // calls need them.
  static constexpr std::size_t kMinShortHostsBesideOverdue = 1;
  // Hosts that are left for short calls, in units of the mean number of hosts
  // that such calls occupied lately. Bursts of urgent work are up to twice the
  // usual load, and a host lent to a long call is missing for over a second.
  static constexpr double kShortHostsFactor = 3.0;
  // Time constant of that mean.
  static constexpr base::Duration kShortLoadTime = std::chrono::seconds(3);

  // Whether the call is for work that can be on time.
  enum class CallFor { kOnTime, kOverdue };

  // Replaces the list of hosts. Hosts that were listed before keep their state.
  void SetHosts(const std::vector<base::EntryId>& hosts);
  // Returns a host that is free for a call expected to take `cost` and records
  // the call as in flight there; nullopt if no host is free.
  std::optional<base::EntryId> Choose(base::Duration cost, base::TimePoint now,
                                      CallFor call_for = CallFor::kOnTime);
  // Returns whether `Choose` would find a host.
  bool CanChoose(base::Duration cost, base::TimePoint now,
                 CallFor call_for = CallFor::kOnTime);
  // Records that the advisor has replied to a call of the host.
  void OnEnded(const base::EntryId& host, base::TimePoint now);
  // Records that a call of the host failed: the host is gone or can't reach the
  // advisor. It is not chosen for `kFailedHostPause`, or for less if there is
  // no other.
  void OnFailed(const base::EntryId& host, base::TimePoint now);

 private:
  struct Host {
    base::EntryId id;
    int calls = 0;
    // Whether it is one of the hosts for short calls and serves a long one.
    bool is_lent = false;
    // When the calls in flight are expected to be answered.
    base::TimePoint busy_until;
    base::TimePoint failed_until;
    // The end of the shorter pause, and the failures since the last reply.
    base::TimePoint retry_at;
    int failures = 0;
  };
  // Returns a free host, or null.
  Host* FindFree(base::Duration cost, base::TimePoint now, CallFor call_for);
  // Returns a free host for short calls that can be lent to a long call, or
  // null.
  Host* FindLent(std::size_t short_hosts, base::TimePoint now,
                 CallFor call_for);
  // A call of the host has ended in any way.
  static void RemoveCall(Host* host, base::TimePoint now);
  // Returns the mean number of hosts that short calls occupied lately.
  double ShortLoad(base::TimePoint now) const;
  // Returns null for a host that is not listed.
  Host* Find(const base::EntryId& id);

  // Sorted by id.
  std::vector<Host> hosts_;
  std::optional<base::TimePoint> last_long_call_;
  // The mean number of hosts that short calls for work on time occupied, as of
  // the time beside it. Those for overdue work reserve no hosts.
  double short_load_ = 0;
  base::TimePoint short_load_at_;
};

struct Ticket {
  std::string text;
  base::TimePoint valid_until;
};

// The tickets for one step, by worker. Iterates in the order of the workers'
// numbers.
class TicketTable {
 public:
  using Entry = std::pair<workers::WorkerNumber, Ticket>;

  // Replaces the worker's ticket if there is one.
  void Put(workers::WorkerNumber worker, Ticket ticket);
  // Returns null if there is none, not even an expired one.
  Ticket* Find(workers::WorkerNumber worker);
  // Returns whether there is one, valid or expired.
  bool contains(workers::WorkerNumber worker) const;
  std::size_t size() const { return entries_.size(); }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

 private:
  std::vector<Entry>::iterator LowerBound(workers::WorkerNumber worker);

  // Sorted by worker.
  std::vector<Entry> entries_;
};

// The advice received for one step.
struct StepAdvice {
  // Number of calls in flight.
  int calls_in_flight = 0;
  // Whether some call was answered, so that `allowed` can be used.
  bool has_answer = false;
  // All workers that the advisor allowed, with their tickets. Whether a worker
  // may run a step never changes, but tickets expire.
  TicketTable allowed;
  // All workers that the advisor was asked about.
  workers::WorkerSet queried_workers;
  // After a failed call: the next call is not sent before this time.
  base::TimePoint retry_at;
  int failed_calls = 0;
};

class AdviceCache {
 public:
  // Returns null if no call was made for the step.
  StepAdvice* Find(const jobs::StepRef& step);
  const StepAdvice* Find(const jobs::StepRef& step) const;
  StepAdvice& FindOrAdd(const jobs::StepRef& step) { return steps_[step]; }
  void Remove(const jobs::StepRef& step) { steps_.erase(step); }
  void Clear() { steps_.clear(); }
  std::size_t size() const { return steps_.size(); }

 private:
  std::unordered_map<jobs::StepRef, StepAdvice> steps_;
};

// Returns how long the advisor is expected to take for a call about this many
// workers.
base::Duration ExpectedCallDuration(const desired::AdvicePolicy& policy,
                                    std::size_t workers);

}  // namespace dotterelbarrow::core::advice

#endif  // DOTTERELBARROW_CORE_ADVICE_ADVICE_CACHE_H_
