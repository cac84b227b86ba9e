// Tests of interactive requests on the entry host that received them: the
// choice of an owner, forwards, lost peers and idempotency keys.
#include <doctest/doctest.h>

#include "test/core/broker_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkRequest NotIdempotent(const std::string& key = "") {
  WorkRequest request;
  request.idempotent = false;
  request.idempotency_key = base::IdempotencyKey(key);
  return request;
}

TEST_CASE("an entry host chooses an owner for each request") {
  SUBCASE("itself, while it has a free slot") {
    BrokerFixture f(1, {"p1", "p2"});
    f.Submit("a");
    CHECK(f.runs.size() == 1);
    SUBCASE("and then a peer with free slots") {
      f.Submit("b");
      f.Submit("c");
      CHECK(f.runs.size() == 1);
      CHECK(f.Sent<ForwardRequest>().size() == 2);
    }
  }
  SUBCASE("of two peers, the one with more free slots less queued requests") {
    BrokerFixture f(0, {"p1", "p2"});
    f.peer_records.at(base::EntryId("p1")).room.queued_requests = 20;
    f.Run(milliseconds(100));
    for (int i = 0; i < 10; ++i) {
      f.Submit("a" + std::to_string(i));
    }
    REQUIRE(f.Sent<ForwardRequest>().size() == 10);
    for (const ToPeer& each : f.sent) {
      if (std::holds_alternative<ForwardRequest>(each.message)) {
        CHECK(each.to == base::EntryId("p2"));
      }
    }
  }
  SUBCASE("no peer that has no runners or is leaving") {
    BrokerFixture f(0, {"p1", "p2"});
    f.peer_records.at(base::EntryId("p1")).room.total_slots = base::Slots(0);
    f.peer_records.at(base::EntryId("p2")).leaving = true;
    f.Run(milliseconds(100));
    f.Submit("a");
    f.CheckAnswer("a", Outcome::kNotRun, Reason::kNoBackend);
    CHECK(f.Answers("a")[0].retry_after > base::Duration(0));
  }
}

TEST_CASE("a peer answers a forwarded request") {
  BrokerFixture f(0, {"p1", "p2"});
  f.Submit("a", NotIdempotent());
  REQUIRE(f.Sent<ForwardRequest>().size() == 1);
  CHECK(f.Sent<ForwardRequest>()[0].owner_incarnation == base::Incarnation(5));

  SUBCASE("and only the first answer counts") {
    f.Reply(0, Outcome::kDone, Reason::kNone);
    f.Reply(0, Outcome::kFailed, Reason::kTaskFailed);
    f.CheckAnswer("a", Outcome::kDone, Reason::kNone);
    CHECK(f.counters.value("dropped", "late_forward_reply") == 1);
  }
  SUBCASE("an answer to another request is not passed on") {
    Answer crossed;
    crossed.id = base::RequestId("z");
    crossed.outcome = Outcome::kDone;
    f.broker.OnForwardReply({f.Sent<ForwardRequest>()[0].call, crossed}, f.now);
    f.Collect();
    CHECK(f.Answers("a").empty());
  }
  SUBCASE("not run: other owners are tried, each once") {
    f.Reply(0, Outcome::kNotRun, Reason::kShuttingDown);
    REQUIRE(f.Sent<ForwardRequest>().size() == 2);
    f.Reply(1, Outcome::kNotRun, Reason::kQueueFull);
    f.CheckAnswer("a", Outcome::kNotRun, Reason::kQueueFull);
  }
  SUBCASE("run and failed: the request isn't retried") {
    f.Reply(0, Outcome::kFailed, Reason::kTaskFailed);
    f.CheckAnswer("a", Outcome::kFailed, Reason::kTaskFailed);
    CHECK(f.Sent<ForwardRequest>().size() == 1);
  }
}

