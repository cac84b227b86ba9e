// The workers of one owner: claims them, keeps their leases, follows each run
// from its order to its sure end.
//
// A run's room is free again only when the worker listed its end, a look sent
// after an answered stop didn't list it, the worker has a new life, or its
// lease has surely lapsed. Until then the task is started nowhere else.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_FLEET_H_
#define DOTTERELBARROW_CORE_SCHEDULER_FLEET_H_

#include <sigc++/signal.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::scheduler {

struct FleetSettings {
  // How long a lease is given for. Outlasts a change of the owner, or a loss of
  // all hosts for two seconds, after a look that waited, so that running work
  // survives it. What a lost worker ran waits for as long.
  base::Duration lease = std::chrono::milliseconds(4000);
  // How long a look may wait for an end.
  base::Duration look_wait = std::chrono::milliseconds(1000);
  // The platform takes a silent worker off its list after this time: three
  // heartbeats.
  base::Duration listing_silence = std::chrono::milliseconds(4500);
  // Least time between two looks at a worker; gathers ends, as each look has a
  // price. In a large fleet it grows by `look_gap_per_worker`, so that the
  // owner's looks stay below 5,000 a second.
  base::Duration look_gap = std::chrono::milliseconds(60);
  base::Duration look_gap_per_worker = std::chrono::microseconds(200);
  // Looks without an answer in a row after which a worker counts as silent, and
  // the store is told: answers that are lost by chance seldom are that in a
  // row.
  int silent_looks = 2;
  // A failed look is repeated after this time.
  base::Duration look_retry = std::chrono::milliseconds(200);
  // An order to stop without an answer is repeated after this time.
  base::Duration stop_retry = std::chrono::milliseconds(300);
  // How long a former owner may go on after it was replaced, at most.
  base::Duration former_owner_authority = kOwnerAuthority;
};

class Fleet {
 public:
  using RunKey = std::pair<jobs::TaskRef, jobs::Attempt>;

  Fleet(FleetSettings settings, Telemetry telemetry)
      : settings_(settings), telemetry_(telemetry) {}

  // A run surely ended: its worker, the run as it was, how, where it may
  // resume.
  sigc::signal<void(const workers::Worker&, const workers::Run&, jobs::RunEnd,
                    const std::string&)>
      run_ended;
  // An end of a run that isn't known here, as a claimed worker lists it.
  sigc::signal<void(const workers::Worker&, const ListedEnd&)> unknown_end;
  // A run that isn't known here. The handler adds it to the worker, or leaves
  // it to be stopped.
  sigc::signal<void(workers::Worker*, const ListedRun&, base::TimePoint)>
      unknown_run;
  // A start didn't happen for this reason. Its room is free.
  sigc::signal<void(const workers::Worker&, const workers::Run&, OrderOutcome)>
      start_refused;
  // The fence was taken and the lists were read, or the lease lapsed.
  sigc::signal<void(const base::BackendId&)> settled;
  // Ends of this worker up to this number wait for the store.
  sigc::signal<void(const base::BackendId&, std::uint64_t)> ends_taken;

  // A worker didn't answer several looks in a row, and all its leases end at
  // the moment given if no other is granted.
  sigc::signal<void(const workers::Worker&, base::TimePoint)> silent;
  // A closed worker answers.
  sigc::signal<void(const workers::Worker&, base::TimePoint)> answers_again;

  // Takes the platform's list, which was asked for at `asked_at`. Workers that
  // are missing keep what they run until their leases have lapsed, but for one
  // that surely left.
  void UpdateListings(const std::vector<workers::Listing>& listings,
                      base::TimePoint asked_at, base::TimePoint now);
  // Adds a worker that a former owner used, and may go on to use until its
  // authority ends; its leases hold for as long and one lease more, or until
  // `leases_end` if the former owner stored that. Then it is closed.
  void Inherit(const workers::Listing& listing, base::TimePoint taken_over_at,
               std::optional<base::TimePoint> leases_end = std::nullopt);
  // The former owner surely commands nothing any more.
  void NoteFormerOwnerGone(base::TimePoint now);

  // Grants no lease to the worker and starts nothing there before Open.
  void Close(const base::BackendId& worker);
  void Open(const base::BackendId& worker, base::TimePoint now);

  // Appends the looks, repeated stops and lapses that are due.
  void Tick(base::TimePoint now, std::vector<Action>* actions);

  // Sets room aside. The run is earmarked until Start.
  workers::Run* Earmark(const base::BackendId& worker, workers::Run run);
  // Orders the start of an earmarked run.
  void Start(const base::BackendId& worker, const RunKey& key,
             const std::string& payload, const std::string& checkpoint,
             const std::string& ticket, base::TimePoint now,
             std::vector<Action>* actions);
  // Orders the stop of a run in any state; an earmarked one is released.
  void Stop(const base::BackendId& worker, const RunKey& key,
            base::TimePoint now, std::vector<Action>* actions);

