// Encodes and decodes the two records that the store holds for each job. Both
// are JSON in this project's own format:
//
//   acceptance {"queue","organisation","rules":{..},"accepted_ms","payload",
//               "newest_born_ms",
//               "steps":[..],"repeat","start_ms","interval_ms"}; never changes
//   progress   {"state","begun","occurrences":[{"k","steps":[
//               {"done":"<bits>","failed":[[index,attempt..]..],
//                "gang_failed":[attempt..],
//                "crashed":[[index,attempt,kind..]..],
//                "lost":[[index,(attempt,kind,worker)..]..],
//                "announced":[[index,attempt,confirmed,worker..]..],
//                "gang_crashed", "gang_lost", "gang_announced": rows without
//                an index}..]}..],
//               "untouched":[[first,last]..]}
//   kind 0 and 1 are crashes with shared and with sole blame; "lost" names the
//   losses of which it isn't known whether they were crashes; "announced" is a
//   start that is about to happen, and whether its worker has confirmed it; a
//   worker is three numbers, the members of jobs::WorkerIncarnation;
//   "untouched" are further unfinished occurrences
//
// Most members with a default value are omitted. Times are milliseconds of the
// store's clock, except start_ms, which counts from 1970.
#ifndef DOTTERELBARROW_CORE_JOBS_JOB_RECORDS_H_
#define DOTTERELBARROW_CORE_JOBS_JOB_RECORDS_H_

#include <json/json.h>

#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::core::jobs {

// Encodes `spec` for records and for messages between this system's processes.
Json::Value ToJson(const JobSpec& spec);
// Returns nullopt with a reason if there are no steps, if a member has the
// wrong type or is out of range, or if a step depends on itself or a later one.
std::optional<JobSpec> JobSpecFromJson(const Json::Value& value,
                                       base::Failure* reason);

std::string AcceptanceRecord(const Job& job);
// What a progress record holds. Without crashes it is smaller, and the next
// owner has to learn again which tasks are suspects.
enum class ProgressDetail { kAll, kNoCrashes };
std::string ProgressRecord(const Job& job,
                           ProgressDetail detail = ProgressDetail::kAll);

// Decodes an acceptance record. Returns a queued job, or nullopt with a reason.
std::optional<Job> ReadAcceptance(JobKey key, const std::string& record,
                                  base::Failure* reason);
// Applies a progress record to a job that was decoded from its acceptance
// record. On error returns false with a reason and leaves `job` unchanged.
bool ReadProgress(const std::string& record, Job* job, base::Failure* reason);
// Returns nullopt unless `name` is what ToString(JobState) returns.
std::optional<JobState> ParseJobState(const std::string& name);

}  // namespace dotterelbarrow::core::jobs

#endif  // DOTTERELBARROW_CORE_JOBS_JOB_RECORDS_H_
