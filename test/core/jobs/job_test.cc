// Tests of a job's state transitions and of its records.
#include "dotterelbarrow/core/jobs/job.h"

#include <doctest/doctest.h>

#include "dotterelbarrow/core/jobs/job_records.h"

namespace dotterelbarrow::core::jobs {
namespace {

constexpr std::uint32_t kTwoAttempts = 2;

Job MakeJob(std::vector<StepSpec> steps) {
  Job job;
  job.key = JobKey(0x5c0e7a21d94b36f8);
  job.queue = desired::QueueId("lookups");
  job.spec.payload = "text";
  job.spec.steps = std::move(steps);
  job.BeginOccurrence();
  return job;
}

TaskRef TaskOf(const Job& job, std::uint32_t step, std::uint32_t index) {
  return {{job.key, 0, step}, index};
}

// Records the end of a run on some worker.
bool EndRun(Job* job, const TaskRef& task, std::uint64_t attempt, RunEnd end) {
  return job->RecordRunEnd(task, Attempt(attempt), end, "",
                           base::BackendId("worker"), kTwoAttempts);
}

TEST_CASE("job keys and task references") {
  SUBCASE("are written with all digits and read back") {
    CHECK(ToString(JobKey(0xab)) == "00000000000000ab");
    const TaskRef task{{JobKey(0x5c0e7a21d94b36f8), 3, 1}, 17};
    CHECK(ToString(task) == "5c0e7a21d94b36f8.3.1.17");
    CHECK(ParseTaskRef(ToString(task)) == task);
  }
  SUBCASE("are refused in any other form") {
    for (const char* text : {"", "5c0e7a21d94b36f", "5C0E7A21D94B36F8",
                             "5c0e7a21d94b36f8g", "0x0e7a21d94b36f8"}) {
      CAPTURE(text);
      CHECK_FALSE(ParseJobKey(text));
    }
    for (const char* text :
         {"5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.",
          "5c0e7a21d94b36f8.0.1.2.3", "5c0e7a21d94b36f8.0.-1.2",
          "5c0e7a21d94b36f8.0.1.99999999999"}) {
      CAPTURE(text);
      CHECK_FALSE(ParseTaskRef(text));
    }
  }
}

TEST_CASE("a job of two steps") {
  StepSpec first;
  first.tasks = 2;
  StepSpec second;
  second.depends_on = {0};
  Job job = MakeJob({first, second});

  SUBCASE("its second step is blocked until all tasks of the first are done") {
    const auto is_unblocked = [&job] {
      return job.IsUnblocked(job.occurrences.at(0), 1);
    };
    CHECK_FALSE(is_unblocked());
    EndRun(&job, TaskOf(job, 0, 0), 1, RunEnd::kDone);
    CHECK_FALSE(is_unblocked());
    EndRun(&job, TaskOf(job, 0, 1), 1, RunEnd::kDone);
    CHECK(is_unblocked());

    SUBCASE("and it is completed with its last task") {
      CHECK(EndRun(&job, TaskOf(job, 1, 0), 1, RunEnd::kDone));
      CHECK(job.state == JobState::kCompleted);
    }
  }
  SUBCASE("a task is waiting, has a run, and waits again after its stop") {
    Step* step = job.FindStep({job.key, 0, 0});
    CHECK(step->waiting() == 2);
    job.RecordRun(TaskOf(job, 0, 0), Attempt(1));
    CHECK(step->waiting() == 1);
    CHECK_FALSE(EndRun(&job, TaskOf(job, 0, 0), 1, RunEnd::kStopped));
    CHECK(step->waiting() == 2);
  }
  SUBCASE("the end of an earlier run leaves the current one alone") {
    job.RecordRun(TaskOf(job, 0, 0), Attempt(5));
    EndRun(&job, TaskOf(job, 0, 0), 4, RunEnd::kLeaseExpired);
    CHECK(job.FindTask(TaskOf(job, 0, 0))->may_be_running);
  }
}

TEST_CASE("failed runs") {
  Job job = MakeJob({StepSpec()});
  const TaskRef task = TaskOf(job, 0, 0);

  SUBCASE("end the job with the last attempt") {
    CHECK(EndRun(&job, task, 1, RunEnd::kFailed));
    CHECK(job.state == JobState::kQueued);
    CHECK(EndRun(&job, task, 2, RunEnd::kFailed));
    CHECK(job.state == JobState::kFailed);
  }
  SUBCASE("count once, however often they are reported") {
    CHECK(EndRun(&job, task, 1, RunEnd::kFailed));
    CHECK_FALSE(EndRun(&job, task, 1, RunEnd::kFailed));
    CHECK(job.state == JobState::kQueued);
  }
  SUBCASE("count in whatever order workers report them to a new owner") {
    CHECK(EndRun(&job, task, 20001, RunEnd::kFailed));
    CHECK(EndRun(&job, task, 10001, RunEnd::kFailed));
    CHECK(job.state == JobState::kFailed);
  }
  SUBCASE("don't count where a worker was lost or a run was stopped") {
    for (const RunEnd end : {RunEnd::kStopped, RunEnd::kLeaseExpired,
                             RunEnd::kWorkerGone, RunEnd::kGangBroken}) {
      CHECK_FALSE(EndRun(&job, task, 1, end));
    }
    CHECK(job.state == JobState::kQueued);
  }
}

TEST_CASE("a task under which workers crash") {
  StepSpec step;
  step.tasks = 2;
  Job job = MakeJob({step});
  const TaskRef task = TaskOf(job, 0, 0);
  job.RecordRun(task, Attempt(1));
  CHECK(job.RecordCrash(task, Attempt(1), CrashBlame::kSole));

  SUBCASE("fails its job with the second crash") {
    CHECK(job.state == JobState::kInProgress);
    CHECK(job.RecordCrash(task, Attempt(2), CrashBlame::kSole));
    CHECK(job.state == JobState::kFailed);
  }
  SUBCASE("is remembered by the next owner") {
    job.RecordCrash(TaskOf(job, 0, 1), Attempt(7), CrashBlame::kShared);
    Job read = MakeJob({step});
    base::Failure reason;
    REQUIRE(ReadProgress(ProgressRecord(job), &read, &reason));
    CHECK(read.CrashesOf(task)->crashes() == job.CrashesOf(task)->crashes());
    CHECK(read.CrashesOf(TaskOf(job, 0, 1))->crashes() ==
          job.CrashesOf(TaskOf(job, 0, 1))->crashes());
    CHECK(read.RecordCrash(task, Attempt(10001), CrashBlame::kSole));
    CHECK(read.state == JobState::kFailed);
  }
  SUBCASE("its announced start is known to the next owner") {
    job.CrashesOf(task)->AnnounceStart(Attempt(2));
    Job read = MakeJob({step});
    base::Failure reason;
    REQUIRE(ReadProgress(ProgressRecord(job), &read, &reason));
    CHECK(read.CrashesOf(task)->announced_start() == Attempt(2));
    CHECK(EndRun(&read, task, 2, RunEnd::kStopped));
    CHECK_FALSE(read.CrashesOf(task)->announced_start());
  }
  SUBCASE("is cleared when it is reported to have failed") {
    EndRun(&job, task, 2, RunEnd::kFailed);
    CHECK_FALSE(job.CrashesOf(task)->is_suspect());
  }
}

TEST_CASE("workers crash under members of a gang") {
  StepSpec step;
  step.tasks = 2;
  step.gang = true;
  Job job = MakeJob({step});
  job.RecordCrash(TaskOf(job, 0, 0), Attempt(1), CrashBlame::kSole);
  job.RecordCrash(TaskOf(job, 0, 1), Attempt(2), CrashBlame::kSole);
  CHECK(job.state != JobState::kFailed);
  Job read = MakeJob({step});
  base::Failure reason;
  REQUIRE(ReadProgress(ProgressRecord(job), &read, &reason));
  read.RecordCrash(TaskOf(job, 0, 0), Attempt(3), CrashBlame::kSole);
  CHECK(read.state == JobState::kFailed);
}

TEST_CASE("a gang") {
  StepSpec gang;
  gang.tasks = 3;
  gang.gang = true;
  Job job = MakeJob({gang});

  SUBCASE("is done with the end of one member") {
    EndRun(&job, TaskOf(job, 0, 1), 1, RunEnd::kDone);
    CHECK(job.state == JobState::kCompleted);
  }
  SUBCASE("counts one failure per attempt, whichever member failed") {
    EndRun(&job, TaskOf(job, 0, 0), 1, RunEnd::kFailed);
    EndRun(&job, TaskOf(job, 0, 2), 1, RunEnd::kFailed);
    CHECK(job.state == JobState::kQueued);
    EndRun(&job, TaskOf(job, 0, 1), 2, RunEnd::kFailed);
    CHECK(job.state == JobState::kFailed);
  }
}

TEST_CASE("a long-running task is started again however it ends") {
  StepSpec service;
  service.long_running = true;
  Job job = MakeJob({service});
  for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
    job.RecordRun(TaskOf(job, 0, 0), Attempt(attempt));
    EndRun(&job, TaskOf(job, 0, 0), attempt,
           attempt % 2 == 0 ? RunEnd::kFailed : RunEnd::kDone);
    CHECK(job.FindStep({job.key, 0, 0})->waiting() == 1);
  }
  CHECK_FALSE(IsFinal(job.state));
}

TEST_CASE("records") {
  StepSpec first;
  first.tasks = 6;
  first.needs.cpu = base::Millicores(1500);
  first.estimate = std::chrono::milliseconds(900);
  first.data_rack = "r1-3";
  StepSpec second;
  second.depends_on = {0};
  second.gang = true;
  second.tasks = 2;
  Job job = MakeJob({first, second});
  job.accepted_on_store = StoreTime(std::chrono::milliseconds(51230));
  job.newest_born_ms = 1'790'000'000'000;
  base::Failure reason;

  SUBCASE("an acceptance is read back whole") {
    const auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    REQUIRE(read);
    CHECK(AcceptanceRecord(*read) == AcceptanceRecord(job));
    CHECK(read->spec.steps[0].needs.cpu == base::Millicores(1500));
    CHECK(read->spec.steps[1].gang);
    CHECK(read->accepted_on_store - StoreTime() ==
          std::chrono::milliseconds(51230));
    CHECK(read->newest_born_ms == job.newest_born_ms);
  }
  SUBCASE("an acceptance keeps the rules of its queue") {
    job.rules.id = job.queue;
    job.rules.service = base::ServiceId("tasks");
    job.rules.priority = 2;
    job.rules.max_attempts = 5;
    job.rules.slack_factor = 1.5;
    job.rules.completion_target = std::chrono::milliseconds(800);
    job.rules.advice = desired::AdvicePolicy{std::chrono::milliseconds(10),
                                             std::chrono::microseconds(100),
                                             std::chrono::milliseconds(1500)};
    const auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    REQUIRE(read);
    CHECK(read->rules.id == job.queue);
    CHECK(read->rules.service == job.rules.service);
    CHECK(read->rules.priority == 2);
    CHECK(read->rules.max_attempts == 5);
    CHECK(read->rules.slack_factor == doctest::Approx(1.5));
    CHECK(read->rules.completion_target == job.rules.completion_target);
    REQUIRE(read->rules.advice);
    CHECK(read->rules.advice->decision == job.rules.advice->decision);
    CHECK(read->rules.advice->per_worker == job.rules.advice->per_worker);
    CHECK(read->rules.advice->ticket_validity ==
          job.rules.advice->ticket_validity);
  }
  SUBCASE("progress keeps what is done and which runs failed") {
    EndRun(&job, TaskOf(job, 0, 1), 1, RunEnd::kDone);
    EndRun(&job, TaskOf(job, 0, 5), 1, RunEnd::kDone);
    EndRun(&job, TaskOf(job, 0, 2), 7, RunEnd::kFailed);
    auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    REQUIRE(ReadProgress(ProgressRecord(job), &*read, &reason));
    const Step* step = read->FindStep({job.key, 0, 0});
    CHECK(step->done == 2);
    CHECK(step->tasks[1].done);
    CHECK(step->tasks[5].done);
    CHECK(step->tasks[2].failed_attempts == std::vector{Attempt(7)});
    // After a change of owner the worker lists the failed run again. It must
    // not count a second time.
    CHECK_FALSE(EndRun(&*read, TaskOf(job, 0, 2), 7, RunEnd::kFailed));
  }
  SUBCASE("a record of another shape is refused and changes nothing") {
    auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    for (
        const char* text :
        {"", "[]", "{}", R"({"state":"lost"})",
         R"({"state":"running","begun":1,"occurrences":[{"k":7}]})",
         R"({"state":"running","begun":1,"occurrences":[{"k":0,"steps":[1,2]}]})",
         R"({"state":"running","begun":-1})"}) {
      CAPTURE(text);
      CHECK_FALSE(ReadProgress(text, &*read, &reason));
      CHECK(reason.code != base::FailureCode::kNone);
      CHECK(read->FindStep({job.key, 0, 0})->done == 0);
    }
  }
  SUBCASE("steps that depend on later ones are refused") {
    Json::Value spec = ToJson(job.spec);
    spec["steps"][0]["after"].append(1);
    CHECK_FALSE(JobSpecFromJson(spec, &reason));
    CHECK(reason.code == base::FailureCode::kOutOfRange);
  }
}

TEST_CASE("occurrences") {
  Job job;
  job.key = JobKey(1);
  job.spec.steps = {StepSpec()};
  job.spec.repeat_count = 2;
  job.BeginOccurrence();
  job.BeginOccurrence();
  const auto end = [&job](std::uint32_t occurrence) {
    job.RecordRunEnd({{job.key, occurrence, 0}, 0}, Attempt(1), RunEnd::kDone,
                     "", base::BackendId("worker"), kTwoAttempts);
  };
  SUBCASE("end in any order; the job ends with the last") {
    end(1);
    CHECK_FALSE(IsFinal(job.state));
    base::Failure reason;
    auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    REQUIRE(ReadProgress(ProgressRecord(job), &*read, &reason));
    CHECK(read->occurrences.size() == 1);
    CHECK(read->occurrences_begun == 2);
    end(0);
    CHECK(job.state == JobState::kCompleted);
  }
}

// Guards against a progress record that grows with each time at which a job
// can't be done.
TEST_CASE("a job of which thousands of occurrences wait") {
  Job job;
  job.key = JobKey(1);
  job.spec.steps = {StepSpec()};
  job.spec.steps[0].tasks = 2;
  job.spec.repeat_count = 100'000;
  while (job.MayBeginOccurrence()) {
    job.BeginOccurrence();
  }
  const auto record_end = [&job](std::uint32_t occurrence, RunEnd end) {
    for (const std::uint32_t task : {0U, 1U}) {
      job.RecordRunEnd({{job.key, occurrence, 0}, task}, Attempt(1), end, "",
                       base::BackendId("worker"), kTwoAttempts);
    }
  };
  record_end(7, RunEnd::kDone);
  record_end(100, RunEnd::kFailed);
  const std::string record = ProgressRecord(job);

  SUBCASE("begins no more of them than its record can hold") {
    CHECK(job.occurrences_begun == Job::kMaxUnfinishedTasks / 2);
    CHECK(job.MayBeginOccurrence());
    job.BeginOccurrence();
    CHECK_FALSE(job.MayBeginOccurrence());
  }
  SUBCASE("has a small record, from which all of them are read") {
    CHECK(record.size() < 1000);
    base::Failure reason;
    auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    REQUIRE(ReadProgress(record, &*read, &reason));
    CHECK(read->occurrences_begun == job.occurrences_begun);
    CHECK(read->occurrences.size() == job.occurrences.size());
    CHECK_FALSE(read->occurrences.contains(7));
    CHECK(read->occurrences.at(100).steps[0].tasks[1].failed_attempts.size() ==
          1);
    CHECK(ProgressRecord(*read) == record);
  }
  SUBCASE("is not read from malformed ranges") {
    base::Failure reason;
    auto read = ReadAcceptance(job.key, AcceptanceRecord(job), &reason);
    for (const char* text :
         {R"({"state":"queued","begun":4,"untouched":[[2,1]]})",
          R"({"state":"queued","begun":4,"untouched":[[2,4]]})",
          R"({"state":"queued","begun":4,"untouched":[2,3]})"}) {
      CAPTURE(text);
      CHECK_FALSE(ReadProgress(text, &*read, &reason));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::jobs
