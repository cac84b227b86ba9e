// The life of jobs from their submission to their end, through the owner's
// interface.
#include "dotterelbarrow/core/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "dotterelbarrow/core/admission/saturation_gate.h"
#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using jobs::JobState;
using jobs::RunEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kJob = 1;
constexpr std::uint64_t kOtherJob = 2;

jobs::TaskRef TaskOf(std::uint64_t job, std::uint32_t index,
                     std::uint32_t step = 0) {
  return {{jobs::JobKey(job), 0, step}, index};
}

std::optional<JobState> StateOf(Scenario* scenario, std::uint64_t job) {
  return scenario->scheduler().StateOf(jobs::JobKey(job));
}

TEST_CASE("a job without advice") {
  Scenario scenario;
  scenario.AddWorkers(2);
  REQUIRE(scenario.Submit(kJob, "plain", {Scenario::Step(3)}).outcome ==
          SubmitOutcome::kStoring);

  SUBCASE("starts nothing before its acceptance is stored") {
    scenario.RunPasses(3);
    CHECK(scenario.TakeStarts().empty());
    CHECK(scenario.Store().size() == 1);
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().size() == 3);
  }
  SUBCASE(
      "is accepted once; a second submission with the same key changes "
      "nothing") {
    scenario.Store();
    CHECK(scenario.Submit(kJob, "plain", {Scenario::Step(9)}).outcome ==
          SubmitOutcome::kAccepted);
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().size() == 3);
  }
  SUBCASE("that can't be stored is withdrawn and never runs") {
    CHECK(scenario.scheduler().RemoveUnwritten().size() == 1);
    CHECK_FALSE(StateOf(&scenario, kJob));
    CHECK(scenario.Store().empty());
    scenario.RunPasses(3);
    CHECK(scenario.TakeStarts().empty());
  }
  // Guards against a repeated submission without an answer.
  SUBCASE("submitted again while its acceptance is being written") {
    const RecordBatch batch = scenario.scheduler().TakeBatch(scenario.now());
    CHECK(scenario.Submit(kJob, "plain", {Scenario::Step(3)}).outcome ==
          SubmitOutcome::kStoring);
    SUBCASE("is no more withdrawn") {
      CHECK(scenario.scheduler().RemoveUnwritten().empty());
    }
    const LateWaiters late =
        scenario.scheduler().OnStored(batch, scenario.now());
    CHECK(batch.accept_waiters.size() == 1);
    CHECK(late.accept_waiters.size() == 1);
  }
  SUBCASE("cancelled before its acceptance was written") {
    REQUIRE(scenario.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(7),
                                        scenario.now()) ==
            CancelResult::kStoring);
    const RecordBatch batch = scenario.scheduler().TakeBatch(scenario.now());
    CHECK(batch.accept_waiters.size() == 1);
    CHECK(batch.change_waiters == std::vector{WaiterId(7)});
    SUBCASE("answers those who repeat a call meanwhile") {
      CHECK(scenario.Submit(kJob, "plain", {Scenario::Step(3)}).outcome ==
            SubmitOutcome::kStoring);
      REQUIRE(scenario.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(8),
                                          scenario.now()) ==
              CancelResult::kStoring);
      const LateWaiters late =
          scenario.scheduler().OnStored(batch, scenario.now());
      CHECK(late.accept_waiters.size() == 1);
      CHECK(late.change_waiters == std::vector{WaiterId(8)});
    }
    SUBCASE("is known to be stored then") {
      scenario.scheduler().OnStored(batch, scenario.now());
      CHECK(scenario.Submit(kJob, "plain", {Scenario::Step(3)}).outcome ==
            SubmitOutcome::kAccepted);
    }
  }
  SUBCASE("is completed once the end of its last task is stored") {
    scenario.Store();
    scenario.RunPasses(1);
    for (std::uint32_t i = 0; i < 3; ++i) {
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.RunPasses(20);
    CHECK(StateOf(&scenario, kJob) == JobState::kInProgress);
    scenario.Store();
    CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
  }
  SUBCASE("fails after as many failed runs of one task as its queue allows") {
    scenario.Store();
    for (std::uint32_t i = 0; i < Scenario::kMaxAttempts; ++i) {
      CHECK(StateOf(&scenario, kJob) != JobState::kFailed);
      scenario.RunPasses(20);
      scenario.EndRun(TaskOf(kJob, 0), RunEnd::kFailed);
      scenario.RunPasses(20);
      scenario.Store();
    }
    CHECK(StateOf(&scenario, kJob) == JobState::kFailed);
  }
}

