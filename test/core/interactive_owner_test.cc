// Tests of interactive requests on the owner of the runners: queue, fairness,
// retries and limits.
#include <doctest/doctest.h>

#include "test/core/broker_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Ids = std::vector<std::string>;

WorkRequest Of(const std::string& team) {
  WorkRequest request;
  request.team = base::TeamId(team);
  return request;
}

WorkRequest WaitingAtMost(base::Duration deadline) {
  WorkRequest request;
  request.deadline = deadline;
  return request;
}

WorkRequest NotIdempotent() {
  WorkRequest request;
  request.idempotent = false;
  return request;
}

TEST_CASE("a request starts immediately if a slot is free") {
  BrokerFixture f(1);
  f.Submit("a");
  REQUIRE(f.runs.size() == 1);
  CHECK(f.runs[0].time_left == seconds(10));

  SUBCASE("the caller gets one answer") {
    f.End(0);
    f.CheckAnswer("a", Outcome::kDone, Reason::kNone);
    CHECK(f.Answers("a")[0].result == "r");
    SUBCASE("even if the result is received twice") {
      f.End(0);
      CHECK(f.Answers("a").size() == 1);
      CHECK(f.broker.is_idle());
    }
  }
  SUBCASE("the next request waits for the slot") {
    f.Submit("b");
    CHECK(f.broker.queued() == 1);
    f.Run(milliseconds(200));
    f.End(0);
    CHECK(f.RunIds() == Ids{"a", "b"});
    f.End(1);
    CHECK(f.Answers("b")[0].waited >= milliseconds(200));
  }
  SUBCASE("two callers may use the same request id") {
    f.End(0);
    f.Submit("a");
    CHECK(f.runs[0].task.id != f.runs[1].task.id);
  }
}

TEST_CASE("requests wait until a slot is free") {
  BrokerFixture f(1);
  f.Submit("a1");
  f.Run(milliseconds(1000));
  f.End(0);  // The average run time is now one second.
  f.Submit("a2");
  SUBCASE(
      "the team with the fewest running requests for its share goes first") {
    f.Submit("a3");
    f.Submit("p1", Of("pastry"));
    f.End(1);
    CHECK(f.RunIds() ==
          Ids{"a1", "a2", "a3"});  // Equal: the earliest goes first.
  }
  SUBCASE("a request that can't start in time is refused immediately") {
    f.Submit("a3");
    f.Submit("late", WaitingAtMost(milliseconds(1500)));
    f.CheckAnswer("late", Outcome::kNotRun, Reason::kDeadlineUnreachable);
    CHECK(f.Answers("late")[0].retry_after == seconds(2));
    SUBCASE("but not if its team is served sooner") {
      WorkRequest other = Of("pastry");
      other.deadline = milliseconds(2500);
      f.Submit("a4");
      f.Submit("a5");
      f.Submit("p1", other);
      CHECK(f.Answers("p1").empty());
    }
  }
  SUBCASE("a request whose deadline passes is not run") {
    f.Submit("a3", WaitingAtMost(milliseconds(1100)));
    f.Run(milliseconds(1200));
    f.CheckAnswer("a3", Outcome::kNotRun, Reason::kDeadlinePassed);
    f.End(1);
    CHECK(f.RunIds() == Ids{"a1", "a2"});
  }
}

TEST_CASE("teams share the slots by their weights") {
  BrokerFixture f(4);
  f.Configure(R"({"kind":"share","name":"pastry","state":{"weight":3}})");
  for (int i = 0; i < 4; ++i) {
    f.Submit("hold" + std::to_string(i));
  }
  for (int i = 0; i < 6; ++i) {
    f.Submit("a" + std::to_string(i));
    f.Submit("p" + std::to_string(i), Of("pastry"));
  }
  for (int i = 0; i < 4; ++i) {
    f.End(i);
  }
  int pastry = 0;
  for (std::size_t i = 4; i < f.runs.size(); ++i) {
    pastry += f.runs[i].task.id.job.team == base::TeamId("pastry") ? 1 : 0;
  }
  CHECK(f.runs.size() == 8);
  CHECK(pastry == 3);
}

