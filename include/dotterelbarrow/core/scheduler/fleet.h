// The workers of one owner: claims them, renews their leases, and tracks each
// run from its start command until it is certain to have ended.
//
// Claiming a worker means that it accepts this owner's fencing token and that
// the owner reads its lists of active and ended runs. The resources of a run
// are freed, and its task may start elsewhere, only when the worker reported
// the run end, when a poll sent after an answered stop command did not list the
// run, when the worker has a new incarnation, or when its lease is guaranteed
// to have expired.
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
#include "dotterelbarrow/core/workers/worker_loss.h"

namespace dotterelbarrow::core::scheduler {

struct FleetSettings {
  // Duration of a worker's lease. After a long poll it still covers a change of
  // owner, or a loss of all hosts for two seconds, so that running work
  // survives either. The tasks of a lost worker wait this long before they
  // start elsewhere.
  base::Duration lease_duration = std::chrono::milliseconds(4000);
  // Workers cut longer leases to this.
  base::Duration max_lease_duration = std::chrono::milliseconds(10'000);
  // How long a command may be on its way to a worker.
  base::Duration max_command_delay = std::chrono::milliseconds(1000);
  // Timeout of a long poll, which waits for a run end.
  base::Duration long_poll_timeout = std::chrono::milliseconds(1000);
  // The platform removes an unresponsive worker from its list after this time,
  // which is three heartbeats.
  base::Duration listing_timeout = std::chrono::milliseconds(4500);
  // Minimum time from the answer of a poll to the next poll of the worker, so
  // that one poll, which has a cost, collects several run ends. In a large
  // fleet it is `poll_interval_per_worker` times the number of workers, so that
  // the owner sends fewer than 10,000 polls a second.
  base::Duration poll_interval = std::chrono::milliseconds(60);
  base::Duration poll_interval_per_worker = std::chrono::microseconds(100);
  // Interval of the polls of a worker whose run ends are stored, but not yet
  // acknowledged. It answers them at once, with these ends.
  base::Duration held_ends_poll_interval = std::chrono::milliseconds(250);
  // Consecutive unanswered polls after which a worker counts as unresponsive
  // and the store is told so. Answers lost by chance are seldom that many in a
  // row.
  int unresponsive_after_failed_polls = 2;
  // A failed poll is retried after this time.
  base::Duration poll_retry_delay = std::chrono::milliseconds(200);
  // An unanswered stop command is retried after this time.
  base::Duration stop_retry_delay = std::chrono::milliseconds(300);
  // How many workers one tick looks at. With 20 ms between two ticks, each of
  // 1,100 workers is looked at every 60 ms, half of the interval of its polls.
  std::size_t max_workers_per_tick = 400;
  // Maximum time for which a previous owner may still send commands after it
  // was replaced.
  base::Duration previous_ownership_lease = kOwnershipLease;
};

// What has changed in the platform's list of workers since it was last applied.
struct ListingChanges {
  // New entries, and those with a new revision.
  std::vector<workers::Listing> listed;
  // Workers whose entries were removed.
  std::vector<base::BackendId> removed;
  // Workers whose entries exist, but can't be read or are not to be used. Their
  // runs continue; nothing new is started there.
  std::vector<base::BackendId> unusable;
};

class Fleet {
 public:
  using RunKey = std::pair<jobs::TaskRef, jobs::Attempt>;

  Fleet(FleetSettings settings, Telemetry telemetry)
      : settings_(settings), telemetry_(telemetry) {}