TEST_CASE("a peer doesn't answer a forwarded request") {
  BrokerFixture f(0, {"p1", "p2"});
  const auto silence_owner = [&f] {
    for (const ToPeer& each : f.sent) {
      if (std::holds_alternative<ForwardRequest>(each.message)) {
        f.unresponsive_peers = {each.to};
      }
    }
    f.Run(seconds(2));
  };
  SUBCASE(
      "a request that isn't idempotent may have run: it isn't sent elsewhere") {
    f.Submit("w", NotIdempotent());
    silence_owner();
    f.CheckAnswer("w", Outcome::kUnknown, Reason::kConnectionLost);
    CHECK(f.Sent<ForwardRequest>().size() == 1);
    SUBCASE("and a late answer changes nothing") {
      f.Reply(0, Outcome::kDone, Reason::kNone);
      CHECK(f.Answers("w").size() == 1);
    }
  }
  SUBCASE(
      "an idempotent request may still be running: it isn't sent elsewhere") {
    f.Submit("r");
    silence_owner();
    CHECK(f.Sent<ForwardRequest>().size() == 1);
    f.CheckAnswer("r", Outcome::kUnknown, Reason::kConnectionLost);
  }
  SUBCASE("the peer was restarted, as its new incarnation shows") {
    f.Submit("w", NotIdempotent());
    for (auto& [entry, record] : f.peer_records) {
      record.incarnation = record.incarnation.next();
    }
    f.Run(milliseconds(50));
    f.CheckAnswer("w", Outcome::kUnknown, Reason::kConnectionLost);
  }
  SUBCASE("the peer seems alive: the wait ends soon after the deadline") {
    f.Submit("w", NotIdempotent());
    f.Run(seconds(11));
    CHECK(f.Answers("w").empty());
    f.Run(milliseconds(1100));
    f.CheckAnswer("w", Outcome::kUnknown, Reason::kConnectionLost);
  }
}

TEST_CASE("a request with an idempotency key is claimed before it is sent") {
  BrokerFixture f(1);
  f.Submit("w", NotIdempotent("k"));
  CHECK(f.runs.empty());
  REQUIRE(f.Sent<ClaimKey>().size() == 1);
  const base::CallId claim = f.Sent<ClaimKey>()[0].call;

  SUBCASE("the key is claimed: the request runs, and its result is recorded") {
    f.Claimed(0, ClaimStatus::kClaimed);
    f.Claimed(0, ClaimStatus::kClaimed);
    REQUIRE(f.runs.size() == 1);
    f.End(0);
    f.CheckAnswer("w", Outcome::kDone, Reason::kNone);
    REQUIRE(f.Sent<ResolveKey>().size() == 1);
    CHECK(f.Sent<ResolveKey>()[0].call == claim);
    CHECK(f.Sent<ResolveKey>()[0].answer.outcome == Outcome::kDone);
    SUBCASE("and sent again later, because it isn't acknowledged") {
      f.Run(seconds(10));
      CHECK(f.Sent<ResolveKey>().size() == 3);
    }
  }
  SUBCASE("a duplicate gets the first request's answer under its own id") {
    Answer first;
    first.id = base::RequestId("first");
    first.outcome = Outcome::kDone;
    f.Claimed(0, ClaimStatus::kDuplicate, first);
    f.CheckAnswer("w", Outcome::kDone, Reason::kNone);
    CHECK(f.runs.empty());
    CHECK(f.Sent<ResolveKey>().empty());
  }
  SUBCASE("the store is unavailable: the request isn't run") {
    f.Claimed(0, ClaimStatus::kUnavailable);
    f.CheckAnswer("w", Outcome::kNotRun, Reason::kStoreUnavailable);
    CHECK(f.Answers("w")[0].retry_after > base::Duration(0));
    CHECK(f.runs.empty());
  }
  SUBCASE(
      "the manager doesn't answer: the claim is given up before the deadline") {
    f.Run(milliseconds(2100));
    f.CheckAnswer("w", Outcome::kNotRun, Reason::kManagerUnavailable);
    const std::size_t before = f.Sent<ResolveKey>().size();
    SUBCASE("and a late claim is released and its request never run") {
      f.Claimed(0, ClaimStatus::kClaimed);
      CHECK(f.runs.empty());
      REQUIRE(f.Sent<ResolveKey>().size() == before + 1);
      CHECK(f.Sent<ResolveKey>().back().call == claim);
      CHECK(f.Sent<ResolveKey>().back().answer.outcome == Outcome::kNotRun);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