TEST_CASE("a cancelled job") {
  Scenario scenario;
  scenario.AddWorkers(1);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(2)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 2);

  SUBCASE(
      "is reported as cancelled once that is stored; its runs are stopped") {
    CHECK(scenario.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(99),
                                      scenario.now()) ==
          CancelResult::kStoring);
    CHECK(scenario.Store() == std::vector{WaiterId(99)});
    CHECK(StateOf(&scenario, kJob) == JobState::kCancelled);
    scenario.RunPasses(30);
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(4)});
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().size() == 4);
  }
  SUBCASE("that was never accepted is unknown") {
    CHECK(scenario.scheduler().Cancel(jobs::JobKey(kOtherJob), WaiterId(99),
                                      scenario.now()) ==
          CancelResult::kUnknown);
  }
}

// Guards against a job that runs although its caller was told that it doesn't
// exist: its cancellation arrives before its submission.
TEST_CASE("a job whose cancellation arrives before its submission") {
  Scenario scenario;
  scenario.AddWorkers(1);
  const auto cancel = [&scenario](std::uint64_t waiter) {
    return scenario.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(waiter),
                                       scenario.now());
  };
  const auto submit = [&scenario] {
    return scenario.Submit(kJob, "plain", {Scenario::Step(2)});
  };
  REQUIRE(cancel(99) == CancelResult::kUnknown);

  SUBCASE("is refused, also before the cancellation is stored") {
    CHECK(submit().outcome == SubmitOutcome::kRefused);
    CHECK(submit().reason == "cancelled");
    scenario.Store();
    CHECK(submit().outcome == SubmitOutcome::kRefused);
    scenario.RunPasses(3);
    CHECK(scenario.TakeStarts().empty());
  }
  SUBCASE("is unknown to callers") {
    scenario.Store();
    CHECK_FALSE(StateOf(&scenario, kJob));
    CHECK_FALSE(scenario.scheduler().IsKnown(jobs::JobKey(kJob)));
    CHECK(scenario.scheduler().PendingJobs().empty());
  }
  SUBCASE("keeps the cell from being divided") {
    CHECK_FALSE(scenario.scheduler().has_no_jobs());
  }
  SUBCASE("cancelled again") {
    SUBCASE("waits for the same write") {
      CHECK(cancel(100) == CancelResult::kUnknown);
      CHECK(scenario.Store() == std::vector{WaiterId(99), WaiterId(100)});
    }
    SUBCASE("while that is written is answered with it") {
      const RecordBatch batch = scenario.scheduler().TakeBatch(scenario.now());
      CHECK(cancel(100) == CancelResult::kUnknown);
      CHECK(
          scenario.scheduler().OnStored(batch, scenario.now()).change_waiters ==
          std::vector{WaiterId(100)});
    }
    SUBCASE("later needs no write") {
      scenario.Store();
      CHECK(cancel(100) == CancelResult::kBarred);
      CHECK_FALSE(scenario.scheduler().has_changes());
    }
  }
  SUBCASE("is refused by the next owner, too") {
    scenario.Store();
    scenario.TakeOver();
    CHECK(submit().outcome == SubmitOutcome::kRefused);
    CHECK_FALSE(StateOf(&scenario, kJob));
    CHECK(cancel(100) == CancelResult::kBarred);
  }
  SUBCASE("is refused for as long as the state of an ended job is known") {
    scenario.Store();
    const base::Duration retention = JobRegistrySettings().retention;
    CHECK(submit().retry_after == retention);
    scenario.Advance(retention - seconds(1));
    scenario.RunPasses(1);
    CHECK(submit().outcome == SubmitOutcome::kRefused);
    scenario.Advance(seconds(2));
    scenario.RunPasses(1);
    CHECK(submit().outcome == SubmitOutcome::kStoring);
    SUBCASE("and known to the next owner when it was accepted after that") {
      scenario.Store();
      scenario.TakeOver();
      CHECK(scenario.scheduler().IsKnown(jobs::JobKey(kJob)));
    }
  }
}