  // A run is certain to have ended. Arguments: its worker, the run before its
  // end, how it ended, and the checkpoint to resume from.
  sigc::signal<void(const workers::Worker&, const workers::Run&, jobs::RunEnd,
                    const std::string&)>
      run_ended;
  // A worker reported the end of an untracked run.
  sigc::signal<void(const workers::Worker&, const ListedEnd&)>
      untracked_run_ended;
  // A worker listed an untracked active run. If the handler does not add the
  // run to the worker, the fleet stops it as an orphan.
  sigc::signal<void(workers::Worker*, const ListedRun&, base::TimePoint)>
      untracked_run_listed;
  // A worker listed the run for the first time.
  sigc::signal<void(const workers::Run&)> run_listed;
  // A start command was not carried out, for the reason given. The resources of
  // its run are free again.
  sigc::signal<void(const workers::Worker&, const workers::Run&,
                    CommandOutcome)>
      start_refused;
  // A worker has a new incarnation, in which nothing is known of the previous
  // one.
  sigc::signal<void(const workers::Worker&)> incarnation_began;
  // An incarnation of a worker is seen for the first time: it is listed or
  // answers. Also emitted if that isn't new, when the worker is claimed.
  sigc::signal<void(const workers::Worker&)> incarnation_seen;
  // A worker was claimed, for the first time or after its leases had expired:
  // its incarnation is alive.
  sigc::signal<void(const workers::Worker&)> worker_claimed;
  // A worker has renewed its entry in the platform's list (`reported_after`
  // says when), or its entry says that it drains, which the owner hasn't seen
  // before.
  sigc::signal<void(const workers::Worker&)> worker_reported;
  // A worker was lost without having left. The ends of its runs that are
  // certain to have ended were reported before.
  sigc::signal<void(const workers::WorkerLoss&)> worker_lost;
  // A worker that a previous owner used has crashed, or was silent until its
  // leases had expired, possibly with runs of which this owner knows nothing.
  sigc::signal<void(const base::BackendId&, workers::LossKind)>
      inherited_worker_lost;
  // A run that is a suspect has run for longer than workers::kSuspectAge.
  sigc::signal<void(const workers::Run&)> suspect_survived;
  // A worker is reconciled: either it was claimed, or its lease expired.
  sigc::signal<void(const base::BackendId&)> worker_reconciled;
  // Run ends of this incarnation of the worker up to this number were received
  // and must be stored before they are acknowledged.
  sigc::signal<void(const base::BackendId&, std::int64_t, std::uint64_t)>
      run_ends_received;

  // A claimed worker did not answer several consecutive polls. All its leases
  // end at the given time if no further lease is granted.
  sigc::signal<void(const workers::Worker&, base::TimePoint)>
      worker_unresponsive;
  // A worker whose leases are suspended answers again.
  sigc::signal<void(const workers::Worker&, base::TimePoint)>
      worker_responsive_again;

  // Applies the platform's list, which was requested at `requested_at`. A
  // worker that is missing from it keeps its runs until its leases have
  // expired, except one that is certain to have shut down. Those in `unusable`
  // are not missing: their entries exist, but name no worker to use.
  void UpdateListings(const std::vector<workers::Listing>& listings,
                      base::TimePoint requested_at, base::TimePoint now,
                      const std::vector<base::BackendId>& unusable = {});
  // Applies changes of the list since the last call of this or of
  // UpdateListings. They were requested at `requested_at`; earlier changes were
  // all applied before.
  void ApplyListingChanges(const ListingChanges& changes,
                           base::TimePoint requested_at, base::TimePoint now);
  // Replaces the evacuated availability zones: nothing new is started on their
  // workers, whose runs continue. A worker whose zone is unknown is in none of
  // them.
  void SetEvacuatedZones(std::set<base::AvailabilityZone> zones);
  const std::set<base::AvailabilityZone>& evacuated_zones() const {
    return evacuated_zones_;
  }
  // Returns the number of workers in evacuated zones.
  std::size_t evacuated_workers() const { return evacuated_workers_; }
  // Returns whether the service has listed workers, and all that aren't
  // draining are in evacuated zones.
  bool IsServiceEvacuated(const base::ServiceId& service) const {
    return evacuated_services_.contains(service);
  }
  // Returns whether the platform's list of workers has been applied.
  bool has_list() const { return list_requested_at_.has_value(); }