  void OnStarted(const base::BackendId& worker, std::int64_t born_ms,
                 const RunKey& key, OrderOutcome outcome, std::int64_t clock_ms,
                 base::TimePoint now, std::vector<Action>* actions);
  // `clock_ms` is the worker's clock where it answered.
  void OnStopped(const base::BackendId& worker, std::int64_t born_ms,
                 const RunKey& key, OrderOutcome outcome, std::int64_t clock_ms,
                 std::vector<Action>* actions);
  // `was_waiting` tells a look that could wait from one beside it.
  void OnLooked(const base::BackendId& worker, std::int64_t born_ms,
                bool was_waiting, const LookResult& result, base::TimePoint now,
                std::vector<Action>* actions);
  // The store holds all ends of the worker up to `number`.
  void OnEndsStored(const base::BackendId& worker, std::uint64_t number,
                    base::TimePoint now);

  workers::Worker* Find(const base::BackendId& id);
  // Returns null if the worker was forgotten.
  const workers::Worker* FindNumber(workers::WorkerNumber number) const {
    const auto index = static_cast<std::size_t>(number.value());
    return index < by_number_.size() ? by_number_[index] : nullptr;
  }
  const std::unordered_map<base::BackendId, workers::Worker>& workers() const {
    return workers_;
  }
  // Workers of former owners that may still run what isn't known here.
  const std::set<base::BackendId>& unsettled() const { return unsettled_; }
  // Whether a worker said that another owner has a higher token.
  bool is_fenced() const { return is_fenced_; }

 private:
  // How long a worker is left alone between two looks.
  base::Duration LookGap() const {
    const auto workers = static_cast<base::Duration::rep>(workers_.size());
    return std::max(settings_.look_gap,
                    settings_.look_gap_per_worker * workers);
  }
  // When leases that are given until `now` have lapsed, on the slowest clock.
  base::TimePoint LapseOfLeasesGivenAt(base::TimePoint now) const {
    return now + settings_.lease + settings_.lease / 20;
  }
  // Takes in what the list shows of a known worker.
  void TakeListing(workers::Worker* worker, const workers::Listing& listing,
                   base::TimePoint now);
  // Whether a worker that is missing on the list for the first time has left,
  // and wasn't taken off for its silence: it was draining, and had reported too
  // recently for that.
  bool HasLeft(const workers::Worker& worker, base::TimePoint now) const;
  // Its process has ended, and all that ran there with it.
  void EndRunsOfLeft(workers::Worker* worker);
  static WorkerAddress AddressOf(const workers::Worker& worker);
  // Returns the worker that an order went to, or null if its life is over or
  // another owner has fenced this one off, which is noted.
  workers::Worker* FindAnswering(const base::BackendId& id,
                                 std::int64_t born_ms, OrderOutcome outcome);
  // Returns the deadline to name in an order, and counts it as given.
  std::int64_t GrantLease(workers::Worker* worker, base::TimePoint now) const;
  void BeginLife(workers::Worker* worker, const workers::Listing& listing,
                 base::TimePoint now);
  void EndAllRuns(workers::Worker* worker, jobs::RunEnd end);
  void EndRun(workers::Worker* worker, const RunKey& key, jobs::RunEnd end,
              const std::string& checkpoint);
  workers::WorkerNumber NextNumber();
  workers::Worker* Add(workers::Worker worker);
  void Settle(const base::BackendId& id);
  void LookIfDue(workers::Worker* worker, base::TimePoint now,
                 std::vector<Action>* actions);
  void RepeatStops(workers::Worker* worker, base::TimePoint now,
                   std::vector<Action>* actions);
  void SendStop(workers::Worker* worker, workers::Run* run, base::TimePoint now,
                std::vector<Action>* actions);
  // Returns whether the worker can be forgotten.
  bool LapseIfDue(workers::Worker* worker, base::TimePoint now);
  void TakeEnds(workers::Worker* worker, const std::vector<ListedEnd>& ends);
  void TakeActive(workers::Worker* worker, const LookResult& result,
                  base::TimePoint now, std::vector<Action>* actions);
  void ResolveUnlisted(workers::Worker* worker, const LookResult& result,
                       base::TimePoint now, std::vector<Action>* actions);
  // Looks at once, beside a look that waits.
  static void LookBeside(workers::Worker* worker, std::vector<Action>* actions);

  FleetSettings settings_;
  Telemetry telemetry_;
  // Workers stay at their place until they are forgotten.
  std::unordered_map<base::BackendId, workers::Worker> workers_;
  std::set<base::BackendId> unsettled_;
  bool is_fenced_ = false;
  // When the list was last asked for with success.
  std::optional<base::TimePoint> list_asked_at_;
  workers::WorkerNumber last_number_;
  // Invariant: the workers in `workers_`, at their numbers; null elsewhere.
  std::vector<const workers::Worker*> by_number_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_FLEET_H_