// Guards against memory that grows with each cancellation of an unknown job.
TEST_CASE("more cancellations of unknown jobs than are remembered") {
  SchedulerSettings settings;
  settings.jobs.max_barred_keys = 2;
  Scenario scenario(settings);
  const auto cancel = [&scenario](std::uint64_t job) {
    return scenario.scheduler().Cancel(jobs::JobKey(job), WaiterId(100 + job),
                                       scenario.now());
  };
  REQUIRE(cancel(1) == CancelResult::kUnknown);
  REQUIRE(cancel(2) == CancelResult::kUnknown);
  CHECK(cancel(3) == CancelResult::kRefused);
  CHECK(cancel(2) == CancelResult::kUnknown);
  SUBCASE("are refused until earlier ones are forgotten") {
    scenario.Store();
    scenario.Advance(settings.jobs.retention);
    scenario.RunPasses(1);
    CHECK(cancel(3) == CancelResult::kUnknown);
  }
}

TEST_CASE("a job with advice") {
  Scenario scenario;
  scenario.AddWorkers(3);
  scenario.Submit(kJob, "advised", {Scenario::Step(2)});

  SUBCASE("requests advice while its acceptance is being stored") {
    scenario.RunPasses(1);
    const auto requests = scenario.TakeAdviceRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].workers.size() == 3);
    scenario.AnswerAdviceRequest(requests[0], {"worker-1"});
    scenario.Store();
    scenario.RunPasses(1);
    const auto starts = scenario.TakeStarts();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].worker.id.value() == "worker-1");
    CHECK(starts[0].ticket == "ticket of worker-1");
  }
  SUBCASE(
      "requests new tickets for workers whose tickets have expired, with "
      "resources reserved meanwhile") {
    scenario.RunPasses(1);
    scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0),
                                 {"worker-1"});
    scenario.Advance(Scenario::kTicketValidity);
    scenario.Store();
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().empty());
    const auto requests = scenario.TakeAdviceRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].workers == std::vector{base::BackendId("worker-1")});
    scenario.AnswerAdviceRequest(requests[0], {"worker-1"});
    CHECK(scenario.TakeStarts().size() == 2);
  }
  SUBCASE("requests a new ticket after the worker refused one") {
    scenario.Store();
    scenario.RunPasses(1);
    scenario.refuses_tickets = true;
    scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0),
                                 {"worker-1"});
    scenario.RunPasses(1);
    CHECK_FALSE(scenario.TakeStarts().empty());
    scenario.refuses_tickets = false;
    scenario.RunPasses(1);
    const auto requests = scenario.TakeAdviceRequests();
    REQUIRE_FALSE(requests.empty());
    scenario.AnswerAdviceRequest(requests[0], {"worker-1"});
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().size() == 2);
  }
}

// Load pattern: the workers that a step may run on are full. The step waits
// while new workers are added.
TEST_CASE("a step whose allowed workers have no free resources") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(8)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 8);
  scenario.SubmitAndStore(kJob, "advised", {Scenario::Step(1)});
  scenario.EndRun(TaskOf(kOtherJob, 0), RunEnd::kDone);
  scenario.RunPasses(20);
  scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0),
                               {"worker-0"});
  // The only allowed worker fills up again.
  scenario.SubmitAndStore(3, "plain", {Scenario::Step(8)});
  scenario.RunPasses(30);
  scenario.TakeAdviceRequests();
  scenario.AddWorkers(1);

  SUBCASE("requests advice only about workers not asked about before") {
    scenario.RunPasses(30);
    std::set<std::string> asked;
    for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
      for (const base::BackendId& worker : request.workers) {
        asked.insert(worker.value());
      }
      scenario.AnswerAdviceRequest(request, {});
    }
    CHECK(std::all_of(asked.begin(), asked.end(),
                      [](const std::string& id) { return id == "worker-2"; }));
  }
}

// Load pattern: hundreds of steps wait in a large fleet that is nearly full,
// and each of them needs further workers.
TEST_CASE("a step in a fleet of 250 workers, none of them allowed so far") {
  Scenario scenario;
  scenario.AddWorkers(250);
  scenario.SubmitAndStore(kJob, "advised", {Scenario::Step(20)});
  scenario.RunPasses(2);
  std::set<std::string> asked;
  const auto answer_requests = [&] {
    std::size_t named = 0;
    for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
      for (const base::BackendId& worker : request.workers) {
        asked.insert(worker.value());
      }
      named += request.workers.size();
      scenario.AnswerAdviceRequest(request, {});
    }
    return named;
  };
  CHECK(answer_requests() == 100);
  SUBCASE("requests advice about the others a hundred at a time") {
    scenario.RunPasses(10);
    CHECK(answer_requests() == 100);
    scenario.RunPasses(10);
    CHECK(answer_requests() == 50);
    CHECK(asked.size() == 250);
  }
}

