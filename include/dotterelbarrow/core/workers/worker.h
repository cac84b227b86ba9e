// One worker as its owner sees it: what it holds, what may be running there,
// and until when its lease surely holds or has surely lapsed.
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
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::workers {

// The life of a worker that was inherited, before it was listed or answered.
inline constexpr std::int64_t kUnknownLife = 0;

// What the platform's list says of a worker.
struct Listing {
  base::BackendId id;
  // "ip:port".
  std::string address;
  base::ServiceId service;
  base::AvailabilityZone zone;
  std::string rack;
  std::vector<std::string> labels;
  base::Resources capacity;
  // Tells lives under one id apart; milliseconds since 1970.
  std::int64_t born_ms = 0;
  bool draining = false;
  // Changes whenever the worker reports anything new of itself, as a draining
  // one does with each heartbeat.
  std::uint64_t revision = 0;
  // How much longer it is slow after its start.
  base::Duration cold_remaining{0};
};

enum class RunState {
  kEarmarked,  // Room is set aside; nothing was ordered.
  kStarting,   // The start is on its way.
  kRunning,    // The worker said that it runs.
  kUncertain,  // The start got no answer; it may still be carried out.
  kStopping,   // The stop was ordered; its end isn't known yet.
};

const char* ToString(RunState state);

// One run of a task on the worker, from the moment its room is set aside until
// it surely neither runs nor will run.
struct Run {
  jobs::TaskRef task{};
  jobs::Attempt attempt{};
  RunState state = RunState::kEarmarked;
  // The task's job is gone: nobody knows what the run uses.
  bool is_stray = false;
  // It serves users of its own, or fills what others leave unused; a filling
  // task slows a serving one beside it down.
  bool is_serving = false;
  bool is_filling = false;
  // What the task may use, and what of it is set aside on the worker.
  base::Resources needs{};
  base::Resources reserved{};
  base::OrganisationId organisation{};
  // When the state was entered.
  base::TimePoint since{};
  base::TimePoint started_at{};
  base::Duration estimate{0};
  // The worker's clock when it confirmed the start, and when it took the order
  // to stop; 0 before. A list of a later clock shows the order's effect.
  std::int64_t confirmed_ms = 0;
  std::int64_t stop_taken_ms = 0;
  // Whether a list showed it, so that it surely runs in this life of the
  // worker: the answer to its start may have come from the next one.
  bool is_listed = false;
  base::TimePoint stop_sent_at{};
  // Where another attempt could go on, as the worker last said.
  std::string checkpoint{};
};

// Returns an earmarked run of the job's task, with what its step asks for.
Run RunOf(const jobs::Job& job, const jobs::TaskRef& task,
          jobs::Attempt attempt, base::TimePoint now);

// A lower bound of a worker's own clock. Workers' clocks may be slow by
// `kMostDrift`, and never stand still while the worker lives.
class WorkerClock {
 public:
  void Read(std::int64_t clock_ms, base::TimePoint answered_at);
  bool is_known() const { return read_.has_value(); }
  // Returns the least that the worker's clock shows by now.
  std::int64_t AtLeast(base::TimePoint now) const;
  // Returns what it shows if it runs as ours does.
  std::int64_t Estimate(base::TimePoint now) const;
  // Returns from when on AtLeast is more than `clock_ms`. Precondition: it is
  // known.
  base::TimePoint SurelyAfter(std::int64_t clock_ms) const;

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
      : listing_(std::move(listing)), number_(number) {}

  const Listing& listing() const { return listing_; }
  // Stays the same through all lives of the worker.
  WorkerNumber number() const { return number_; }
  const base::BackendId& id() const { return listing_.id; }
  void Update(const Listing& listing) { listing_ = listing; }
  bool is_listed() const { return listed_; }
  void set_listed(bool listed) { listed_ = listed; }

  // Room that is neither set aside nor in use.
  base::Resources FreeRoom() const { return listing_.capacity - reserved_; }
  const base::Resources& reserved() const { return reserved_; }
  bool has_strays() const { return strays_ > 0; }
  bool has_serving() const { return serving_ > 0; }
  bool has_filling() const { return filling_runs_ > 0; }
  // Processor time that tasks which only fill what is idle would take.
  base::Millicores filling() const { return needed_.cpu - reserved_.cpu; }

  // The runs of one task; at most two, where a stray one is being stopped.
  Run* FindRun(const jobs::TaskRef& task, jobs::Attempt attempt);
  Run* AddRun(Run run);
  // Gives back the room.
  void RemoveRun(const jobs::TaskRef& task, jobs::Attempt attempt);
  const std::map<std::pair<jobs::TaskRef, jobs::Attempt>, Run>& runs() const {
    return runs_;
  }
  std::map<std::pair<jobs::TaskRef, jobs::Attempt>, Run>& mutable_runs() {
    return runs_;
  }

  WorkerClock clock;
  // The latest deadline that any order named, by the worker's clock.
  std::int64_t granted_until_ms = 0;
  // Nothing is started before the fence was taken and the lists were read.
  bool is_claimed = false;
  // Where no deadline is known: when all that earlier owners gave has lapsed.
  base::TimePoint inherited_until;
  std::uint64_t ends_taken = 0;
  // Ends up to here are stored and may be forgotten by the worker.
  std::uint64_t ends_stored = 0;
  // The store's record names an end of its leases, or will: none is granted and
  // nothing is started until a record without that is stored. The next owner
  // goes by it.
  bool is_closed = false;
  bool look_under_way = false;
  base::TimePoint next_look;
  base::TimePoint last_answer;
  // The list showed a new report, which the worker sent after this moment.
  std::optional<base::TimePoint> reported_after;
  int looks_failed = 0;
  // Orders without an answer since the last answer of any kind.
  int orders_unanswered = 0;
  // No new work before this moment, because runs failed here.
  base::TimePoint quarantined_until;
  int failures_in_row = 0;
  jobs::JobKey last_failed_job;
  int quarantines = 0;

  // Returns whether nothing that was ever ordered can run there any more,
  // although the worker was not heard of.
  bool LeaseSurelyLapsed(base::TimePoint now) const;
  // Returns when all leases granted so far have lapsed, whatever happens, if no
  // other is granted. Precondition: the clock is known.
  base::TimePoint LeasesEnd() const;
  // Returns whether new work may be started there.
  bool TakesWork(base::TimePoint now) const;

 private:
  // Adds the run to the sums, or takes it out of them.
  void Count(const Run& run, int sign);

  Listing listing_;
  WorkerNumber number_;
  bool listed_ = true;
  std::map<std::pair<jobs::TaskRef, jobs::Attempt>, Run> runs_;
  // Invariant: the sums over `runs_`.
  base::Resources reserved_;
  base::Resources needed_;
  // Invariant: how many of `runs_` are stray, serving and filling.
  int strays_ = 0;
  int serving_ = 0;
  int filling_runs_ = 0;
};

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_WORKER_H_
