// Tests that an entry runs no more requests of a limited team than its manager
// granted.
#include <doctest/doctest.h>

#include "test/core/broker_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LimitedTeam : public BrokerFixture {
 public:
  LimitedTeam() : BrokerFixture(8) {
    Configure(R"({"kind":"limit","name":"ovens","state":{"slots":6}})");
  }
  void SubmitMany(int count) {
    for (int i = 0; i < count; ++i) {
      Submit("r" + std::to_string(submitted_++));
    }
  }

 private:
  int submitted_ = 0;
};

TEST_CASE("a limited team waits for its quota slice") {
  LimitedTeam f;
  f.SubmitMany(4);
  CHECK(f.runs.empty());
  REQUIRE(f.Sent<SliceRequest>().size() == 1);
  CHECK(f.Sent<SliceRequest>()[0].holding == base::Slots(0));

  SUBCASE("if the grant is too small, more is requested at once") {
    f.Grant(2);
    f.Run(milliseconds(20));
    CHECK(f.Sent<SliceRequest>().size() == 2);
    CHECK(f.Sent<SliceRequest>().back().wanted == base::Slots(5));
    f.Grant(5);
    CHECK(f.runs.size() == 4);
  }
  SUBCASE("a team without a limit doesn't wait") {
    WorkRequest other;
    other.team = base::TeamId("pastry");
    f.Submit("p", other);
    CHECK(f.RunIds() == std::vector<std::string>{"p"});
  }
  SUBCASE("it never runs more than was granted") {
    f.Grant(2);
    CHECK(f.runs.size() == 2);
    f.End(0);
    CHECK(f.runs.size() == 3);
    SUBCASE("it repeats the request, but at most ten times a second") {
      f.Run(seconds(1));
      CHECK(f.Sent<SliceRequest>().size() >= 3);
      CHECK(f.Sent<SliceRequest>().size() <= 11);
      CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(2));
      CHECK(f.Sent<SliceRequest>().back().wanted == base::Slots(4));
    }
    SUBCASE("at the deadline, the reason given is the limit") {
      while (f.now - base::TimePoint(std::chrono::hours(1)) < seconds(20)) {
        f.Run(milliseconds(100));
        f.Grant(2);
      }
      f.CheckAnswer("r3", Outcome::kNotRun, Reason::kOverLimit);
    }
  }
  SUBCASE("a grant above the limit in force here is capped") {
    f.SubmitMany(4);
    f.Run(milliseconds(600));
    f.Grant(100);
    CHECK(f.runs.size() == 6);
  }
  SUBCASE("a grant that answers an earlier request is void") {
    const SliceRequest first = f.Sent<SliceRequest>().back();
    f.Run(milliseconds(600));  // Unanswered, so the request was repeated.
    CHECK(f.Sent<SliceRequest>().back().sequence > first.sequence);
    f.broker.OnSliceGrant(base::EntryId("m"), f.GrantFor(first, 4, 1), f.now);
    f.Collect();
    CHECK(f.runs.empty());
  }
  SUBCASE("a grant under an older manager's epoch is void") {
    const base::PartitionId partition =
        PartitionOf(base::TeamId("ovens"), f.settings.partition_count);
    f.broker.SlicesFor(partition, base::Epoch{9, base::EntryId("m")});
    f.Grant(4, 8);
    CHECK(f.runs.empty());
    f.Grant(4, 9);
    CHECK(f.runs.size() == 4);
  }
}

