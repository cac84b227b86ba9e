// Silent workers, and what the next owner knows of their leases.
#include <doctest/doctest.h>

#include "test/core/scheduler/scheduler_story.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Story = SchedulerStory;

constexpr std::uint64_t kJob = 0x77;
const char* const kLost = "worker-1";

// Lets passes and writes follow each other.
void Live(Story* story, base::Duration duration) {
  const base::TimePoint end = story->now() + duration;
  while (story->now() < end) {
    story->Passes(1);
    story->Store();
  }
}

std::size_t StartsOn(Story* story, const std::string& worker) {
  std::size_t starts = 0;
  for (const StartTask& start : story->TakeStarts()) {
    starts += start.worker.id.value() == worker ? 1 : 0;
  }
  return starts;
}

TEST_CASE("a worker falls silent, and the owner is lost later") {
  Story story;
  story.AddWorkers(2);
  Live(&story, seconds(1));
  story.silent_workers = {kLost};
  const base::TimePoint silent_at = story.now();

  SUBCASE("after its leases have lapsed: what waits starts at once") {
    Live(&story, seconds(6));
    story.Accept(kJob, "plain", {Story::Step(1)});
    story.TakeOver();
    story.Passes(2);
    CHECK(story.TakeStarts().size() == 1);
  }
  SUBCASE("before that: what waits starts when they have, and not sooner") {
    Live(&story, seconds(2));
    story.Accept(kJob, "plain", {Story::Step(1)});
    story.TakeOver();
    const base::Duration lease = FleetSettings().lease;
    while (story.now() < silent_at + lease) {
      story.Passes(1);
      CHECK(story.TakeStarts().empty());
    }
    while (story.now() < silent_at + lease + milliseconds(700)) {
      story.Passes(1);
    }
    CHECK(story.TakeStarts().size() == 1);
  }
  SUBCASE("before the store was told: what waits does so for any lease") {
    story.Passes(20);
    story.TakeOver();
    story.Accept(kJob, "plain", {Story::Step(1)});
    story.TakeOver();
    story.Passes(30);
    CHECK(story.TakeStarts().empty());
    story.Passes(20);
    CHECK(story.TakeStarts().size() == 1);
  }
}

TEST_CASE("a worker answers again") {
  Story story;
  story.AddWorkers(2);
  Live(&story, seconds(1));
  story.silent_workers = {kLost};

  SUBCASE("and is used only once the store has taken its end back") {
    Live(&story, seconds(1));
    story.silent_workers.clear();
    story.Accept(kJob, "plain", {Story::Step(8)});
    story.TakeRenewed();
    story.Passes(5);
    CHECK(StartsOn(&story, kLost) == 0);
    CHECK_FALSE(story.TakeRenewed().contains(kLost));
    story.Store();
    story.Passes(1);
    CHECK(StartsOn(&story, kLost) == 4);
    CHECK(story.TakeRenewed().contains(kLost));
  }
  SUBCASE("after a moment, while the store is away: nothing is to be stored") {
    story.Passes(12);
    REQUIRE(story.scheduler().has_changes());
    story.silent_workers.clear();
    story.Passes(5);
    CHECK_FALSE(story.scheduler().has_changes());
  }
  SUBCASE("under another owner, which claims it and takes its end back") {
    Live(&story, seconds(6));
    story.TakeOver();
    story.silent_workers.clear();
    Live(&story, seconds(1));
    story.Accept(kJob, "plain", {Story::Step(8)});
    story.Passes(1);
    CHECK(StartsOn(&story, kLost) == 4);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
