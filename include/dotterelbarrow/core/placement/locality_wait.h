// Decides how long a task waits for a worker near its data, or a gang for one
// rack that holds all of it, before it runs remotely.
//
// Load pattern: a run away from its data takes 1.5 to 3 times as long. A place
// near the data often opens within a fraction of that, but many tasks may want
// the same rack, estimates of when runs end are off by half, and other work
// takes places that become free. Waiting pays while the expected wait and the
// local run together are shorter than the remote run.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_LOCALITY_WAIT_H_
#define DOTTERELBARROW_CORE_PLACEMENT_LOCALITY_WAIT_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::placement {

// Why a task runs remotely although it could have waited.
enum class RemoteReason {
  kNoLocalWorker,  // No worker near the data may run it and accepts new work.
  kLocalIsSlow,    // The local run would not end sooner even without a wait.
  kLongWait,       // A local place is expected too late to pay.
  kWaitedEnough,   // The wait has reached its bound.
  kDeadline,       // A longer wait would make the remote run late.
};

const char* ToString(RemoteReason reason);

struct LocalityInput {
  base::TimePoint now;
  // The expected run time near the data and elsewhere, on the workers in
  // question.
  base::Duration local_run_time{0};
  base::Duration remote_run_time{0};
  // When a local place is expected; nullopt if no local worker is usable.
  std::optional<base::TimePoint> local_place_at;
  // When the step could first have started remotely.
  base::TimePoint waiting_since;
  // The latest start of the local run with which the job is on time.
  base::TimePoint latest_start;
  // The probability that an expected local place is obtained (see
  // `LocalityRecord`).
  double confidence = 1;
  // Fraction of the fleet in use.
  double fleet_usage = 0;
};

struct LocalityDecision {
  bool waits = false;
  // If the task waits: when to decide again, unless a local place opens before.
  base::TimePoint decide_again_at{};
  // If it doesn't wait.
  RemoteReason reason = RemoteReason::kNoLocalWorker;
};

// Decides about a task that fits on a remote worker now, but on no local one.
LocalityDecision DecideLocality(const LocalityInput& input);

// Returns the duration multiplied by `factor`.
base::Duration ScaleDuration(base::Duration duration, double factor);

// Returns when a run that started at `started_at` is expected to end.
// `expected` and `high` are the expected run time and its upper bound.
base::TimePoint ExpectedEnd(base::TimePoint started_at, base::Duration expected,
                            base::Duration high, base::TimePoint now);

// Tracks how often waits for a rack obtained a local place lately, which is how
// much the expected times are worth: they contain wrong estimates, and places
// that other work took first.
class LocalityRecord {
 public:
  // Without data, a wait is assumed to succeed this often, with the weight of
  // kPriorWeight waits.
  static constexpr double kPrior = 0.8;
  static constexpr double kPriorWeight = 4;
  // Within this time the weight of an outcome halves. Long enough for several
  // waits of a second each, short enough that waiting is tried again soon after
  // a rack was overloaded.
  static constexpr base::Duration kHalfLife = std::chrono::seconds(10);

  void Record(bool is_local, base::TimePoint now);
  double Confidence(base::TimePoint now) const;

 private:
  double WeightAt(base::TimePoint now) const;

  double local_ = 0;
  double remote_ = 0;
  base::TimePoint at_;
};

// The waits of all steps. Lost with the owner: a wait then starts anew once.
class LocalityWaits {
 public:
  struct Wait {
    // When the step could first have started remotely. Kept as long as the
    // step, so that neither a wrong expectation nor a failed run renews the
    // wait.
    base::TimePoint since;
    base::TimePoint decide_again_at;
    // How many tasks wait; 0 if none does any more.
    std::uint32_t tasks = 0;
    // Whether a wait is under way, since when, and how many tasks were placed
    // during it.
    bool has_begun = false;
    base::TimePoint begun_at;
    std::uint32_t placed_locally = 0;
    std::uint32_t placed_remotely = 0;
    // Where the places are expected and when the runs there would end, one for
    // each task.
    std::vector<std::pair<workers::WorkerNumber, base::TimePoint>> places;
    // Why the last task ran remotely.
    std::optional<RemoteReason> remote_reason;
  };

  // Must be called at the beginning of each scheduling pass.
  void BeginPass() { claims_.clear(); }
  // Returns null if the step has never waited.
  Wait* Find(const jobs::StepRef& step);
  const Wait* Find(const jobs::StepRef& step) const;
  // Returns the step's wait, which begins at `now` if it is new.
  Wait& FindOrAdd(const jobs::StepRef& step, base::TimePoint now);
  void Remove(const jobs::StepRef& step) { waits_.erase(step); }

  // What a waiting task is expected to use on a worker, until its run ends.
  struct Claim {
    base::Resources needs;
    base::TimePoint until;
  };
  // Records that a place that is expected on the worker belongs to a waiting
  // task, so that less urgent tasks of this pass expect later ones.
  void AddClaim(workers::WorkerNumber worker, const Claim& claim);
  // Returns what tasks that wait have claimed on the worker in this pass.
  const std::vector<Claim>& ClaimsOn(workers::WorkerNumber worker) const;

  LocalityRecord& RecordOf(const std::string& rack) { return records_[rack]; }
  // Returns whether some wait is to be decided again by `now`.
  bool IsDecisionDue(base::TimePoint now) const;

 private:
  std::unordered_map<jobs::StepRef, Wait> waits_;
  // By rack; gangs that want any one rack share the entry with an empty name.
  std::map<std::string, LocalityRecord> records_;
  std::unordered_map<workers::WorkerNumber, std::vector<Claim>> claims_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_LOCALITY_WAIT_H_
