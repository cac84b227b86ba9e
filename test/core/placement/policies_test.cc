// The decisions of placement at the worst load, each on the pattern it answers.
#include <doctest/doctest.h>

#include "dotterelbarrow/core/placement/overload_guard.h"
#include "dotterelbarrow/core/placement/submission_rate.h"
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
  return UrgencyOf(&due, 0, queue, over_share, now);
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
  SUBCASE("what can't be in time any more goes behind what can") {
    const base::TimePoint later = kStart + seconds(3);
    const Urgency late = UrgencyAt(lookup, urgent, later);
    CHECK(late.standing == Standing::kLate);
    CHECK(UrgencyAt(reconciliation, batch, later) < late);
  }
  SUBCASE("what has lost its worth goes last") {
    const base::TimePoint later = kStart + seconds(30);
    CHECK(UrgencyAt(lookup, urgent, later).standing == Standing::kExpired);
  }
  SUBCASE("within a queue, what has the least time left goes first") {
    const jobs::Job newer = JobOf(milliseconds(600), kStart + milliseconds(5));
    CHECK(UrgencyAt(lookup, urgent, kStart) < UrgencyAt(newer, urgent, kStart));
  }
}

TEST_CASE("a job of several steps") {
  const desired::Queue batch = QueueOf(2, 4.0);
  jobs::Job chain = JobOf(seconds(2), kStart);
  jobs::StepSpec last;
  last.estimate = seconds(3);
  last.depends_on = {0};
  chain.spec.steps.push_back(last);
  const base::TimePoint due = kStart + 4 * seconds(5) + seconds(1);
  SUBCASE("begins early enough for the steps that follow") {
    CHECK(UrgencyAt(chain, batch, kStart).latest_start == due - seconds(5));
  }
  SUBCASE("has what is left for its last step") {
    CHECK(UrgencyOf(&chain, 1, batch, false, kStart).latest_start ==
          due - seconds(3));
  }
  SUBCASE("counts a call for advice with each step") {
    desired::Queue advised = batch;
    advised.advice =
        desired::AdvicePolicy{milliseconds(70), milliseconds(1), seconds(1)};
    CHECK(UrgencyOf(&chain, 1, advised, false, kStart).latest_start ==
          due + 4 * milliseconds(200) - seconds(3) - milliseconds(100));
  }
}

TEST_CASE("one organisation sends several times its usual") {
  SubmissionRates rates;
  const base::OrganisationId loud("loud");
  const base::OrganisationId quiet("quiet");
  constexpr double kWeight = 10;
  int within = 0;
  int quiet_within = 0;
  for (int i = 0; i < 700; ++i) {
    const base::TimePoint now = kStart + milliseconds(10) * i;
    within += rates.Take(loud, kWeight, now) ? 1 : 0;
    if (i % 10 == 0) {
      quiet_within += rates.Take(quiet, kWeight, now) ? 1 : 0;
    }
  }
  SUBCASE("its weight is what is taken as its own") {
    CHECK(within == doctest::Approx(7 * kWeight + 2 * kWeight).epsilon(0.05));
  }
  SUBCASE("the others keep all of theirs") { CHECK(quiet_within == 70); }
  SUBCASE("what is beyond goes behind the others' work") {
    const desired::Queue urgent = QueueOf(0, 1.5);
    const desired::Queue batch = QueueOf(2, 4.0);
    const jobs::Job lookup = JobOf(milliseconds(600), kStart);
    CHECK(UrgencyAt(JobOf(seconds(2), kStart), batch, kStart) <
          UrgencyAt(lookup, urgent, kStart, true));
  }
}

