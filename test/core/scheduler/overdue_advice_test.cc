// Overdue work of a queue with placement advice, under owners that change.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Scenario = SchedulerScenario;

constexpr int kSteps = 100;
constexpr int kWorkers = 48;

// An owner with a backlog, and an advisor that serves one call of each host at
// a time, in turn.
struct Backlog {
  struct Call {
    RequestAdvice request;
    base::TimePoint ends_at;
  };

  Scenario scenario;
  base::Duration per_worker{0};
  base::Duration decision = milliseconds(50);
  std::vector<Call> calls;
  std::map<std::string, base::TimePoint> busy_until;
  std::set<jobs::StepRef> started;
  std::uint64_t last_key = 0;
  std::vector<std::pair<base::TimePoint, jobs::TaskRef>> running;

  Backlog(base::Duration decision_time, base::Duration worker_time, int hosts)
      : per_worker(worker_time), decision(decision_time) {
    scenario.SetAdvice(decision, per_worker, hosts);
    scenario.AddWorkers(kWorkers);
  }
  void Submit(int count, std::uint32_t tasks) {
    for (int i = 0; i < count; ++i) {
      scenario.SubmitAndStore(++last_key, "advised", {Scenario::Step(tasks)});
    }
  }
  // Submits steps that expire before the next owner begins.
  void SubmitOverdue(int count, std::uint32_t tasks) {
    Submit(count, tasks);
    scenario.Advance(seconds(60));
    ChangeOwner();
  }
  // Returns how many of the jobs with the first `count` keys have started.
  int CountStarted(int count) const {
    return static_cast<int>(
        std::count_if(started.begin(), started.end(), [&](const auto& step) {
          return step.job.value() <= static_cast<std::uint64_t>(count);
        }));
  }
  void ChangeOwner() {
    scenario.TakeOver();
    scenario.TakeAdviceRequests();
    // The advisor still answers what the owner before has sent, to nobody.
    calls.clear();
  }
  // All channels break: the calls in flight fail.
  void ResetChannels() {
    for (const Call& call : std::exchange(calls, {})) {
      scenario.FailAdviceRequest(call.request);
    }
  }
  static std::set<std::string> AllowedOf(const jobs::StepRef& step) {
    std::set<std::string> allowed;
    for (int i = 0; i < kWorkers; ++i) {
      if ((static_cast<std::uint64_t>(i) * 7 + step.job.value() * 5) % 3 == 0) {
        allowed.insert("worker-" + std::to_string(i));
      }
    }
    return allowed;
  }
  void Run(base::Duration duration) {
    constexpr base::Duration kStep = milliseconds(10);
    for (const base::TimePoint end = scenario.now() + duration;
         scenario.now() < end;) {
      scenario.Advance(kStep);
      std::vector<Call> ended;
      std::erase_if(calls, [&](const Call& call) {
        const bool has_ended = call.ends_at <= scenario.now();
        if (has_ended) {
          ended.push_back(call);
        }
        return has_ended;
      });
      for (const Call& call : ended) {
        scenario.AnswerAdviceRequest(call.request,
                                     AllowedOf(call.request.step));
      }
      std::erase_if(running, [&](const auto& run) {
        const bool has_ended = run.first <= scenario.now();
        if (has_ended) {
          scenario.EndRun(run.second, jobs::RunEnd::kDone);
        }
        return has_ended;
      });
      scenario.RunPass();
      for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
        base::TimePoint& until = busy_until[request.client.value()];
        until = std::max(until, scenario.now()) + decision +
                per_worker *
                    static_cast<base::Duration::rep>(request.workers.size());
        calls.push_back({request, until});
      }
      for (const StartTask& start : scenario.TakeStarts()) {
        started.insert(start.task.step);
        running.emplace_back(scenario.now() + milliseconds(1000), start.task);
      }
      scenario.Store();
    }
  }
};

// Runs until all steps of the backlog have started, at most for `limit`.
// Returns how long it took.
base::Duration Drain(Backlog* backlog, base::Duration limit,
                     base::Duration owner_change_period,
                     std::optional<base::Duration> reset_period) {
  const base::TimePoint begun = backlog->scenario.now();
  base::TimePoint next_change = begun + owner_change_period;
  base::TimePoint next_reset = begun + reset_period.value_or(limit);
  while (backlog->CountStarted(kSteps) < kSteps &&
         backlog->scenario.now() - begun < limit) {
    backlog->Run(milliseconds(100));
    if (backlog->scenario.now() >= next_change) {
      backlog->ChangeOwner();
      next_change += owner_change_period;
    }
    if (backlog->scenario.now() >= next_reset) {
      backlog->ResetChannels();
      next_reset += *reset_period;
    }
  }
  return backlog->scenario.now() - begun;
}

constexpr base::Duration kOwnerChangePeriod = seconds(6);
constexpr base::Duration kLimit = seconds(60);
constexpr int kHosts = 7;
// The time in which accepted work must start once there is room for it.
constexpr base::Duration kStartBound = seconds(3);

// Guards against accepted work that is hardly asked for although advice and
// workers are free (issue 42).
TEST_CASE("a hundred overdue steps under an owner that changes each 6 s") {
  SUBCASE("with calls of 50 ms") {
    Backlog backlog(milliseconds(50), base::Duration(0), kHosts);
    backlog.SubmitOverdue(kSteps, 1);
    const base::Duration ideal = milliseconds(50) * kSteps / kHosts;
    CHECK(Drain(&backlog, kLimit, kOwnerChangePeriod, std::nullopt) <=
          ideal + kStartBound);
  }
  SUBCASE("with calls of 50 ms, all channels broken each 2 s") {
    Backlog backlog(milliseconds(50), base::Duration(0), 2);
    backlog.SubmitOverdue(kSteps, 1);
    const base::Duration ideal = milliseconds(50) * kSteps / 2;
    CHECK(Drain(&backlog, kLimit, kOwnerChangePeriod, seconds(2)) <=
          ideal + kStartBound);
  }
  // Calls about 24 workers, which count as long ones. One host is left for
  // short ones.
  const base::Duration long_call = milliseconds(10) + milliseconds(8) * 24;
  const base::Duration ideal = long_call * kSteps / (kHosts - 1);
  SUBCASE("with calls of 200 ms") {
    Backlog backlog(milliseconds(10), milliseconds(8), kHosts);
    backlog.SubmitOverdue(kSteps, 4);
    CHECK(Drain(&backlog, kLimit, kOwnerChangePeriod, std::nullopt) <=
          ideal + kStartBound);
  }
  SUBCASE("with calls of 200 ms, all channels broken each 2 s") {
    Backlog backlog(milliseconds(10), milliseconds(8), kHosts);
    backlog.SubmitOverdue(kSteps, 4);
    // Breaks, with the pauses after them, take less than half of the time.
    CHECK(Drain(&backlog, kLimit, kOwnerChangePeriod, seconds(2)) <=
          ideal * 2 + kStartBound);
  }
}

// Guards against overdue work that waits as long as newer work needs all calls
// for advice, also if each owner begins anew.
TEST_CASE("overdue steps beside newer work that occupies the advisor") {
  constexpr int kOverdue = 5;
  Backlog backlog(milliseconds(50), base::Duration(0), 2);
  backlog.SubmitOverdue(kOverdue, 1);
  // Fifty new steps a second; the two hosts can call forty times.
  for (int i = 0; i < 100; ++i) {
    if (i == 50) {
      backlog.ChangeOwner();
    }
    backlog.Submit(5, 1);
    backlog.Run(milliseconds(100));
  }
  CHECK(backlog.CountStarted(kOverdue) == kOverdue);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
