// Tests of the placement policies, each under the load pattern that it is meant
// for.
#include <doctest/doctest.h>

#include "dotterelbarrow/core/placement/load_shedder.h"
#include "dotterelbarrow/core/placement/submission_rate_limiter.h"
#include "dotterelbarrow/core/placement/urgency.h"
#include "dotterelbarrow/core/placement/worker_choice.h"

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(100)};

desired::Queue QueueOf(int priority, double slack) {
  desired::Queue queue;
  queue.priority = priority;
  queue.slack_factor = slack;
  queue.completion_target = milliseconds(1000);
  return queue;
}

jobs::Job JobOf(base::Duration estimate, base::TimePoint accepted_at) {
  jobs::Job job;
  jobs::StepSpec step;
  step.estimate = estimate;
  job.spec.steps = {step};
  job.accepted_at = accepted_at;
  return job;
}

Urgency UrgencyAt(const jobs::Job& job, const desired::Queue& queue,
                  base::TimePoint now, bool over_share = false) {
  jobs::Job due = job;
  return UrgencyOf(&due, 0, queue, RunTimeModel(), over_share, now);
}

TEST_CASE("a burst fills the fleet for seconds") {
  const desired::Queue urgent = QueueOf(0, 1.5);
  const desired::Queue batch = QueueOf(2, 4.0);
  const jobs::Job lookup = JobOf(milliseconds(600), kStart);
  const jobs::Job reconciliation = JobOf(seconds(2), kStart);

  SUBCASE("urgent work goes first") {
    CHECK(UrgencyAt(lookup, urgent, kStart) <
          UrgencyAt(reconciliation, batch, kStart));
  }
  SUBCASE("jobs that can't be on time any more go behind those that can") {
    const base::TimePoint later = kStart + seconds(3);
    const Urgency late = UrgencyAt(lookup, urgent, later);
    CHECK(late.deadline_status == DeadlineStatus::kLate);
    CHECK(UrgencyAt(reconciliation, batch, later) < late);
  }
  SUBCASE("a job whose completion has no value left has expired") {
    const base::TimePoint later = kStart + seconds(30);
    CHECK(UrgencyAt(lookup, urgent, later).deadline_status ==
          DeadlineStatus::kExpired);
  }
  SUBCASE("within a queue, the job with the least time left goes first") {
    const jobs::Job newer = JobOf(milliseconds(600), kStart + milliseconds(5));
    CHECK(UrgencyAt(lookup, urgent, kStart) < UrgencyAt(newer, urgent, kStart));
  }
}

// Guards against objectives that follow estimates which are known to be wrong.
TEST_CASE("a queue whose estimates are half of the run times") {
  const desired::Queue batch = QueueOf(2, 4.0);
  RunTimeModel run_times;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    run_times.RecordRun({.worker = workers::WorkerNumber(i % 10),
                         .queue = batch.id,
                         .task = {{jobs::JobKey(i), 0, 0}, 0},
                         .estimate = seconds(2),
                         .run_time = seconds(4)},
                        kStart + milliseconds(50) * i);
  }
  jobs::Job job = JobOf(seconds(2), kStart);
  const Urgency urgency = UrgencyOf(&job, 0, batch, run_times, false, kStart);
  const base::Duration by_estimate =
      UrgencyAt(JobOf(seconds(2), kStart), batch, kStart).latest_start - kStart;
  CHECK(by_estimate == 3 * seconds(2) + seconds(1));
  // The objective is four times the real work and a second.
  CHECK(urgency.latest_start - kStart > 3 * milliseconds(3700) + seconds(1));
  CHECK(urgency.latest_start - kStart < 3 * milliseconds(4300) + seconds(1));
}

TEST_CASE("a job of several steps") {
  const desired::Queue batch = QueueOf(2, 4.0);
  jobs::Job chain = JobOf(seconds(2), kStart);
  jobs::StepSpec last;
  last.estimate = seconds(3);
  last.depends_on = {0};
  chain.spec.steps.push_back(last);
  const base::TimePoint due = kStart + 4 * seconds(5) + seconds(1);
  SUBCASE("must start early enough for the steps that follow") {
    CHECK(UrgencyAt(chain, batch, kStart).latest_start == due - seconds(5));
  }
  SUBCASE("has the remaining time for its last step") {
    CHECK(UrgencyOf(&chain, 1, batch, RunTimeModel(), false, kStart)
              .latest_start == due - seconds(3));
  }
  SUBCASE("includes one advisor call per step") {
    desired::Queue advised = batch;
    advised.advice =
        desired::AdvicePolicy{milliseconds(70), milliseconds(1), seconds(1)};
    CHECK(UrgencyOf(&chain, 1, advised, RunTimeModel(), false, kStart)
              .latest_start ==
          due + 4 * milliseconds(200) - seconds(3) - milliseconds(100));
  }
}