  // Adds a worker of a previous owner. That owner may send it commands until
  // its ownership lease ends, so the worker's leases may hold for that time and
  // one lease duration more. If the previous owner stored an end of the leases,
  // `leases_end`, they hold no longer than that, and the worker's leases are
  // suspended. `born_ms` is the incarnation that the previous owner used, and
  // `carried_leases_end` the end of the leases that it took from commands to
  // earlier ones: long ago if there were none, nullopt if it is not known.
  void AddInheritedWorker(
      const workers::Listing& listing, base::TimePoint taken_over_at,
      std::optional<base::TimePoint> leases_end = std::nullopt,
      std::int64_t born_ms = workers::kUnknownIncarnation,
      std::optional<base::TimePoint> carried_leases_end = base::TimePoint());
  // Owners before the previous one may grant leases to inherited workers until
  // this time, also if the previous owner is known to have stopped. Call before
  // AddInheritedWorker.
  void SetEarlierOwnersUntil(base::TimePoint until) {
    earlier_owners_until_ = until;
  }
  // The previous owner is certain to send no further commands. That says
  // nothing about the owners before it.
  void OnPreviousOwnerStopped(base::TimePoint now);

  // Sets the factor by which the interval between polls is longer than in the
  // settings, because the owner's processor is saturated. A later poll collects
  // more run ends.
  void set_poll_stretch(double factor) { poll_stretch_ = factor; }

  // Suspends the leases of a worker: until ResumeLeases is called, it is
  // granted no lease and nothing is started on it.
  void SuspendLeases(const base::BackendId& worker);
  void ResumeLeases(const base::BackendId& worker, base::TimePoint now);

  // Expires the leases that are due, and appends the polls and repeated stop
  // commands that are due. Of a large fleet, each call looks at a part of the
  // workers, in turn. This owner was certain to be the owner at `confirmed_at`,
  // for example because a write of it that began then is stored. Leases expire
  // only by that time: a later owner may be renewing them since.
  void Tick(base::TimePoint now, base::TimePoint confirmed_at,
            std::vector<Action>* actions);

  // Reserves resources for a run, which stays reserved until Start. The worker
  // must exist.
  workers::Run* Reserve(const base::BackendId& worker, workers::Run run);
  // Sends the start command for a reserved run. The worker and the run must
  // exist.
  void Start(const base::BackendId& worker, const RunKey& key,
             const std::string& payload, const std::string& checkpoint,
             const std::string& ticket, base::TimePoint now,
             std::vector<Action>* actions);
  // Sends the stop command for a run in any state; a reserved run is released
  // instead.
  void Stop(const base::BackendId& worker, const RunKey& key,
            base::TimePoint now, std::vector<Action>* actions);

  void OnStarted(const base::BackendId& worker, std::int64_t born_ms,
                 const RunKey& key, CommandOutcome outcome,
                 std::int64_t clock_ms, base::TimePoint now,
                 std::vector<Action>* actions);
  // `clock_ms` is the worker's clock at its answer.
  void OnStopped(const base::BackendId& worker, std::int64_t born_ms,
                 const RunKey& key, CommandOutcome outcome,
                 std::int64_t clock_ms, std::vector<Action>* actions);
  // `was_regular_poll` is false for an immediate poll sent alongside the
  // regular one, which may be a long poll. `ends_acknowledged` is the number up
  // to which the poll acknowledged run ends.
  void OnPolled(const base::BackendId& worker, std::int64_t born_ms,
                bool was_regular_poll, const PollResult& result,
                base::TimePoint now, std::vector<Action>* actions,
                std::uint64_t ends_acknowledged = 0);
  // The store holds all run ends up to `number` of the worker's incarnation
  // that began at `born_ms`.
  void OnEndsStored(const base::BackendId& worker, std::int64_t born_ms,
                    std::uint64_t number, base::TimePoint now);
  // Tells whether stored run ends of the worker are not acknowledged yet.
  void SetHasHeldEnds(const base::BackendId& worker, bool has_held_ends) {
    if (workers::Worker* found = Find(worker)) {
      found->has_held_ends = has_held_ends;
    }
  }

