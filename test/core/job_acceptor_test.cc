// Tests which jobs of callers and of tickets are accepted or refused, also
// while the table is unavailable.
#include <doctest/doctest.h>

#include <string>

#include "test/core/manager_fixture.h"

namespace dotterelbarrow::core {
namespace {

const char kTeamTicket[] = R"({"ticket":1,"objects":[
    {"kind":"team","name":"t","state":{"organisation":"o"}}]})";
const char kJobTicket[] = R"({"ticket":2,"objects":[
    {"kind":"job","name":"t/nightly","state":{"service":"s","kind":"batch",
     "task_count":1,"demand":{"cpu_millicores":1000}}}]})";
const char kJobRemoved[] = R"({"ticket":3,"objects":[
    {"kind":"job","name":"t/nightly","state":null}]})";

TEST_CASE("a job is accepted once it is durable") {
  Manager f;
  f.Submit("e1", 1, "job");
  CHECK(f.answers.empty());
  f.Run(20);
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers.front().outcome == Outcome::kAccepted);

  SUBCASE("and submitting it again returns the same job") {
    f.Submit("e2", 7, "job");
    f.Run(20);
    REQUIRE(f.answers.size() == 2);
    CHECK(f.answers.back().outcome == Outcome::kAccepted);
  }
}

TEST_CASE("a job submitted while the table is unavailable is refused") {
  Manager f;
  f.table.set_down(true);
  f.Run(300);
  f.Submit("e1", 1, "job");
  f.Run(1);
  REQUIRE(f.answers.size() == 1);
  CHECK(f.answers.front().outcome == Outcome::kNotRun);
  CHECK(f.answers.front().reason == Reason::kStoreUnavailable);
  f.table.set_down(false);
  f.Run(300);

  SUBCASE("a late copy of the refused call isn't accepted") {
    f.Submit("e1", 1, "job");
    f.Run(50);
    CHECK(f.Ask("job").reason == Reason::kNotFound);
  }
  SUBCASE("but the caller may submit the job again in a new call") {
    f.Submit("e1", 2, "job");
    f.Run(50);
    CHECK(f.Ask("job").outcome == Outcome::kAccepted);
  }
}

TEST_CASE("a journal write that contains a job is unanswered") {
  Manager f;
  f.table.HoldTransactions(1);
  f.Submit("e1", 1, "job");
  f.Run(10);
  f.table.set_down(true);
  f.Run(100);
  SUBCASE("the job isn't refused, because it may have been written") {
    CHECK(f.answers.empty());
  }
  SUBCASE("a second call for the job waits for the same record") {
    f.Submit("e2", 5, "job");
    f.Run(10);
    CHECK(f.answers.empty());
    f.table.set_down(false);
    f.Run(300);
    REQUIRE(f.answers.size() == 2);
    CHECK(f.answers.front().outcome == Outcome::kAccepted);
    CHECK(f.answers.back().outcome == Outcome::kAccepted);
  }
}

TEST_CASE("a ticket submits a job") {
  Manager f;
  f.PutInForce(kTeamTicket);
  SUBCASE("which is accepted") {
    f.PutInForce(kJobTicket);
    f.Run(50);
    CHECK(f.Ask("nightly").outcome == Outcome::kAccepted);

    SUBCASE("and cancelled when its ticket object is removed") {
      f.PutInForce(kJobRemoved);
      f.Run(50);
      CHECK(f.Ask("nightly").outcome == Outcome::kCancelled);
    }
  }
  SUBCASE("while the table is unavailable: accepted once it is back") {
    f.table.set_down(true);
    f.Run(300);
    f.PutInForce(kJobTicket);
    f.Run(50);
    CHECK(f.Ask("nightly").reason == Reason::kNotFound);
    f.table.set_down(false);
    f.Run(300);
    CHECK(f.Ask("nightly").outcome == Outcome::kAccepted);
  }
}

TEST_CASE("lowering a limit below what a job needs cancels the job") {
  Manager f;
  f.PutInForce(kTeamTicket);
  f.Submit("e1", 1, "job");
  f.Run(20);
  REQUIRE(f.Ask("job").outcome == Outcome::kAccepted);
  f.PutInForce(R"({"ticket":2,"objects":[
      {"kind":"limit","name":"t","state":{"cpu_millicores":999}}]})");
  f.Run(50);
  const Answer answer = f.Ask("job");
  CHECK(answer.outcome == Outcome::kCancelled);
  CHECK(answer.reason == Reason::kOverLimit);
}

}  // namespace
}  // namespace dotterelbarrow::core