// Guards against a job that never starts because the only call about the
// workers that it may use has failed (fak-sched, hunted day with crashes,
// LOST).
TEST_CASE("a step whose call about further workers fails") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(kJob, "advised", {Scenario::Step(1)});
  scenario.RunPasses(1);
  const auto first = scenario.TakeAdviceRequests();
  REQUIRE(first.size() == 1);
  scenario.AnswerAdviceRequest(first[0], {});
  scenario.AddWorkers(1);
  std::vector<RequestAdvice> further;
  for (int i = 0; i < 30 && further.empty(); ++i) {
    scenario.RunPasses(1);
    further = scenario.TakeAdviceRequests();
  }
  REQUIRE(further.size() == 1);
  scenario.FailAdviceRequest(further[0]);
  scenario.RunPasses(40);
  const auto again = scenario.TakeAdviceRequests();
  REQUIRE_FALSE(again.empty());
  scenario.AnswerAdviceRequest(again[0], {"worker-2"});
  scenario.RunPasses(2);
  CHECK(scenario.TakeStarts().size() == 1);
}

TEST_CASE("a step for which the advisor allowed none of the workers") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(kJob, "advised", {Scenario::Step(1)});
  scenario.RunPasses(2);
  const std::vector<RequestAdvice> requests = scenario.TakeAdviceRequests();
  REQUIRE(requests.size() == 1);
  scenario.AnswerAdviceRequest(requests.front(), {});
  scenario.AddWorkers(1);

  SUBCASE("requests advice about a new worker, not about the others again") {
    scenario.RunPasses(30);
    std::set<std::string> asked;
    for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
      for (const base::BackendId& worker : request.workers) {
        asked.insert(worker.value());
      }
    }
    CHECK(asked == std::set<std::string>{"worker-2"});
  }
}

TEST_CASE("a gang") {
  Scenario scenario;
  scenario.AddWorkers(3);

  SUBCASE("starts with all members at once") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(3)});
    scenario.RunPasses(1);
    const auto starts = scenario.TakeStarts();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].attempt == starts[2].attempt);
  }
  SUBCASE("starts nothing while one member does not fit") {
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(1)});
    scenario.RunPasses(1);
    scenario.TakeStarts();
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(3)});
    scenario.RunPasses(5);
    CHECK(scenario.TakeStarts().empty());
    scenario.EndRun(TaskOf(kOtherJob, 0), RunEnd::kDone);
    scenario.RunPasses(20);
    CHECK(scenario.TakeStarts().size() == 3);
  }
  SUBCASE("keeps its workers free also in passes in which it isn't tried") {
    // With 20,000 workers gangs are tried every 400 ms, in this fleet in each
    // pass. The passes in between must hold the same workers.
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(1)});
    scenario.RunPasses(1);
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(3)});
    scenario.SubmitAndStore(3, "plain", {Scenario::Step(12)});
    scenario.TakeStarts();
    for (int i = 0; i < 20; ++i) {
      scenario.RunPass();  // At the same time as the pass before.
    }
    CHECK(scenario.TakeStarts().empty());
    scenario.EndRun(TaskOf(kOtherJob, 0), RunEnd::kDone);
    scenario.RunPasses(20);
    const auto starts = scenario.TakeStarts();
    REQUIRE(starts.size() >= 3);
    CHECK(starts[0].task.step.job == jobs::JobKey(kJob));
  }
  SUBCASE(
      "requests advice about all workers, and starts once all tickets are "
      "valid") {
    scenario.SubmitAndStore(kJob, "advised", {Scenario::Gang(2)});
    scenario.RunPasses(1);
    const auto requests = scenario.TakeAdviceRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].workers.size() == 3);
    scenario.AnswerAdviceRequest(requests[0], {"worker-0", "worker-2"});
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().size() == 2);
  }
  SUBCASE("with a failed member is stopped and starts again as a whole") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(2)});
    scenario.RunPasses(1);
    const auto first = scenario.TakeStarts();
    REQUIRE(first.size() == 2);
    scenario.EndRun(TaskOf(kJob, 0), RunEnd::kFailed);
    scenario.RunPasses(30);
    const auto second = scenario.TakeStarts();
    REQUIRE(second.size() == 2);
    CHECK(second[0].attempt == second[1].attempt);
    CHECK(second[0].attempt > first[0].attempt);
  }
}