  workers::Worker* Find(const base::BackendId& id);
  // Returns null if the worker was removed.
  const workers::Worker* FindByNumber(workers::WorkerNumber number) const {
    const auto index = static_cast<std::size_t>(number.value());
    return index < by_number_.size() ? by_number_[index] : nullptr;
  }
  const std::unordered_map<base::BackendId, workers::Worker>& workers() const {
    return workers_;
  }
  // The numbers of all workers are below this one.
  workers::WorkerNumber end_number() const { return last_number_.next(); }
  // Changes whenever a worker is added or removed, or begins an incarnation.
  std::uint64_t incarnations_version() const { return incarnations_version_; }
  // Workers of previous owners that may still have untracked runs.
  const std::set<base::BackendId>& unreconciled() const {
    return unreconciled_;
  }
  // Whether a worker rejected a command because another owner has a higher
  // fencing token.
  bool is_fenced() const { return is_fenced_; }

 private:
  // Minimum time between two polls of a worker, for the present size of the
  // fleet.
  base::Duration PollInterval() const {
    const auto workers = static_cast<base::Duration::rep>(workers_.size());
    const base::Duration interval = std::max(
        settings_.poll_interval, settings_.poll_interval_per_worker * workers);
    return std::chrono::duration_cast<base::Duration>(interval * poll_stretch_);
  }
  // Returns when all leases granted up to `now` have expired, on the slowest
  // permitted clock.
  base::TimePoint LatestExpiryOfLeasesGrantedAt(base::TimePoint now) const {
    return now + settings_.lease_duration + settings_.lease_duration / 20;
  }
  // Returns when all leases have expired that an incarnation took from commands
  // to earlier ones up to `now`, on the slowest permitted clock.
  base::TimePoint LatestExpiryOfLeasesCarriedAt(base::TimePoint now) const {
    return now + settings_.max_lease_duration +
           settings_.max_lease_duration / 20;
  }
  // Returns when all leases of an inherited worker have expired, if no owner
  // before this one sends commands after `until`.
  base::TimePoint InheritedLeasesEnd(const workers::Worker& worker,
                                     base::TimePoint until) const;
  // Handles that another incarnation than the recorded one of an inherited,
  // unclaimed worker is listed: it may still take leases from commands to that
  // one.
  void ExpectCarriedLeases(workers::Worker* worker, base::TimePoint now) const;
  bool IsInEvacuatedZone(const workers::Worker& worker) const {
    return evacuated_zones_.contains(worker.listing().zone);
  }
  // Does what is due for one worker, and removes it if it can be.
  void TickWorker(workers::Worker* worker, base::TimePoint now,
                  base::TimePoint confirmed_at, std::vector<Action>* actions);
  // Marks the workers in evacuated zones, and finds the services that have no
  // others.
  void UpdateEvacuation();
  // Adds the worker of a list entry, or applies the entry to the known worker.
  void AddOrApplyListing(const workers::Listing& listing, base::TimePoint now);
  // Handles that the worker's entry was removed from the list.
  void OnRemoved(workers::Worker* worker, base::TimePoint now);
  // Handles that the workers' entries can't be used any more. That says nothing
  // about the workers' processes.
  void OnUnusable(const std::vector<base::BackendId>& ids);
  // Applies the platform's list entry of a known worker.
  void ApplyListing(workers::Worker* worker, const workers::Listing& listing,
                    base::TimePoint now);
  // Whether a worker whose entry has just been removed has shut down, and was
  // not removed for being unresponsive: it was draining, and its last report is
  // too recent for that removal.
  bool HasShutDown(const workers::Worker& worker, base::TimePoint now) const;
  // Ends the runs that this incarnation of the worker had confirmed, because
  // its process has ended.
  void EndConfirmedRuns(workers::Worker* worker);
  // Handles that another incarnation answered at the worker's address.
  void OnReplaced(workers::Worker* worker, base::TimePoint now);
  // Describes the loss of the worker; nullopt if it was described before, if
  // the worker had announced that it leaves, or if nothing ran there.
  std::optional<workers::WorkerLoss> NoteLoss(workers::Worker* worker,
                                              workers::LossKind kind);
  void ReportLoss(const std::optional<workers::WorkerLoss>& loss);
  static WorkerAddress AddressOf(const workers::Worker& worker);
  // Returns the worker that answered a command. Returns null if that
  // incarnation is over, or if another owner has fenced this owner off, in
  // which case `is_fenced_` is set.
  workers::Worker* FindAnsweringIncarnation(const base::BackendId& id,
                                            std::int64_t born_ms,
                                            CommandOutcome outcome);
  // Returns the lease deadline to send with a command, and records it as
  // granted.
  std::int64_t GrantLease(workers::Worker* worker, base::TimePoint now) const;
  void BeginIncarnation(workers::Worker* worker,
                        const workers::Listing& listing, base::TimePoint now);
  void EndAllRuns(workers::Worker* worker, jobs::RunEnd end);
  void EndRun(workers::Worker* worker, const RunKey& key, jobs::RunEnd end,
              const std::string& checkpoint);
  workers::WorkerNumber NextNumber();
  workers::Worker* Add(workers::Worker worker);
  void MarkReconciled(const base::BackendId& id);
  void PollIfDue(workers::Worker* worker, base::TimePoint now,
                 std::vector<Action>* actions);
  void RetryStops(workers::Worker* worker, base::TimePoint now,
                  std::vector<Action>* actions);
  void SendStop(workers::Worker* worker, workers::Run* run, base::TimePoint now,
                std::vector<Action>* actions);
  // Polls the worker at once if it has a suspect that may have survived, so
  // that other work can start there soon.
  void PollForSuspects(workers::Worker* worker, base::TimePoint now,
                       std::vector<Action>* actions);
  // Returns whether the worker can be removed.
  bool ExpireIfDue(workers::Worker* worker, base::TimePoint now,
                   base::TimePoint confirmed_at);
  void ApplyRunEnds(workers::Worker* worker,
                    const std::vector<ListedEnd>& ends);
  void ApplyActiveRuns(workers::Worker* worker, const PollResult& result,
                       base::TimePoint now, std::vector<Action>* actions);
  void ResolveUnlistedRuns(workers::Worker* worker, const PollResult& result,
                           base::TimePoint now, std::vector<Action>* actions);
  // Sends an immediate poll alongside the regular one.
  static void PollImmediately(workers::Worker* worker,
                              std::vector<Action>* actions);