TEST_CASE("one organisation submits several times its usual rate") {
  SubmissionRateLimiter rates;
  const base::OrganisationId loud("loud");
  const base::OrganisationId quiet("quiet");
  constexpr double kWeight = 10;
  int loud_within = 0;
  int quiet_within = 0;
  for (int i = 0; i < 700; ++i) {
    const base::TimePoint now = kStart + milliseconds(10) * i;
    loud_within += rates.TryAcquire(loud, kWeight, now) ? 1 : 0;
    if (i % 10 == 0) {
      quiet_within += rates.TryAcquire(quiet, kWeight, now) ? 1 : 0;
    }
  }
  SUBCASE("its jobs are accepted as its own up to its weight plus a burst") {
    CHECK(loud_within ==
          doctest::Approx(7 * kWeight + 2 * kWeight).epsilon(0.05));
  }
  SUBCASE("another organisation within its weight is not limited") {
    CHECK(quiet_within == 70);
  }
  SUBCASE("jobs beyond the weight go behind the work of others") {
    const desired::Queue urgent = QueueOf(0, 1.5);
    const desired::Queue batch = QueueOf(2, 4.0);
    const jobs::Job lookup = JobOf(milliseconds(600), kStart);
    CHECK(UrgencyAt(JobOf(seconds(2), kStart), batch, kStart) <
          UrgencyAt(lookup, urgent, kStart, true));
  }
}

TEST_CASE("jobs arrive faster than the fleet can run them") {
  constexpr double kFull = 0.95;
  constexpr int kUrgent = 0;
  constexpr int kBatch = 2;
  const base::OrganisationId loud("loud");
  const base::OrganisationId other("other");
  LoadShedder shedder;
  shedder.BeginPass(kFull);
  const desired::QueueId lookups("lookups");
  const desired::QueueId batch("batch");

  SUBCASE("nothing is refused while no job waits") {
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kNone);
  }
  SUBCASE("jobs beyond a share are refused first, as soon as others wait") {
    shedder.RecordWaiting(lookups, kUrgent, 0.4);
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kOverShare);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) == Refusal::kNone);
  }
  // Guards against lookups that are refused because gangs wait for capacity
  // that only gangs lack.
  SUBCASE("jobs beyond a share are accepted while only other work waits") {
    shedder.RecordWaiting(batch, kBatch, 0.95);
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kNone);
    CHECK(shedder.Decide(batch, kBatch, loud, true) == Refusal::kOverShare);
    const desired::QueueId own_batch("own batch");
    CHECK(shedder.Decide(own_batch, kBatch, loud, true) == Refusal::kOverShare);
    shedder.set_saturated(true);
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kOverShare);
  }
  SUBCASE("a queue's jobs are refused only while some are about to be late") {
    shedder.RecordWaiting(lookups, kUrgent, 0.5);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) == Refusal::kNone);
    shedder.RecordWaiting(lookups, kUrgent, 0.95);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) ==
          Refusal::kOverloaded);
    CHECK(shedder.Decide(batch, kBatch, loud, false) == Refusal::kNone);
  }
  SUBCASE("a queue accepts jobs again in the next pass") {
    shedder.RecordWaiting(lookups, kUrgent, 0.95);
    shedder.BeginPass(kFull);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) == Refusal::kNone);
  }
  SUBCASE("in a busy fleet only jobs beyond a share are refused") {
    shedder.BeginPass(0.8);
    shedder.RecordWaiting(lookups, kUrgent, 0.95);
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kOverShare);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) == Refusal::kNone);
  }
  SUBCASE("only the organisation at its cap is refused in a free fleet") {
    shedder.BeginPass(0.5);
    shedder.RecordCapped(loud, 0.5);
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kOverShare);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) == Refusal::kNone);
    shedder.RecordCapped(loud, 0.95);
    CHECK(shedder.Decide(lookups, kUrgent, loud, false) == Refusal::kAtCap);
    CHECK(shedder.Decide(lookups, kUrgent, other, true) == Refusal::kNone);
  }
  SUBCASE("nothing is refused while the fleet has free capacity") {
    shedder.BeginPass(0.5);
    shedder.RecordWaiting(lookups, kUrgent, 0.95);
    CHECK(shedder.Decide(lookups, kUrgent, loud, true) == Refusal::kNone);

    SUBCASE("unless the owner's processor is saturated") {
      shedder.set_saturated(true);
      CHECK(shedder.Decide(lookups, kUrgent, loud, true) ==
            Refusal::kOverShare);
    }
  }
}

workers::Worker WorkerOf(const char* id, std::int64_t cores) {
  workers::Listing listing;
  listing.id = base::BackendId(id);
  listing.capacity = {base::Millicores(cores * 1000), base::Mebibytes(65536),
                      base::Accelerators(0), base::Slots(0)};
  return workers::Worker(listing);
}

