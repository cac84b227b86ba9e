// Limits what the first starts of tasks cost that crash their workers.
//
// Load pattern: a part of the jobs of one queue is deadly, several a second,
// and nothing tells them apart before they are started. Each first start takes
// a worker with ten runs of other queues away, and gangs lose a member with
// nearly every one. Once workers have been lost under tasks of one queue, the
// queue is on alert: the first tasks of its jobs are started away from gangs,
// and the other tasks of jobs with enough slack wait until the first one has
// survived. Tasks that are nearly certain to crash another worker wait as long
// as many workers are missing.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_CRASH_CONTAINMENT_H_
#define DOTTERELBARROW_CORE_PLACEMENT_CRASH_CONTAINMENT_H_

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/workers/worker_loss.h"

namespace dotterelbarrow::core::placement {

class CrashContainment {
 public:
  // How long a queue is on alert after the last loss of a worker.
  static constexpr base::Duration kAlertDuration = std::chrono::seconds(10);
  // Losses within this time count as one: many workers that are lost at the
  // same moment have a cause of their own.
  static constexpr base::Duration kSameLoss = std::chrono::milliseconds(300);
  // Losses under one queue that put it on alert. A single one is often chance.
  static constexpr std::size_t kLossesBeforeAlert = 2;
  // How long a crashed worker is missing, with its restart and claim.
  static constexpr base::Duration kWorkerDowntime =
      std::chrono::milliseconds(3500);
  // The fraction of the fleet that may be lost, or exposed to suspects, at a
  // time. More would be missing to the rest of the work.
  static constexpr double kMaxExposedFraction = 1.0 / 6;
  // While less than this fraction of the fleet is in use, all of the idle part
  // may be exposed instead.
  static constexpr double kIdleUsage = 0.5;

  // The fractions of a busy and of an idle fleet that may be kept for suspects.
  static constexpr double kMaxKeptFraction = 0.125;
  static constexpr double kMaxKeptIdleFraction = 0.5;
  // The slack that a job must have left for its other tasks to wait until the
  // first one has survived.
  static constexpr base::Duration kMinSlackToWait = std::chrono::seconds(1);

  // Begins a scheduling pass over a fleet of this many workers, of which the
  // fraction `usage` is in use.
  void BeginPass(std::size_t workers, double usage);

  // A worker was lost, and a run of one of `queues` may have caused it. Does
  // nothing if `queues` is empty.
  void RecordLoss(const std::vector<desired::QueueId>& queues,
                  base::TimePoint now);
  // A job of the queue is proved to crash workers. Its last run had lived for
  // `lived` when its worker broke off; not positive if that is not known.
  void RecordProof(const desired::QueueId& queue, base::Duration lived,
                   base::TimePoint now);
  // By how much a run must have been started before another one to be cleared
  // of a crash. Short once it is known how soon deadly tasks crash their
  // workers.
  base::Duration suspect_gap() const { return suspect_gap_; }

  // Whether a job of the queue was proved to crash workers within
  // kAlertDuration.
  bool HasProof(const desired::QueueId& queue, base::TimePoint now) const;

  // Whether the first tasks of the queue's jobs may crash their workers.
  bool IsOnAlert(const desired::QueueId& queue, base::TimePoint now) const;

  // On how many workers nothing else may be started until a suspect can be.
  std::size_t MaxKeptWorkers() const;
  // Whether one more worker may be exposed to a task that was the only suspect
  // of a crash before. It is seldom worth anything to its caller, so it waits
  // while the fleet lacks other workers.
  bool MayExposeToSuspect(base::TimePoint now) const;
  // Such a task is started.
  void RecordSuspectStart(base::TimePoint now);

 private:
  // Removes what has ended.
  void ForgetOldExposures(base::TimePoint now);

  // How many times as long as the longest age at which a proved task crashed
  // its worker those of other tasks may be.
  static constexpr int kAgeFactor = 2;

  // The size of the fleet, and the fraction of it that is in use.
  double workers_ = 1;
  double usage_ = 0;
  // The longest age at which a proved task crashed its worker.
  base::Duration longest_lived_{0};
  base::Duration suspect_gap_ = workers::kSuspectAge;
  // For each worker that is lost, or exposed to a suspect, when that ends.
  std::vector<base::TimePoint> exposures_;
  // For each queue, the times of its losses, oldest first.
  std::map<desired::QueueId, std::deque<base::TimePoint>> losses_;
  std::map<desired::QueueId, base::TimePoint> proofs_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_CRASH_CONTAINMENT_H_