  FleetSettings settings_;
  Telemetry telemetry_;
  // The address of a worker stays valid until the worker is removed.
  std::unordered_map<base::BackendId, workers::Worker> workers_;
  // The last incarnations of workers that were removed, so that the tokens of a
  // worker that is listed again never decrease. They don't rise in the same
  // incarnation: a late command from before the removal would be answered as if
  // another owner had taken over.
  struct RemovedWorker {
    std::int64_t born_ms = workers::kUnknownIncarnation;
    std::uint64_t earlier_incarnations = 0;
    std::uint64_t revision = 0;
  };
  std::unordered_map<base::BackendId, RemovedWorker> removed_workers_;
  std::set<base::BackendId> unreconciled_;
  // See SetEarlierOwnersUntil.
  base::TimePoint earlier_owners_until_;
  bool is_fenced_ = false;
  double poll_stretch_ = 1.0;
  // When the last successful list request was sent.
  std::optional<base::TimePoint> list_requested_at_;
  std::set<base::AvailabilityZone> evacuated_zones_;
  std::size_t evacuated_workers_ = 0;
  std::set<base::ServiceId> evacuated_services_;
  workers::WorkerNumber last_number_;
  std::uint64_t incarnations_version_ = 0;
  // The number of the worker that was looked at last.
  std::size_t last_ticked_ = 0;
  // Invariant: the workers in `workers_`, at their numbers; null elsewhere.
  std::vector<workers::Worker*> by_number_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_FLEET_H_