// Load pattern: an organisation submits more work than its cap allows to run.
TEST_CASE("the cap of an organisation") {
  Scenario scenario;
  scenario.AddWorkers(4);
  scenario.SetCap(5);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(4)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 4);

  SUBCASE("holds back tasks beyond it until other tasks have ended") {
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(3)});
    scenario.RunPasses(5);
    CHECK(scenario.TakeStarts().size() == 1);
    scenario.EndRun(TaskOf(kJob, 0), RunEnd::kDone);
    scenario.EndRun(TaskOf(kJob, 1), RunEnd::kDone);
    scenario.RunPasses(20);
    CHECK(scenario.TakeStarts().size() == 2);
  }
  SUBCASE(
      "is reserved for a waiting gang instead of being used up by small "
      "tasks") {
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Gang(1)});
    scenario.SubmitAndStore(3, "plain", {Scenario::Step(1)});
    for (std::uint32_t i = 0; i < 4; ++i) {
      scenario.RunPasses(10);
      CHECK(scenario.TakeStarts().empty());
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
      if (i == 2) {
        break;
      }
    }
    scenario.RunPasses(20);
    const auto starts = scenario.TakeStarts();
    REQUIRE_FALSE(starts.empty());
    CHECK(starts[0].task.step.job == jobs::JobKey(kOtherJob));
  }
}

// Load pattern: an organisation's batch jobs have much slack and could fill its
// cap, while its urgent jobs arrive all the time.
TEST_CASE("the cap of an organisation with urgent jobs") {
  Scenario scenario;
  scenario.AddWorkers(4);
  scenario.SetCap(8);
  std::uint64_t key = 100;
  const auto run_urgent_job = [&scenario, &key] {
    scenario.SubmitAndStore(++key, "urgent", {Scenario::Step(2)});
    scenario.RunPasses(1);
    const std::size_t starts = scenario.TakeStarts().size();
    for (std::uint32_t i = 0; i < 2; ++i) {
      scenario.EndRun(TaskOf(key, i), RunEnd::kDone);
    }
    scenario.RunPasses(4);
    return starts;
  };
  for (int i = 0; i < 30; ++i) {
    REQUIRE(run_urgent_job() == 2);
  }
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(20)});
  scenario.RunPasses(1);
  SUBCASE("is not filled by work that can wait") {
    const std::size_t starts = scenario.TakeStarts().size();
    CHECK(starts >= 4);
    CHECK(starts <= 6);
    CHECK(run_urgent_job() == 2);
  }
  SUBCASE("is filled by it once its slack is half used up") {
    scenario.TakeStarts();
    scenario.RunPasses(60);
    CHECK(scenario.TakeStarts().size() >= 2);
    CHECK(run_urgent_job() == 0);
  }
}

TEST_CASE("the next owner") {
  Scenario scenario;
  scenario.AddWorkers(2);

  SUBCASE("resumes the stored jobs and starts no task twice") {
    scenario.SubmitAndStore(kJob, "plain",
                            {Scenario::Step(2), Scenario::Step(1)});
    scenario.RunPasses(1);
    REQUIRE(scenario.TakeStarts().size() == 3);
    scenario.TakeOver();
    scenario.RunPasses(10);
    CHECK(scenario.TakeStarts().empty());
    for (std::uint32_t i = 0; i < 2; ++i) {
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.EndRun(TaskOf(kJob, 0, 1), RunEnd::kDone);
    scenario.RunPasses(30);
    scenario.Store();
    CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
  }
  SUBCASE("numbers attempts above those of the previous owner") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
    scenario.RunPasses(1);
    const auto first = scenario.TakeStarts();
    REQUIRE(first.size() == 1);
    scenario.EndRun(TaskOf(kJob, 0), RunEnd::kFailed);
    scenario.TakeOver();
    scenario.RunPasses(20);
    const auto second = scenario.TakeStarts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].attempt > first[0].attempt);
  }
  // Guards against jobs that fail for good with their first failed run, because
  // the attempt limit of their dropped queue was lost (soak test, seed 107).
  SUBCASE("applies the last rules of a queue that was dropped") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
    scenario.DropQueue("plain");
    scenario.TakeOver();
    for (std::uint32_t i = 1; i < Scenario::kMaxAttempts; ++i) {
      scenario.RunPasses(20);
      CHECK(scenario.TakeStarts().size() == 1);
      scenario.EndRun(TaskOf(kJob, 0), RunEnd::kFailed);
      scenario.RunPasses(20);
      scenario.Store();
      CHECK(StateOf(&scenario, kJob) != JobState::kFailed);
    }
    scenario.RunPasses(20);
    scenario.EndRun(TaskOf(kJob, 0), RunEnd::kDone);
    scenario.RunPasses(20);
    scenario.Store();
    CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
  }
  SUBCASE("refuses new jobs for a dropped queue") {
    scenario.DropQueue("plain");
    scenario.TakeOver();
    CHECK(scenario.Submit(kJob, "plain", {Scenario::Step(1)}).outcome ==
          SubmitOutcome::kRefused);
  }
  SUBCASE("knows the final states of jobs that ended before") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
    scenario.RunPasses(1);
    scenario.EndRun(TaskOf(kJob, 0), RunEnd::kDone);
    scenario.RunPasses(20);
    scenario.Store();
    scenario.TakeOver();
    CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
    CHECK(scenario.Submit(kJob, "plain", {Scenario::Step(1)}).outcome ==
          SubmitOutcome::kAccepted);
    scenario.RunPasses(5);
    CHECK(scenario.TakeStarts().size() <= 1);
  }
}

