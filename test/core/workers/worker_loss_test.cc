// Tests which runs are suspected when their worker is lost.
#include "dotterelbarrow/core/workers/worker_loss.h"

#include <doctest/doctest.h>

#include <chrono>

namespace dotterelbarrow::core::workers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kLostAt{seconds(100)};

Run MakeRun(std::uint32_t index, base::Duration age) {
  Run run;
  run.task = {{jobs::JobKey(1), 0, 0}, index};
  run.attempt = jobs::Attempt(1);
  run.state = RunState::kRunning;
  run.started_at = kLostAt - age;
  run.start_confirmed_ms = 1;
  return run;
}

TEST_CASE("a worker is lost with ten runs") {
  WorkerLoss loss;
  loss.alive_at = kLostAt;
  for (std::uint32_t i = 0; i < 10; ++i) {
    loss.runs.push_back(MakeRun(i, seconds(1 + i)));
  }

  SUBCASE("none stands out if all had run for some time") {
    CHECK(FindSuspects(loss).empty());
  }
  SUBCASE("the one that had just been started does") {
    loss.runs[4].started_at = kLostAt - milliseconds(10);
    REQUIRE(FindSuspects(loss).size() == 1);
    CHECK(FindSuspects(loss)[0]->task.index == 4);
  }
  SUBCASE("of several, the last that were started do") {
    constexpr base::Duration kGap = milliseconds(50);
    loss.runs[2].started_at = kLostAt - milliseconds(200);
    loss.runs[4].started_at = kLostAt - milliseconds(60);
    loss.runs[5].started_at = kLostAt - milliseconds(20);
    REQUIRE(FindSuspects(loss, kGap).size() == 2);
    CHECK(FindSuspects(loss, kGap)[0]->task.index == 4);
    CHECK(FindSuspects(loss, kGap)[1]->task.index == 5);

    SUBCASE("however late a busy owner notices it") {
      loss.alive_at = kLostAt + milliseconds(100);
      CHECK(FindSuspects(loss, kGap).size() == 2);
    }
    SUBCASE("all young ones if it isn't known how soon such tasks crash") {
      CHECK(FindSuspects(loss).size() == 3);
    }
    SUBCASE("a start that was sent to a dead worker neither clears nor joins") {
      loss.runs[6].started_at = kLostAt + milliseconds(40);
      loss.runs[6].start_confirmed_ms = 0;
      CHECK(FindSuspects(loss, kGap).size() == 2);
    }
  }
  SUBCASE("so does one whose start was never answered") {
    loss.runs[4].started_at = kLostAt + milliseconds(10);
    loss.runs[4].state = RunState::kUncertain;
    loss.runs[4].start_confirmed_ms = 0;
    CHECK(FindSuspects(loss).size() == 1);
  }
  SUBCASE("one that was not sent yet can't have caused it") {
    loss.runs[4] = MakeRun(4, milliseconds(10));
    loss.runs[4].state = RunState::kReserved;
    CHECK(FindSuspects(loss).empty());
  }
  SUBCASE("one that was lost before stands out among old ones") {
    loss.runs[7].was_lost_before = true;
    REQUIRE(FindSuspects(loss).size() == 1);
    CHECK(FindSuspects(loss)[0]->task.index == 7);

    SUBCASE("but not beside a young one") {
      loss.runs[4].started_at = kLostAt - milliseconds(10);
      REQUIRE(FindSuspects(loss).size() == 1);
      CHECK(FindSuspects(loss)[0]->task.index == 4);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::workers
