// The owner's view of one worker: its resources, the runs that may exist on it,
// and when its lease is guaranteed to have expired.
#ifndef DOTTERELBARROW_CORE_WORKERS_WORKER_H_
#define DOTTERELBARROW_CORE_WORKERS_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/jobs/worker_incarnation.h"
#include "dotterelbarrow/core/workers/quarantine.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::workers {

// The incarnation of a worker that this owner knows only from the previous
// owner's records, until the platform lists it or it answers a call.
inline constexpr std::int64_t kUnknownIncarnation = 0;

// A worker's entry in the platform's list of workers.
struct Listing {
  base::BackendId id;
  // "ip:port".
  std::string address;
  base::ServiceId service;
  base::AvailabilityZone zone;
  std::string rack;
  std::vector<std::string> labels;
  base::Resources capacity;
  // Distinguishes incarnations of the worker under one id; milliseconds since
  // 1970.
  std::int64_t born_ms = 0;
  bool draining = false;
  // Changes whenever the worker reports new data about itself to the platform;
  // a draining worker does so with each heartbeat.
  std::uint64_t revision = 0;
  // How much longer the worker will be slow because it started recently.
  base::Duration cold_remaining{0};
};

// Names the incarnation of this entry in the records of jobs.
jobs::WorkerIncarnation IncarnationOf(const Listing& listing);

enum class RunState {
  kReserved,   // Resources are reserved; no start command was sent.
  kStarting,   // The start command is in flight.
  kRunning,    // The worker confirmed that the task runs.
  kUncertain,  // The start command got no answer; it may still take effect.
  kStopping,   // A stop command was sent; the run's end isn't known yet.
};

const char* ToString(RunState state);

// One run of a task on the worker, from the reservation of its resources until
// it is certain that it neither runs nor will run.
struct Run {
  jobs::TaskRef task{};
  jobs::Attempt attempt{};
  RunState state = RunState::kReserved;
  // Orphaned: the owner no longer knows the task's job, so the resources that
  // the run uses are unknown.
  bool is_orphan = false;
  // Whether the task serves requests of users, and whether it only fills
  // processor time that other tasks leave idle. A task that fills idle time
  // slows down a serving one on the same worker.
  bool is_serving = false;
  bool fills_idle_cpu = false;
  // Whether its job had much slack left when the run was placed.
  bool has_slack = false;
  // Whether workers have crashed under its task, so that the run is started
  // apart from others until it has survived for a while.
  bool is_suspect = false;
  // Whether its task was lost with workers before that were lost for no known
  // cause.
  bool was_lost_before = false;
  // Whether its start was announced in the store.
  bool was_announced = false;
  // Whether the worker crashed after the start command was sent: the run may
  // have been active there, although the next incarnation doesn't know it.
  bool was_lost_in_crash = false;
  bool is_gang_member = false;
  // Whether its task runs until its job is cancelled.
  bool is_long_running = false;
  // The resources that the task may use, and the part of them that is reserved
  // on the worker.
  base::Resources needs{};
  base::Resources reserved{};
  base::OrganisationId organisation{};
  // When the state was entered.
  base::TimePoint since{};
  base::TimePoint started_at{};
  base::Duration estimate{0};
  // How long the run was expected to take on this worker when it was placed; 0
  // if only the estimate was known.
  base::Duration expected_run_time{0};
  // The last reading of the worker's clock before the start command was sent.
  // An answer with an earlier one comes from another incarnation.
  std::int64_t start_sent_ms = 0;
  // The worker's clock when it confirmed the start and when it accepted the
  // stop command; 0 before that. A list of active runs with a later clock
  // reading shows the command's effect.
  std::int64_t start_confirmed_ms = 0;
  std::int64_t stop_accepted_ms = 0;
  // Whether a list of the worker's active runs contained this run. Only that
  // proves that it runs in the current incarnation of the worker: the answer to
  // its start command may have come from the next incarnation.
  bool is_listed = false;
  // Whether the run is certain to be over, but the list of ends was cut before
  // its own, so that it isn't known how it ended.
  bool awaits_end = false;
  base::TimePoint stop_sent_at{};
  // The checkpoint from which another attempt could resume, as last reported by
  // the worker.
  std::string checkpoint{};
};

// Returns a reserved run of the job's task with the resources that its step
// requires.
Run MakeReservedRun(const jobs::Job& job, const jobs::TaskRef& task,
                    jobs::Attempt attempt, base::TimePoint now);