// Guards against tasks that are started again after their success, once a
// worker has more run ends than it lists at a time (review, case 2).
TEST_CASE("more run ends than a worker lists wait for the store") {
  constexpr std::uint32_t kTasks = 1300;
  Scenario scenario;
  scenario.AddWorkers(1);
  jobs::StepSpec step = Scenario::Step(kTasks);
  step.needs.cpu = base::Millicores(3);
  scenario.SubmitAndStore(1, "plain", {step});
  scenario.RunPasses(2);
  std::set<jobs::TaskRef> started;
  const auto count_repeated_starts = [&] {
    int repeated = 0;
    for (const StartTask& start : scenario.TakeStarts()) {
      repeated += started.insert(start.task).second ? 0 : 1;
    }
    return repeated;
  };
  REQUIRE(count_repeated_starts() == 0);
  REQUIRE(started.size() == kTasks);
  for (std::uint32_t task = 0; task < kTasks; ++task) {
    scenario.EndRun({{jobs::JobKey(1), 0, 0}, task}, jobs::RunEnd::kDone);
  }

  SUBCASE("none is started again by the owner that started it") {
    scenario.RunPasses(30);
    CHECK(count_repeated_starts() == 0);
  }
  SUBCASE("none is started again by the next owner") {
    scenario.TakeOver();
    scenario.RunPasses(30);
    CHECK(count_repeated_starts() == 0);
  }
  for (int i = 0; i < 30; ++i) {
    scenario.RunPasses(1);
    scenario.Store();
  }
  CHECK(count_repeated_starts() == 0);
  CHECK(scenario.UnacknowledgedEnds("worker-0") == 0);
  CHECK(scenario.scheduler().StateOf(jobs::JobKey(1)) ==
        jobs::JobState::kCompleted);
}

// Guards against counts of waiting jobs that leave out those whose start orders
// get no answer (review, case 5).
TEST_CASE("jobs whose start orders get no answer") {
  constexpr std::uint64_t kJobs = 4;
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.loses_start_answers = true;
  SUBCASE("wait while the orders are lost") { scenario.loses_starts = true; }
  SUBCASE("have begun once their workers list them") {}
  for (std::uint64_t job = 1; job <= kJobs; ++job) {
    scenario.SubmitAndStore(job, "plain", {Scenario::Step(1)});
  }
  scenario.RunPasses(2);
  REQUIRE(scenario.TakeStarts().size() >= kJobs);
  const bool have_begun = !scenario.loses_starts;
  const auto check = [&] {
    const auto pending = scenario.scheduler().PendingJobs();
    const auto plain = pending.find(desired::QueueId("plain"));
    CHECK((plain == pending.end() ? 0 : plain->second) ==
          (have_begun ? 0 : kJobs));
    CHECK(scenario.scheduler().StateOf(jobs::JobKey(1)) ==
          (have_begun ? jobs::JobState::kInProgress : jobs::JobState::kQueued));
  };
  scenario.RunPasses(1);
  check();
  scenario.Store();
  scenario.TakeOver();
  scenario.RunPasses(2);
  check();
}

