// The orders in which the two runs of one task may end.
#include <doctest/doctest.h>

#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/jobs/job_records.h"

namespace dotterelbarrow::core::jobs {
namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kCopy = 2;

Job MakeJob() {
  Job job;
  job.key = JobKey(7);
  StepSpec step;
  step.tasks = 2;
  step.allows_copies = true;
  job.spec.steps = {step};
  job.BeginOccurrence();
  return job;
}

bool EndRun(Job* job, const TaskRef& task, std::uint64_t attempt, RunEnd end,
            const std::string& checkpoint = "") {
  return job->RecordRunEnd(task, Attempt(attempt), end, checkpoint,
                           base::BackendId("worker"), kMaxAttempts);
}

TEST_CASE("a task with a copy") {
  Job job = MakeJob();
  const TaskRef ref{{job.key, 0, 0}, 0};
  job.RecordRun(ref, Attempt(kFirst));
  job.RecordRun(ref, Attempt(kCopy));
  Step* step = job.FindStep(ref.step);
  Task* task = job.FindTask(ref);
  REQUIRE(step->waiting() == 1);
  REQUIRE(step->possibly_running == 1);

  SUBCASE("may have no third run") {
    CHECK_FALSE(job.MayHaveRun(ref, Attempt(3)));
  }
  SUBCASE("is done by its first run; the copy's end changes nothing") {
    CHECK(EndRun(&job, ref, kFirst, RunEnd::kDone));
    CHECK(step->done == 1);
    CHECK(step->possibly_running == 0);
    for (const RunEnd end : {RunEnd::kDone, RunEnd::kFailed, RunEnd::kStopped,
                             RunEnd::kWorkerGone}) {
      CHECK_FALSE(EndRun(&job, ref, kCopy, end));
    }
    CHECK(step->done == 1);
    CHECK(step->waiting() == 1);
    CHECK(task->failed_attempts.empty());
    CHECK_FALSE(job.MayHaveRun(ref, Attempt(3)));
  }
  SUBCASE("is done by its copy; the first run's end changes nothing") {
    CHECK(EndRun(&job, ref, kCopy, RunEnd::kDone));
    CHECK_FALSE(EndRun(&job, ref, kFirst, RunEnd::kFailed));
    CHECK_FALSE(EndRun(&job, ref, kFirst, RunEnd::kDone));
    CHECK(step->done == 1);
    CHECK(step->possibly_running == 0);
  }
  SUBCASE("goes on when its copy fails, which counts as a failed attempt") {
    CHECK(EndRun(&job, ref, kCopy, RunEnd::kFailed));
    CHECK(task->may_be_running);
    CHECK(step->waiting() == 1);
    CHECK(task->failed_attempts == std::vector{Attempt(kCopy)});
    CHECK_FALSE(EndRun(&job, ref, kCopy, RunEnd::kFailed));
    SUBCASE("and waits again once the first run has failed too") {
      CHECK(EndRun(&job, ref, kFirst, RunEnd::kFailed));
      CHECK_FALSE(task->may_be_running);
      CHECK(step->waiting() == 2);
      CHECK(job.state == JobState::kInProgress);
      SUBCASE("and the job fails with the last allowed failure") {
        job.RecordRun(ref, Attempt(3));
        CHECK(EndRun(&job, ref, 3, RunEnd::kFailed));
        CHECK(job.state == JobState::kFailed);
      }
    }
    SUBCASE("and may have another copy") {
      CHECK(job.MayHaveRun(ref, Attempt(3)));
      job.RecordRun(ref, Attempt(3));
      CHECK(EndRun(&job, ref, kFirst, RunEnd::kDone));
      CHECK_FALSE(EndRun(&job, ref, 3, RunEnd::kFailed));
    }
    SUBCASE("and an owner change keeps the failure") {
      Job restored = MakeJob();
      base::Failure reason;
      REQUIRE(ReadProgress(ProgressRecord(job), &restored, &reason));
      CHECK(restored.FindTask(ref)->failed_attempts ==
            std::vector{Attempt(kCopy)});
      CHECK(restored.FindTask(ref)->active_attempts.empty());
    }
  }
  SUBCASE("goes on in its copy when its first run is lost") {
    for (const RunEnd end :
         {RunEnd::kWorkerGone, RunEnd::kLeaseExpired, RunEnd::kStopped}) {
      CHECK_FALSE(EndRun(&job, ref, kFirst, end));
    }
    CHECK(task->may_be_running);
    CHECK(step->waiting() == 1);
    SUBCASE("and waits again once both are lost") {
      CHECK_FALSE(EndRun(&job, ref, kCopy, RunEnd::kLeaseExpired));
      CHECK_FALSE(task->may_be_running);
      CHECK(step->waiting() == 2);
      CHECK(step->possibly_running == 0);
    }
  }
  SUBCASE("resumes from the last checkpoint of either run") {
    EndRun(&job, ref, kFirst, RunEnd::kStopped, "first");
    CHECK(task->checkpoint == "first");
    EndRun(&job, ref, kCopy, RunEnd::kStopped, "copy");
    CHECK(task->checkpoint == "copy");
    EndRun(&job, ref, kFirst, RunEnd::kStopped, "old");
    CHECK(task->checkpoint == "copy");
  }
}

// Guards against stopping one of two runs after an owner change.
TEST_CASE("a new owner finds the runs of a task in any order") {
  Job job = MakeJob();
  const TaskRef ref{{job.key, 0, 0}, 0};
  job.RecordRun(ref, Attempt(kCopy));
  CHECK(job.MayHaveRun(ref, Attempt(kFirst)));
  CHECK_FALSE(job.MayHaveRun(ref, Attempt(kCopy)));

  SUBCASE("also if the copy has failed before the first run was found") {
    EndRun(&job, ref, kCopy, RunEnd::kFailed);
    CHECK(job.MayHaveRun(ref, Attempt(kFirst)));
  }
  SUBCASE("but one run only if the step allows no copies") {
    job.spec.steps[0].allows_copies = false;
    CHECK_FALSE(job.MayHaveRun(ref, Attempt(kFirst)));
    CHECK_FALSE(job.MayHaveRun(ref, Attempt(3)));
  }
  SUBCASE(
      "but one run only if the step is a gang or runs until it is stopped") {
    job.spec.steps[0].gang = true;
    CHECK_FALSE(job.MayHaveRun(ref, Attempt(3)));
    job.spec.steps[0].gang = false;
    job.spec.steps[0].long_running = true;
    CHECK_FALSE(job.MayHaveRun(ref, Attempt(3)));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::jobs
