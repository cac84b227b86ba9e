// Tests how durable records change a partition's jobs and claims, and which of
// them are evicted.
#include "dotterelbarrow/core/job_table.h"

#include <doctest/doctest.h>

#include <string>

namespace dotterelbarrow::core {
namespace {

const base::TeamId kTeam("t");

base::JobId IdOf(const std::string& name) {
  return {kTeam, base::RequestId(name)};
}

JobAccepted Accepted(const std::string& name, bool from_ticket = false) {
  JobAccepted record;
  record.request.team = kTeam;
  record.request.id = base::RequestId(name);
  record.request.task_count = 0;
  record.from_ticket = from_ticket;
  return record;
}

JobEnded Ended(const std::string& name) {
  JobEnded record{IdOf(name), {}};
  record.answer.outcome = Outcome::kDone;
  return record;
}

KeyClaimed Claimed(const std::string& key, std::uint64_t call) {
  return {kTeam, base::IdempotencyKey(key), base::RequestId("r"),
          base::EntryId("e0"), base::CallId(call)};
}

KeyResolved Resolved(const std::string& key, Outcome outcome) {
  KeyResolved record{kTeam, base::IdempotencyKey(key), {}};
  record.answer.outcome = outcome;
  return record;
}

struct Fixture {
  JobTable table;
  base::TimePoint now;

  void Apply(const JobRecord& record) { table.Apply(record, now); }
  bool HasClaim(const std::string& key) const {
    return table.FindClaim({kTeam, base::IdempotencyKey(key)}) != nullptr;
  }
  void EndManyJobs() {
    for (std::size_t i = 0; i <= JobTable::kMaxEndedJobs; ++i) {
      const std::string name = "other" + std::to_string(i);
      Apply(Accepted(name));
      Apply(Ended(name));
    }
  }
};

TEST_CASE("ended jobs are evicted, oldest first") {
  Fixture f;
  SUBCASE("if a caller submitted them") {
    f.Apply(Accepted("job"));
    f.Apply(Ended("job"));
    f.EndManyJobs();
    CHECK(f.table.Find(IdOf("job")) == nullptr);
  }
  SUBCASE("but not a job of a ticket in force, because it would run again") {
    f.Apply(Accepted("job", true));
    f.Apply(Ended("job"));
    f.EndManyJobs();
    REQUIRE(f.table.Find(IdOf("job")) != nullptr);

    SUBCASE("also after a snapshot") {
      JobTable restored;
      restored.Restore(f.table.Snapshot(), f.now);
      const Job* job = restored.Find(IdOf("job"));
      REQUIRE(job != nullptr);
      CHECK(job->answer);
    }
    SUBCASE("until the ticket object is removed") {
      f.table.ReleaseTicketJob(IdOf("job"));
      CHECK(f.table.Find(IdOf("job")) != nullptr);
      f.EndManyJobs();
      f.Apply(Accepted("last"));
      f.Apply(Ended("last"));
      CHECK(f.table.Find(IdOf("job")) == nullptr);
    }
  }
}

TEST_CASE("the claim of a key is kept") {
  Fixture f;
  f.Apply(Claimed("key", 1));
  CHECK(f.HasClaim("key"));
  SUBCASE("with its answer") {
    f.Apply(Resolved("key", Outcome::kDone));
    CHECK(f.HasClaim("key"));
  }
  SUBCASE("until its request is known not to have run") {
    f.Apply(Resolved("key", Outcome::kNotRun));
    CHECK_FALSE(f.HasClaim("key"));

    SUBCASE("and a second claim of the key is the newest claim") {
      // Fill the table up to its bound. A second claim that kept the first
      // one's order would be the next to be evicted.
      for (std::size_t i = 1; i < JobTable::kMaxClaims; ++i) {
        f.Apply(Claimed("other" + std::to_string(i), i));
      }
      f.Apply(Claimed("key", 2));
      f.Apply(Claimed("one more", 3));
      CHECK(f.HasClaim("key"));
      CHECK_FALSE(f.HasClaim("other1"));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