// Guards against tasks that run twice at once, since the workers on which they
// run are taken for shut down (review, case 3).
TEST_CASE("the service of draining workers is replaced while tasks run") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(1, "plain", {Scenario::Step(10)});
  scenario.RunPasses(2);
  REQUIRE(scenario.TakeStarts().size() == 8);
  for (const char* worker : {"worker-0", "worker-1"}) {
    scenario.DrainWorker(worker);
  }
  scenario.RunPasses(4);
  scenario.ReplaceService("new");
  scenario.AddWorkers(2);
  scenario.RunPasses(20);
  scenario.Store();

  SUBCASE("only what waits is started on the workers of the new one") {
    CHECK(scenario.TakeStarts().size() == 2);
    CHECK(scenario.RunningOn("worker-0").size() == 4);
  }
  SUBCASE("what has ended is acknowledged") {
    const auto tasks = scenario.RunningOn("worker-0");
    for (const jobs::TaskRef& task : tasks) {
      scenario.EndRun(task, jobs::RunEnd::kDone);
    }
    for (int i = 0; i < 5; ++i) {
      scenario.RunPasses(1);
      scenario.Store();
    }
    CHECK(scenario.UnacknowledgedEnds("worker-0") == 0);
    CHECK(scenario.TakeStarts().size() == 2);
  }
}

// Guards against passes that cost as much as there is waiting, although nothing
// has changed for what waits.
TEST_CASE("a backlog on a full fleet") {
  constexpr std::uint64_t kBacklog = 40;
  constexpr int kPasses = 4;
  SchedulerSettings settings;
  settings.fleet.poll_interval = milliseconds(5);
  SchedulerScenario scenario(settings);
  scenario.AddWorkers(2);
  scenario.RunPasses(1);
  // One worker has cores left but no memory, the other one memory but no cores.
  jobs::StepSpec all_memory = SchedulerScenario::Step(1);
  all_memory.needs.memory = base::Mebibytes(1024);
  scenario.SubmitAndStore(1, "plain", {all_memory});
  scenario.RunPasses(1);
  scenario.SubmitAndStore(2, "plain", {SchedulerScenario::Step(7)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 8);
  const std::string full = scenario.WorkerOf(TaskOf(1, 0));
  std::uint32_t ended = 0;
  while (scenario.WorkerOf(TaskOf(2, ended)) != full) {
    ++ended;
  }
  scenario.EndRun(TaskOf(2, ended), RunEnd::kDone);
  scenario.RunPasses(1);
  jobs::StepSpec waiting = SchedulerScenario::Step(1);
  waiting.needs.memory = base::Mebibytes(512);
  for (std::uint64_t key = 3; key < 3 + kBacklog; ++key) {
    scenario.SubmitAndStore(key, "plain", {waiting});
  }
  scenario.RunPass();
  CHECK(scenario.TakeStarts().empty());
  CHECK(scenario.scheduler().TakePassEffort().steps_searched >= kBacklog);
  SUBCASE("is not searched for again while nothing changes") {
    for (int i = 0; i < kPasses; ++i) {
      scenario.Advance(milliseconds(10));
      scenario.RunPass();
    }
    CHECK(scenario.scheduler().TakePassEffort().steps_searched == 0);
  }
  SUBCASE("is not searched for at each dear pass once it is overdue") {
    // In steps, so that leases are renewed meanwhile.
    scenario.RunPasses(600);
    scenario.scheduler().TakePassEffort();
    for (int i = 0; i < kPasses; ++i) {
      scenario.Advance(milliseconds(100));
      scenario.RunPass();
    }
    CHECK(scenario.scheduler().TakePassEffort().steps_searched <= kBacklog);
  }
  SUBCASE("is placed as soon as a run ends") {
    std::uint32_t other = 0;
    while (scenario.WorkerOf(TaskOf(2, other)) == full ||
           scenario.WorkerOf(TaskOf(2, other)).empty()) {
      ++other;
    }
    scenario.EndRun(TaskOf(2, other), RunEnd::kDone);
    std::size_t started = 0;
    for (int i = 0; i < kPasses && started == 0; ++i) {
      scenario.Advance(milliseconds(10));
      scenario.RunPass();
      started = scenario.TakeStarts().size();
    }
    CHECK(started == 1);
  }
}

// Guards against steps whose placement costs as much as the fleet is large.
TEST_CASE("advice for a small step in a large fleet") {
  constexpr int kWorkers = 1000;
  constexpr int kJobs = 20;
  SchedulerScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.RunPasses(1);
  scenario.scheduler().TakePassEffort();
  std::set<base::BackendId> asked;
  for (std::uint64_t key = 1; key <= kJobs; ++key) {
    scenario.SubmitAndStore(key, "advised", {SchedulerScenario::Step(2)});
    scenario.RunPass();
    for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
      asked.insert(request.workers.begin(), request.workers.end());
      scenario.AnswerAdviceRequest(request, {});
    }
  }
  const PassEffort effort = scenario.scheduler().TakePassEffort();
  SUBCASE("compares a part of the workers") {
    CHECK(effort.workers_compared > 0);
    CHECK(effort.workers_compared <= kJobs * kWorkers / 5);
  }
  SUBCASE("names other workers for each step") {
    CHECK(asked.size() >= kWorkers / 5);
  }
}