Candidate CandidateOf(const workers::Worker& worker, std::int64_t used_cores) {
  base::Resources free = worker.listing().capacity;
  free.cpu -= base::Millicores(used_cores * 1000);
  return {&worker, free, 0, false};
}

TEST_CASE("small tasks, while gangs need large free capacity") {
  const workers::Worker full = WorkerOf("full", 16);
  const workers::Worker empty = WorkerOf("empty", 16);
  jobs::StepSpec step;
  step.needs = {base::Millicores(1000), base::Mebibytes(1024),
                base::Accelerators(0), base::Slots(0)};

  SUBCASE("go to the worker with the least left over") {
    CHECK(PlacementCost(CandidateOf(full, 12), step, {}) <
          PlacementCost(CandidateOf(empty, 0), step, {}));
  }
  SUBCASE("avoid a worker that is held for a gang") {
    Candidate held = CandidateOf(full, 12);
    held.is_held_for_gang = true;
    CHECK(PlacementCost(CandidateOf(empty, 0), step, {}) <
          PlacementCost(held, step, {}));
  }
  SUBCASE("don't return to the worker on which they failed") {
    CHECK(PlacementCost(CandidateOf(empty, 0), step, {}) <
          PlacementCost(CandidateOf(full, 12), step, base::BackendId("full")));
  }
  SUBCASE("go near their data whatever the packing") {
    step.data_rack = "r1-3";
    workers::Listing near = WorkerOf("near", 16).listing();
    near.rack = "r1-3";
    const workers::Worker near_worker(near);
    CHECK(PlacementCost(CandidateOf(near_worker, 0), step, {}) <
          PlacementCost(CandidateOf(full, 12), step, {}));
  }
  SUBCASE("go to the most idle worker if they only fill idle processor time") {
    step.fills_idle_cpu = true;
    CHECK(PlacementCost(CandidateOf(empty, 0), step, {}) <
          PlacementCost(CandidateOf(full, 12), step, {}));
  }
}

TEST_CASE("room") {
  const workers::Worker worker = WorkerOf("worker", 4);
  jobs::StepSpec step;
  step.needs.cpu = base::Millicores(3000);
  SUBCASE("is never allocated twice") {
    CHECK(HasCapacityFor(CandidateOf(worker, 1), step));
    CHECK_FALSE(HasCapacityFor(CandidateOf(worker, 2), step));
  }
  SUBCASE("is used by a filling task's memory but not by its processors") {
    step.fills_idle_cpu = true;
    CHECK(HasCapacityFor(CandidateOf(worker, 4), step));
    step.needs.memory = base::Mebibytes(65537);
    CHECK_FALSE(HasCapacityFor(CandidateOf(worker, 0), step));
  }
  SUBCASE("is bounded by the step's maximum of tasks per worker") {
    step.max_per_worker = 1;
    Candidate candidate = CandidateOf(worker, 0);
    candidate.tasks_of_step = 1;
    CHECK_FALSE(HasCapacityFor(candidate, step));
  }
  SUBCASE("fits as many tasks as allocating one by one does") {
    const workers::Worker large = WorkerOf("large", 16);
    for (const std::int64_t cores : {0, 1, 3, 5, 16}) {
      for (const std::uint32_t bound : {0U, 2U}) {
        step.needs.cpu = base::Millicores(cores * 1000);
        step.needs.memory = base::Mebibytes(9000);
        step.max_per_worker = bound;
        for (const std::uint32_t most : {1U, 4U, 9U}) {
          Candidate candidate = CandidateOf(large, 3);
          std::uint32_t found = 0;
          while (found < most && HasCapacityFor(candidate, step)) {
            AllocateTask(&candidate, step);
            ++found;
          }
          CAPTURE(cores);
          CAPTURE(bound);
          CHECK(CountFittingTasks(CandidateOf(large, 3), step, most) == found);
        }
      }
    }
  }
  SUBCASE("is never shared by serving tasks and tasks that fill idle time") {
    workers::Worker with_serving = worker;
    workers::Run run;
    run.is_serving = true;
    with_serving.AddRun(run);
    step.fills_idle_cpu = true;
    CHECK(HasCapacityFor(CandidateOf(worker, 0), step));
    CHECK_FALSE(HasCapacityFor(CandidateOf(with_serving, 0), step));

    workers::Worker with_filling = worker;
    run.is_serving = false;
    run.fills_idle_cpu = true;
    with_filling.AddRun(run);
    step.fills_idle_cpu = false;
    step.response_target = milliseconds(80);
    CHECK_FALSE(HasCapacityFor(CandidateOf(with_filling, 0), step));
  }
  SUBCASE("can't be used by a step whose label the worker lacks") {
    step.required_label = "gpu";
    CHECK_FALSE(IsSuitable(worker, step));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
