// What the store keeps of a job, as JSON texts of the project's own:
//
//   acceptance {"queue","organisation","rules":{..},"accepted_ms","payload",
//               "steps":[..],"repeat","start_ms","interval_ms"}; never changes
//   progress   {"state","begun","occurrences":[{"k","steps":[
//               {"done":"<bits>","failed":[[index,attempt..]..],
//                "gang_failed":[attempt..]}..]}..]}
//
// Members that hold nothing are left out. Times are milliseconds by the
// store's clock, but for start_ms, which counts from 1970.
#ifndef DOTTERELBARROW_CORE_JOBS_JOB_RECORDS_H_
#define DOTTERELBARROW_CORE_JOBS_JOB_RECORDS_H_

#include <json/json.h>

#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::core::jobs {

// A spec as it travels between the system's own processes and in records.
Json::Value ToJson(const JobSpec& spec);
// Returns nullopt with a reason if a member is missing, of another type or
// out of range, or if a step depends on one that isn't earlier.
std::optional<JobSpec> JobSpecFromJson(const Json::Value& value,
                                       base::Failure* reason);

std::string AcceptanceRecord(const Job& job);
std::string ProgressRecord(const Job& job);

// Returns a queued job.
std::optional<Job> ReadAcceptance(JobKey key, const std::string& record,
                                  base::Failure* reason);
// Applies a progress record to a job from its acceptance. Returns whether it
// could be read; if not, `job` is as before.
bool ReadProgress(const std::string& record, Job* job, base::Failure* reason);
std::optional<JobState> ParseJobState(const std::string& name);

}  // namespace dotterelbarrow::core::jobs

#endif  // DOTTERELBARROW_CORE_JOBS_JOB_RECORDS_H_