// A lower bound of a worker's own clock, derived from its last reading. A
// worker's clock may be slow by up to 2% (`kMaxDriftPercent`) and never stands
// still while the worker is alive.
class WorkerClock {
 public:
  // Records the worker's clock as reported in an answer that arrived at
  // `answered_at`.
  void RecordReading(std::int64_t clock_ms, base::TimePoint answered_at);
  bool is_known() const { return read_.has_value(); }
  // Returns 0 if it is not known.
  std::int64_t last_reading_ms() const { return read_ ? read_->clock_ms : 0; }
  // Returns the lowest value that the worker's clock can show at `now`, in
  // milliseconds; 0 if it is not known.
  std::int64_t LowerBound(base::TimePoint now) const;
  // Returns the value that the worker's clock shows at `now` if it runs at the
  // same rate as this host's clock; 0 if it is not known.
  std::int64_t Estimate(base::TimePoint now) const;
  // Returns a time from which the lower bound is greater than `clock_ms`.
  // Precondition: the clock is known.
  base::TimePoint WhenLowerBoundExceeds(std::int64_t clock_ms) const;

 private:
  struct Reading {
    std::int64_t clock_ms = 0;
    base::TimePoint answered_at;
  };
  std::optional<Reading> read_;
};

class Worker {
 public:
  explicit Worker(Listing listing, WorkerNumber number = WorkerNumber())
      : listing_(std::move(listing)),
        number_(number),
        largest_capacity_(listing_.capacity) {}

  const Listing& listing() const { return listing_; }
  // The same for all incarnations of the worker.
  WorkerNumber number() const { return number_; }
  const base::BackendId& id() const { return listing_.id; }
  void Update(const Listing& listing);
  bool is_listed() const { return listed_; }
  void set_listed(bool listed) { listed_ = listed; }
  // Whether its availability zone is evacuated, so that nothing new is started
  // there.
  bool is_evacuated() const { return evacuated_; }
  void set_evacuated(bool evacuated) { evacuated_ = evacuated; }

  // Resources that are neither reserved nor in use.
  base::Resources FreeResources() const {
    return listing_.capacity - total_reserved_;
  }
  // Returns the largest capacity that is known of this incarnation. Runs that
  // were started before the capacity shrank may still use as much.
  const base::Resources& largest_capacity() const { return largest_capacity_; }
  const base::Resources& reserved() const { return total_reserved_; }
  // Returns the part of the reserved resources that runs use which don't end.
  const base::Resources& long_running_reserved() const {
    return long_running_reserved_;
  }
  // Returns the resources of the runs that are being stopped.
  base::Resources BeingFreed() const;
  // Whether more is reserved than the worker holds, because its capacity has
  // shrunk.
  bool is_over_capacity() const {
    return !total_reserved_.FitsIn(listing_.capacity);
  }
  bool has_orphans() const { return orphan_count_ > 0; }
  bool has_serving() const { return serving_count_ > 0; }
  bool has_idle_fillers() const { return idle_filler_count_ > 0; }
  bool has_suspects() const { return suspect_count_ > 0; }
  // The processor time that tasks which only fill idle time would use; none of
  // it is reserved.
  base::Millicores idle_filler_demand() const {
    return total_needs_.cpu - total_reserved_.cpu;
  }

  // Returns the run of this attempt, or null. A task has at most two runs on
  // the worker: the second only while an orphaned one is being stopped.
  Run* FindRun(const jobs::TaskRef& task, jobs::Attempt attempt);
  // Adds the run and reserves its resources, unless a run of the same attempt
  // exists. Returns the run that is present afterwards.
  Run* AddRun(Run run);
  // Removes the run, if it exists, and releases its resources.
  void RemoveRun(const jobs::TaskRef& task, jobs::Attempt attempt);
  // The run, which must be one of this worker, is not a suspect any more.
  void ClearSuspicion(Run* run);
  const std::map<std::pair<jobs::TaskRef, jobs::Attempt>, Run>& runs() const {
    return runs_;
  }
  std::map<std::pair<jobs::TaskRef, jobs::Attempt>, Run>& mutable_runs() {
    return runs_;
  }