TEST_CASE("a quota slice is revoked") {
  LimitedTeam f;
  f.SubmitMany(4);
  f.Grant(5);
  REQUIRE(f.runs.size() == 4);

  SUBCASE("nothing new starts, and each reduction is confirmed") {
    f.SubmitMany(1);
    f.Run(milliseconds(1100));
    f.Grant(2);
    f.End(0);
    f.Run(milliseconds(600));
    CHECK(f.runs.size() == 5);  // The fifth started before the new grant.
    CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(4));
    f.Grant(2);
    f.End(1);
    f.End(2);
    f.End(3);
    f.Run(milliseconds(110));
    CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(2));
    f.Grant(2);
    f.SubmitMany(2);
    CHECK(f.runs.size() == 6);
  }
  SUBCASE("a ticket lowers the limit before the manager does") {
    f.Configure(R"({"kind":"limit","name":"ovens","state":{"slots":2}})");
    f.End(0);
    f.SubmitMany(1);
    CHECK(f.runs.size() == 4);
  }
  SUBCASE("it is released when the team was idle for two seconds") {
    for (std::size_t i = 0; i < 4; ++i) {
      f.End(i);
    }
    std::size_t answered = f.Sent<SliceRequest>().size();
    const auto run_answered = [&](int steps) {
      for (int i = 0; i < steps; ++i) {
        f.Run(milliseconds(100));
        const base::Slots wanted = f.Sent<SliceRequest>().back().wanted;
        const bool asked = f.Sent<SliceRequest>().size() > answered;
        answered = f.Sent<SliceRequest>().size();
        if (asked && wanted > base::Slots(0)) {
          f.Grant(wanted.value());
        }
      }
    };
    run_answered(15);
    CHECK(f.Sent<SliceRequest>().back().wanted == base::Slots(5));
    while (f.Sent<SliceRequest>().back().wanted > base::Slots(0)) {
      REQUIRE(f.now < base::TimePoint(std::chrono::hours(1)) + seconds(20));
      run_answered(1);
    }
    CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(0));
    SUBCASE(
        "released slots are not used, even before the manager has answered") {
      f.SubmitMany(1);
      CHECK(f.runs.size() == 4);
    }
  }
  SUBCASE("an inventory lists it, including requests that still run") {
    f.Run(milliseconds(1100));
    f.Grant(1);
    const auto held = f.broker.SlicesFor(
        PartitionOf(base::TeamId("ovens"), f.settings.partition_count),
        base::Epoch{2, base::EntryId("m")});
    REQUIRE(held.size() == 1);
    CHECK(held[0].second == base::Slots(4));
  }
}

// Guards against slices that no grant can change because each arrives after the
// request was repeated.
TEST_CASE("a grant arrives after its request was repeated") {
  LimitedTeam f;
  f.SubmitMany(2);
  f.Grant(3);
  REQUIRE(f.runs.size() == 2);
  const SliceRequest answered = f.Sent<SliceRequest>().back();
  f.Run(milliseconds(1100));
  const SliceRequest late = f.Sent<SliceRequest>().back();
  REQUIRE(late.sequence > answered.sequence);
  const auto grant = [&f](const SliceRequest& request, int slots) {
    f.broker.OnSliceGrant(base::EntryId("m"), f.GrantFor(request, slots, 1),
                          f.now);
    f.Collect();
  };

  SUBCASE("before that, a new grant for the one before takes slots away") {
    grant(answered, 2);
    f.SubmitMany(1);
    CHECK(f.runs.size() == 2);
    return;
  }
  f.Run(milliseconds(600));
  REQUIRE(f.Sent<SliceRequest>().back().sequence > late.sequence);

  SUBCASE("it takes slots away") {
    grant(late, 1);
    f.SubmitMany(1);
    f.End(0);
    CHECK(f.runs.size() == 2);
    f.End(1);
    CHECK(f.runs.size() == 3);
  }
  SUBCASE("it adds none") {
    grant(late, 6);
    f.SubmitMany(2);
    CHECK(f.runs.size() == 3);
  }
  SUBCASE("the answer to the repeated request is awaited for longer") {
    grant(late, 3);
    const std::uint64_t repeated = f.Sent<SliceRequest>().back().sequence;
    f.Run(milliseconds(900));
    CHECK(f.Sent<SliceRequest>().back().sequence > repeated);
    const std::uint64_t last = f.Sent<SliceRequest>().back().sequence;
    f.Run(milliseconds(900));
    CHECK(f.Sent<SliceRequest>().back().sequence == last);
    f.Grant(6);
    f.SubmitMany(2);
    CHECK(f.runs.size() == 4);
  }
  SUBCASE("a grant for an earlier request changes nothing after the answer") {
    f.Grant(3);
    grant(late, 1);
    f.SubmitMany(1);
    CHECK(f.runs.size() == 3);
  }
}