TEST_CASE("more comes than the fleet can do") {
  constexpr double kFull = 0.95;
  const base::OrganisationId loud("loud");
  const base::OrganisationId other("other");
  OverloadGuard guard;
  guard.Clear(kFull);
  const desired::QueueId lookups("lookups");
  const desired::QueueId batch("batch");

  SUBCASE("without anything waiting, everything is taken") {
    CHECK(guard.Decide(lookups, loud, true) == Refusal::kNone);
  }
  SUBCASE("what is beyond a share goes first, as soon as others wait") {
    guard.NoteWaiting(batch, 0.4);
    CHECK(guard.Decide(lookups, loud, true) == Refusal::kOverShare);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kNone);
  }
  SUBCASE("a queue is closed only while its jobs are about to be late") {
    guard.NoteWaiting(lookups, 0.5);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kNone);
    guard.NoteWaiting(lookups, 0.95);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kOverloaded);
    CHECK(guard.Decide(batch, loud, false) == Refusal::kNone);
  }
  SUBCASE("it opens again with the next look") {
    guard.NoteWaiting(lookups, 0.95);
    guard.Clear(kFull);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kNone);
  }
  SUBCASE("what is beyond a share goes in a busy fleet, the rest stays") {
    guard.Clear(0.8);
    guard.NoteWaiting(lookups, 0.95);
    CHECK(guard.Decide(lookups, loud, true) == Refusal::kOverShare);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kNone);
  }
  SUBCASE("an organisation at its cap is refused alone, in a free fleet") {
    guard.Clear(0.5);
    guard.NoteCapped(loud, 0.5);
    CHECK(guard.Decide(lookups, loud, true) == Refusal::kOverShare);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kNone);
    guard.NoteCapped(loud, 0.95);
    CHECK(guard.Decide(lookups, loud, false) == Refusal::kAtCap);
    CHECK(guard.Decide(lookups, other, true) == Refusal::kNone);
  }
  SUBCASE("nothing is refused while the fleet has room") {
    guard.Clear(0.5);
    guard.NoteWaiting(lookups, 0.95);
    CHECK(guard.Decide(lookups, loud, true) == Refusal::kNone);

    SUBCASE("unless the owner itself can't keep up") {
      guard.set_saturated(true);
      CHECK(guard.Decide(lookups, loud, true) == Refusal::kOverShare);
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

TEST_CASE("small tasks beside gangs that need large holes") {
  const workers::Worker full = WorkerOf("full", 16);
  const workers::Worker empty = WorkerOf("empty", 16);
  jobs::StepSpec step;
  step.needs = {base::Millicores(1000), base::Mebibytes(1024),
                base::Accelerators(0), base::Slots(0)};

  SUBCASE("go where the least is left over") {
    CHECK(Badness(CandidateOf(full, 12), step, {}) <
          Badness(CandidateOf(empty, 0), step, {}));
  }
  SUBCASE("leave a worker that is kept for a gang") {
    Candidate held = CandidateOf(full, 12);
    held.is_held = true;
    CHECK(Badness(CandidateOf(empty, 0), step, {}) < Badness(held, step, {}));
  }
  SUBCASE("don't return to the worker on which they failed") {
    CHECK(Badness(CandidateOf(empty, 0), step, {}) <
          Badness(CandidateOf(full, 12), step, base::BackendId("full")));
  }
  SUBCASE("go near their data before all that") {
    step.data_rack = "r1-3";
    workers::Listing near = WorkerOf("near", 16).listing();
    near.rack = "r1-3";
    const workers::Worker near_worker(near);
    CHECK(Badness(CandidateOf(near_worker, 0), step, {}) <
          Badness(CandidateOf(full, 12), step, {}));
  }
  SUBCASE("that only fill idle processors go where most is idle") {
    step.fills_idle_cpu = true;
    CHECK(Badness(CandidateOf(empty, 0), step, {}) <
          Badness(CandidateOf(full, 12), step, {}));
  }
}

TEST_CASE("room") {
  const workers::Worker worker = WorkerOf("worker", 4);
  jobs::StepSpec step;
  step.needs.cpu = base::Millicores(3000);
  SUBCASE("is never given twice") {
    CHECK(HasRoom(CandidateOf(worker, 1), step));
    CHECK_FALSE(HasRoom(CandidateOf(worker, 2), step));
  }
  SUBCASE("counts a filling task's memory, not its processors") {
    step.fills_idle_cpu = true;
    CHECK(HasRoom(CandidateOf(worker, 4), step));
    step.needs.memory = base::Mebibytes(65537);
    CHECK_FALSE(HasRoom(CandidateOf(worker, 0), step));
  }
  SUBCASE("is bounded by how many tasks of a step a worker may have") {
    step.max_per_worker = 1;
    Candidate candidate = CandidateOf(worker, 0);
    candidate.of_step = 1;
    CHECK_FALSE(HasRoom(candidate, step));
  }
  SUBCASE("for several tasks is what taking one by one finds") {
    const workers::Worker large = WorkerOf("large", 16);
    for (const std::int64_t cores : {0, 1, 3, 5, 16}) {
      for (const std::uint32_t bound : {0U, 2U}) {
        step.needs.cpu = base::Millicores(cores * 1000);
        step.needs.memory = base::Mebibytes(9000);
        step.max_per_worker = bound;
        for (const std::uint32_t most : {1U, 4U, 9U}) {
          Candidate candidate = CandidateOf(large, 3);
          std::uint32_t found = 0;
          while (found < most && HasRoom(candidate, step)) {
            TakeRoom(&candidate, step);
            ++found;
          }
          CAPTURE(cores);
          CAPTURE(bound);
          CHECK(RoomFor(CandidateOf(large, 3), step, most) == found);
        }
      }
    }
  }
  SUBCASE("is never shared by tasks that serve and tasks that fill") {
    workers::Worker with_serving = worker;
    workers::Run run;
    run.is_serving = true;
    with_serving.AddRun(run);
    step.fills_idle_cpu = true;
    CHECK(HasRoom(CandidateOf(worker, 0), step));
    CHECK_FALSE(HasRoom(CandidateOf(with_serving, 0), step));

    workers::Worker with_filling = worker;
    run.is_serving = false;
    run.is_filling = true;
    with_filling.AddRun(run);
    step.fills_idle_cpu = false;
    step.response_target = milliseconds(80);
    CHECK_FALSE(HasRoom(CandidateOf(with_filling, 0), step));
  }
  SUBCASE("of a worker without the label is no room") {
    step.required_label = "gpu";
    CHECK_FALSE(IsSuitable(worker, step));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
