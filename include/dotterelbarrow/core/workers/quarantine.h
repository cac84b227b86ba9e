// A circuit breaker for one worker: new work avoids a worker on which
// everything fails.
//
// After several consecutive failures of different jobs the worker is isolated
// for a while. Then it is probed: it takes one start at a time, until a run
// succeeds or nothing has failed for long enough. Another failure isolates it
// again, for longer. Work that no other worker could run isn't kept away, as it
// has no better place, but starts one task at a time too, and each task tries
// less and less often (see `RetryDelay`).
#ifndef DOTTERELBARROW_CORE_WORKERS_QUARANTINE_H_
#define DOTTERELBARROW_CORE_WORKERS_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <variant>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::workers {

class Quarantine {
 public:
  // So many consecutive failures of different jobs isolate the worker.
  static constexpr int kFailures = 3;
  // Each period lasts twice as long as the one before, up to the maximum. No
  // work waits much longer for a worker that has recovered.
  static constexpr base::Duration kFirstPeriod = std::chrono::seconds(3);
  static constexpr base::Duration kMaxPeriod = std::chrono::seconds(6);
  // The least time between two starts on a worker that is probed.
  static constexpr base::Duration kProbeInterval =
      std::chrono::milliseconds(500);
  // A worker is trusted again when nothing has failed for so long after a
  // period.
  static constexpr base::Duration kProbation = std::chrono::seconds(6);

  Quarantine();

  // Returns after how long a task that has failed this many times is tried
  // again on an isolated worker.
  static base::Duration RetryDelay(std::size_t failures);

  // Whether work that other workers could run must avoid the worker.
  bool IsIsolated(base::TimePoint now) const;
  // Whether the worker takes only one start at a time.
  bool IsProbed(base::TimePoint now) const;
  // Whether nothing was started so recently on a probed worker that the next
  // start must wait.
  bool AdmitsStart(base::TimePoint now) const;
  // Whether the present isolation began after `time`.
  bool IsIsolatedSince(base::TimePoint time, base::TimePoint now) const;
  // Whether nothing has failed since the last success.
  bool is_blameless() const;

  void OnStart(base::TimePoint now);
  // A run that was started at `started_at` has succeeded. That of a run from
  // before the failures says nothing about the worker since.
  void OnSuccess(base::TimePoint started_at);
  // A run of `job`, started at `started_at`, has failed. Returns whether a
  // period of isolation begins.
  bool OnFailure(jobs::JobKey job, base::TimePoint started_at,
                 base::TimePoint now);

 private:
  struct Trusted {
    int failures = 0;
    // When the first of these failures was reported.
    base::TimePoint failing_since;
  };
  struct Distrusted {
    base::TimePoint failing_since;
    base::TimePoint isolated_at;
    base::Duration period{0};
    base::TimePoint next_probe;

    base::TimePoint isolated_until() const { return isolated_at + period; }
  };

  // Returns null if the worker is trusted, or trusted again at `now`.
  const Distrusted* FindDistrust(base::TimePoint now) const;

  std::variant<Trusted, Distrusted> state_;
  // Several failures of one job count once.
  jobs::JobKey last_failed_job_;
};

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_QUARANTINE_H_
