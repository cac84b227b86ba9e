// Feeds the model of run times with the runs that end, and stores and restores
// a summary of it.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_RUN_TIME_RECORDER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_RUN_TIME_RECORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/run_time_model.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/job_pages.h"
#include "dotterelbarrow/core/scheduler/run_time_summary.h"

namespace dotterelbarrow::core::scheduler {

class RunTimeRecorder {
 public:
  RunTimeRecorder(Telemetry telemetry, placement::RunTimeModel* model,
                  Fleet* fleet)
      : telemetry_(telemetry), model_(model), fleet_(fleet) {}

  // Records the end of a run of `job`, before it is applied to the job. Ends
  // that say nothing about run times are only counted.
  void OnRunEnded(const workers::Worker& worker, const workers::Run& run,
                  jobs::RunEnd end, jobs::Job* job, base::TimePoint now);
  void OnNewIncarnation(const workers::Worker& worker) {
    model_->Forget(worker.number());
  }
  // Lets old data lose weight, and logs what is known.
  void Tick(base::TimePoint now);

  // Returns the record of the summary if it is time to store it again.
  std::optional<RecordChange> TakeSummary(base::TimePoint now);
  // Restores the summary of a previous owner. What it says about a worker is
  // applied once that incarnation of the worker is listed. Returns false with a
  // reason if it can't be read.
  bool Restore(const std::string& text, base::TimePoint now,
               base::Failure* reason);
  // Applies what was restored to the workers that are listed now.
  void OnListed(base::TimePoint now);

 private:
  RunTimeSummary MakeSummary() const;
  void Log() const;

  Telemetry telemetry_;
  placement::RunTimeModel* model_;
  Fleet* fleet_;
  base::TimePoint next_log_;
  base::TimePoint next_summary_;
  // Restored speeds of workers that are not listed yet.
  std::map<base::BackendId, RunTimeSummary::WorkerEntry> restored_;
  base::TimePoint restored_until_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_RUN_TIME_RECORDER_H_