TEST_CASE("a full queue refuses a request of the team with the most in it") {
  BrokerFixture f(1);
  f.settings.interactive_queue_length = 3;
  for (const char* id : {"a0", "a1", "a2", "a3"}) {
    f.Submit(id);
  }
  SUBCASE("the new request itself, if it is of that team") {
    f.Submit("a4");
    f.CheckAnswer("a4", Outcome::kNotRun, Reason::kQueueFull);
    CHECK(f.Answers("a4")[0].retry_after > base::Duration(0));
  }
  SUBCASE("otherwise the latest request of that team") {
    f.Submit("p0", Of("pastry"));
    CHECK(f.Answers("p0").empty());
    f.CheckAnswer("a3", Outcome::kNotRun, Reason::kQueueFull);
  }
}

TEST_CASE("a runner doesn't execute a request") {
  BrokerFixture f(2);
  SUBCASE(
      "a refused request is retried on another slot, even if not idempotent") {
    f.Submit("w", NotIdempotent());
    f.End(0, RunStatus::kRefused);
    CHECK(f.runs.size() == 2);
    f.End(1);
    f.CheckAnswer("w", Outcome::kDone, Reason::kNone);
    CHECK(f.counters.value("retries", "backend_refused") == 1);
  }
  SUBCASE("a request that is never sent ends as not run") {
    f.Submit("w");
    for (std::size_t i = 0; i < f.runs.size(); ++i) {
      f.End(i, RunStatus::kNotSent);
    }
    CHECK(f.runs.size() == 4);
    f.CheckAnswer("w", Outcome::kNotRun, Reason::kBackendRefused);
  }
  SUBCASE("a lost request that isn't idempotent is not retried") {
    f.Submit("w", NotIdempotent());
    f.End(0, RunStatus::kLost);
    CHECK(f.runs.size() == 1);
    f.CheckAnswer("w", Outcome::kUnknown, Reason::kConnectionLost);
  }
  SUBCASE("a lost idempotent request may still be running: it isn't retried") {
    f.Submit("w");
    f.End(0, RunStatus::kLost);
    f.Run(seconds(15));
    CHECK(f.runs.size() == 1);
    f.CheckAnswer("w", Outcome::kUnknown, Reason::kConnectionLost);
  }
  SUBCASE("a request without a result is still answered") {
    f.Submit("w", NotIdempotent());
    f.Run(seconds(13));
    f.CheckAnswer("w", Outcome::kUnknown, Reason::kConnectionLost);
  }
}

TEST_CASE("retries are limited to a fraction of the requests") {
  BrokerFixture f(1);
  std::size_t ended = 0;
  for (int i = 0; i < 100; ++i) {
    f.Submit("w" + std::to_string(i));
    while (ended < f.runs.size()) {
      f.End(ended++, RunStatus::kRefused);
    }
  }
  // The 100 first attempts, a full budget of 20 retries, and one retry for
  // every ten requests. No time passes, so the budget isn't refilled over time.
  CHECK(f.runs.size() <= 130);
  CHECK(f.counters.value("retries_denied", "budget") > 0);
}

TEST_CASE("requests forwarded by peers") {
  BrokerFixture f(1, {"p1"});
  SUBCASE("a copy is not run, neither during the first run nor after it") {
    f.Forward(7, NotIdempotent());
    f.Forward(7, NotIdempotent());
    f.End(0);
    f.Forward(7, NotIdempotent());
    CHECK(f.runs.size() == 1);
    CHECK(f.Sent<ForwardReply>().size() == 1);
    CHECK(f.Sent<ForwardReply>()[0].call == base::CallId(7));
  }
  SUBCASE("a request for an earlier incarnation of this process is dropped") {
    ForwardRequest forward;
    forward.call = base::CallId(8);
    forward.owner_incarnation = base::Incarnation(2);
    forward.request.service = base::ServiceId("seats");
    forward.time_left = seconds(1);
    f.broker.OnForward(base::EntryId("p1"), forward, f.now);
    f.Collect();
    CHECK(f.runs.empty());
    CHECK(f.Sent<ForwardReply>().empty());
  }
  SUBCASE("new requests are refused during shutdown") {
    f.Forward(1);
    f.Forward(2);
    f.broker.BeginShutdown();
    f.Forward(3);
    f.Submit("new");
    f.CheckAnswer("new", Outcome::kNotRun, Reason::kShuttingDown);
    REQUIRE(f.Sent<ForwardReply>().size() == 1);
    CHECK(f.Sent<ForwardReply>()[0].answer.reason == Reason::kShuttingDown);
    CHECK_FALSE(f.broker.is_idle());
    SUBCASE("running and queued requests are still finished") {
      f.End(0);
      f.End(1);
      CHECK(f.Sent<ForwardReply>().size() == 3);
      CHECK(f.broker.is_idle());
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