// Guards against a gate that never limits anything because it is never told of
// a job that was begun.
TEST_CASE("an owner that lags tells its gate which jobs it begins") {
  constexpr base::Duration kTick = milliseconds(20);
  constexpr int kJobs = 120;
  // Just more than the owner begins in the time that a job takes to prepare.
  constexpr std::uint64_t kWaiting = 8;
  SchedulerScenario scenario;
  scenario.AddWorkers(kJobs);
  admission::SaturationGate gate;
  for (std::uint64_t key = 1; key <= kJobs; ++key) {
    scenario.SubmitAndStore(key, "plain", {SchedulerScenario::Step(4)});
    scenario.RunPass();
    scenario.Advance(kTick);
    gate.Update(milliseconds(50),
                {scenario.scheduler().TakeJobsBegun(), kWaiting},
                scenario.now());
  }
  SUBCASE("a job counts once, however many of its tasks start") {
    REQUIRE(gate.limit());
    CHECK(*gate.limit() > 40);
    CHECK(*gate.limit() < 60);
  }
  SUBCASE("so that it refuses what is beyond that rate") {
    int accepted = 0;
    for (int i = 0; i < kJobs; ++i) {
      accepted += gate.TryAcquire() ? 1 : 0;
    }
    CHECK(accepted < kJobs / 10);
  }
}

TEST_CASE("jobs of so many steps that their records take several pages") {
  Scenario s;
  s.AddWorkers(4);
  std::vector<jobs::StepSpec> steps(900, Scenario::Step(1));
  for (jobs::StepSpec& step : steps) {
    step.image = std::string(100, 'i');
  }
  constexpr std::uint64_t kJobs = 6;
  for (std::uint64_t key = 1; key <= kJobs; ++key) {
    REQUIRE(s.Submit(key, "plain", steps).outcome == SubmitOutcome::kStoring);
  }
  // Together they exceed a transaction of the store, which Store checks.
  s.Store();
  s.TakeOver();
  for (std::uint64_t key = 1; key <= kJobs; ++key) {
    CHECK(s.scheduler().IsKnown(jobs::JobKey(key)));
  }
  SUBCASE("are refused if they don't fit into one batch") {
    for (jobs::StepSpec& step : steps) {
      step.image = std::string(500, 'i');
    }
    const SubmitResult result = s.Submit(kJobs + 1, "plain", steps);
    CHECK(result.outcome == SubmitOutcome::kRefused);
    CHECK(result.reason == "job_too_large");
  }
}

TEST_CASE("jobs that take too much memory are refused") {
  SchedulerSettings settings;
  const std::vector<jobs::StepSpec> steps = {Scenario::Step(1000)};
  const std::size_t bytes =
      JobRegistry::ApproximateBytes({.payload = {}, .steps = steps});
  CHECK(bytes > 1000 * sizeof(jobs::Task));
  settings.max_job_bytes = 5 * bytes;
  Scenario s(settings);
  s.AddWorkers(1);
  REQUIRE(s.Submit(1, "plain", steps).outcome == SubmitOutcome::kStoring);
  REQUIRE(s.Submit(2, "plain", steps).outcome == SubmitOutcome::kStoring);
  SUBCASE("beyond the organisation's half") {
    CHECK(s.Submit(3, "plain", steps).reason == "organisation_too_large");
    CHECK(s.Submit(3, "plain", {Scenario::Step(1)}).outcome ==
          SubmitOutcome::kStoring);
  }
  SUBCASE("also after a change of owner") {
    s.Store();
    s.TakeOver();
    CHECK(s.Submit(3, "plain", steps).reason == "organisation_too_large");
  }
  SUBCASE("until others have ended") {
    s.Store();
    s.scheduler().Cancel(jobs::JobKey(1), WaiterId(100), s.now());
    s.Store();
    CHECK(s.Submit(3, "plain", steps).outcome == SubmitOutcome::kStoring);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