TEST_CASE(
    "a request whose result was lost counts until it is known to have ended") {
  LimitedTeam f;
  f.SubmitMany(4);
  f.Grant(2);
  REQUIRE(f.runs.size() == 2);
  // Advances the clock while the manager grants two slots again and again.
  const auto run = [&f](base::Duration time) {
    for (base::Duration past{}; past < time; past += milliseconds(100)) {
      f.Run(milliseconds(100));
      f.Grant(2);
    }
  };

  SUBCASE("while the runner lists it, no other request takes its slot") {
    f.on_runner = {f.runs[0].task};
    f.End(0, RunStatus::kLost);
    run(seconds(3));
    CHECK(f.runs.size() == 2);
    CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(2));
    SUBCASE("once the runner no longer lists it, another request starts") {
      f.on_runner.clear();
      run(milliseconds(1200));
      CHECK(f.runs.size() == 3);
    }
  }
  SUBCASE("while the runner does not report, no other request takes its slot") {
    f.runner_reports = false;
    f.End(0, RunStatus::kLost);
    run(seconds(3));
    f.End(1);
    CHECK(f.runs.size() == 2);
    SUBCASE("its slot is free once the lease of the runner has expired") {
      run(seconds(12));
      f.runner_reports = true;
      run(milliseconds(1200));
      CHECK(f.Sent<SliceRequest>().back().holding <= base::Slots(2));
    }
  }
}

TEST_CASE(
    "a lost request counts until the lease expired if its runner moved away") {
  BrokerFixture f(8, {"p1", "p2"});
  f.Configure(R"({"kind":"limit","name":"ovens","state":{"slots":6}})");
  f.Submit("a");
  f.Grant(1);
  REQUIRE(f.runs.size() == 1);
  f.MoveRunnerTo("p1");
  f.End(0, RunStatus::kLost);
  f.Run(seconds(7));
  CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(1));
  f.Run(seconds(4));
  CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(0));
}

TEST_CASE("requests that a claimed runner lists count for their team") {
  LimitedTeam f;
  f.SubmitMany(1);
  f.Grant(2);
  REQUIRE(f.runs.size() == 1);
  TaskSpec other = f.runs[0].task;
  other.id.job.request = base::RequestId("of a dead owner");
  f.on_runner = {f.runs[0].task, other};
  f.owner.ReturnSlot(
      {base::BackendId("runner"), f.runs[0].call, RunStatus::kLost, ""},
      f.now);  // Makes the owner claim the runner again.
  f.Run(seconds(2));
  CHECK(f.Sent<SliceRequest>().back().holding == base::Slots(2));
  f.SubmitMany(1);
  CHECK(f.runs.size() == 1);
  f.on_runner.clear();
  f.Run(seconds(2));
  f.Grant(2);
  CHECK(f.runs.size() == 2);
}

TEST_CASE("quota slices are void once the membership lease was lost") {
  BrokerFixture f(8, {"p1", "p2"});
  f.Configure(R"({"kind":"limit","name":"ovens","state":{"slots":6}})");
  f.Submit("a");
  // The runner is owned here; the peers only vote.
  f.Grant(6);
  REQUIRE(f.runs.size() == 1);
  f.unresponsive_peers = {base::EntryId("p1"), base::EntryId("p2")};
  f.Run(seconds(5));
  REQUIRE_FALSE(f.membership.holds_lease());
  const auto held = f.broker.SlicesFor(
      PartitionOf(base::TeamId("ovens"), f.settings.partition_count),
      base::Epoch{2, base::EntryId("m")});
  REQUIRE(held.size() == 1);
  CHECK(held[0].second == base::Slots(1));
}

}  // namespace
}  // namespace dotterelbarrow::core