  WorkerClock clock;
  // The latest lease deadline sent with any command, by the worker's clock.
  std::int64_t granted_until_ms = 0;
  // How many earlier incarnations under this id the owner knows to have ended
  // during its term.
  std::uint64_t earlier_incarnations = 0;
  // Whether this owner has claimed the worker: acquired its fencing token and
  // read its lists of runs. Nothing is started before that.
  bool is_claimed = false;
  // When this owner claimed the incarnation for the first time.
  std::optional<base::TimePoint> claimed_at;
  // Until an incarnation is claimed, it also executes commands that were sent
  // to an earlier one under its id. Such a command names a deadline by another
  // clock, so that it may grant the longest lease. Set once it is known when
  // all these leases have expired; long ago if there was no earlier
  // incarnation.
  struct CarriedLeases {
    std::int64_t born_ms = kUnknownIncarnation;
    base::TimePoint end;
  };
  std::optional<CarriedLeases> carried_leases;
  // The incarnation that a previous owner used; unknown for workers that this
  // owner found first.
  std::int64_t inherited_born_ms = kUnknownIncarnation;
  // The time by which all leases have expired whose deadlines are not known:
  // those granted by previous owners, and those of `carried_leases`.
  base::TimePoint inherited_leases_end;
  // The number of the last run end that was received from the worker.
  std::uint64_t ends_received = 0;
  // Run ends up to this number are stored; the worker may forget them.
  std::uint64_t ends_stored = 0;
  // The worker has answered a poll that acknowledged the run ends up to this
  // number.
  std::uint64_t ends_forgotten = 0;
  // Whether stored run ends are not acknowledged yet, because another run of
  // their task may still start.
  bool has_held_ends = false;
  // Whether leases are suspended: the store holds no record of the worker, or
  // one that names the time at which its leases end, or a write of it is in
  // flight. No lease is granted and nothing is started until a record without
  // that time is stored, because the next owner relies on it.
  bool leases_suspended = false;
  // Whether its leases would have expired, but for a later owner that may be
  // renewing them.
  bool is_expiry_withheld = false;
  bool poll_in_flight = false;
  base::TimePoint next_poll;
  // The next poll is not sent before this time, a minimum interval after the
  // last answer.
  base::TimePoint earliest_poll;
  base::TimePoint last_answer;
  // The latest time at which the worker is known to have been running: that of
  // its last answer, or when the connection of a poll broke off that it was
  // holding.
  base::TimePoint alive_at;
  // When the regular poll was sent that is in flight, or was last.
  base::TimePoint poll_sent_at;
  // When the worker answered again after its leases had expired; unset if they
  // never have.
  std::optional<base::TimePoint> returned_at;
  // Whether the loss of this incarnation was reported, since it answered last
  // after one.
  bool is_loss_reported = false;
  // The worker sent its last report to the platform after this time, as a new
  // revision in the platform's list showed.
  std::optional<base::TimePoint> reported_after;
  // Whether some run may be in the state kStopping, so that its stop command
  // may have to be repeated.
  bool may_have_stopping_runs = false;
  // When it was last polled to see whether a suspect survives there.
  base::TimePoint suspects_polled_at;
  int failed_polls = 0;
  // Number of commands since the last answer of any kind that were unanswered
  // or could not be sent.
  int unanswered_commands = 0;
  // Keeps new work away while everything fails here.
  Quarantine quarantine;

  // Returns the number up to which a poll has to acknowledge run ends; 0 if the
  // worker has forgotten them. A poll that reaches the next incarnation would
  // discard ends that nobody has read.
  std::uint64_t EndsToAcknowledge() const {
    return ends_stored > ends_forgotten ? ends_stored : 0;
  }
  // Returns whether all leases of the worker are guaranteed to have expired, so
  // that no run that was ever commanded can still be active, even if the worker
  // doesn't answer.
  bool IsLeaseGuaranteedExpired(base::TimePoint now) const;
  // Returns the time by which all leases granted so far are guaranteed to have
  // expired, provided that no further one is granted. Precondition: the clock
  // is known.
  base::TimePoint AllLeasesExpireBy() const;
  // Returns whether the worker was lost and answers again for a short time
  // only.
  bool WasLostJustNow(base::TimePoint now) const;
  // Returns whether new work may be started there.
  bool CanAcceptWork(base::TimePoint now) const {
    return AcceptsWorkIfIsolated() && !quarantine.IsIsolated(now);
  }
  // Returns whether work may be started there that no other worker could run,
  // even while the worker is isolated.
  bool AcceptsWorkIfIsolated() const;

 private:
  // Adds the run's resources and properties to the totals below if `sign` is 1,
  // subtracts them if it is -1.
  void AddToTotals(const Run& run, int sign);

  Listing listing_;
  WorkerNumber number_;
  base::Resources largest_capacity_;
  bool listed_ = true;
  bool evacuated_ = false;
  std::map<std::pair<jobs::TaskRef, jobs::Attempt>, Run> runs_;
  // Invariant: the sums of the runs' reserved and needed resources.
  base::Resources total_reserved_;
  base::Resources total_needs_;
  // Invariant: the sum of the reserved resources of the long-running runs.
  base::Resources long_running_reserved_;
  // Invariant: the numbers of runs that are orphaned, that serve, that fill
  // idle processor time, and that are suspects.
  int orphan_count_ = 0;
  int serving_count_ = 0;
  int idle_filler_count_ = 0;
  int suspect_count_ = 0;
};

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_WORKER_H_
