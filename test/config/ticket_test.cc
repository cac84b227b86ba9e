// Tests of parsing tickets, of their canonical text and of applying them.
#include "dotterelbarrow/config/ticket.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "dotterelbarrow/config/apply_ticket.h"

namespace dotterelbarrow::config {
namespace {

using base::FailureCode;

std::vector<base::Failure> ParseErrors(const std::string& text) {
  std::vector<base::Failure> errors;
  const bool parsed = ParseTicket(text, &errors).has_value();
  CHECK(parsed == errors.empty());
  return errors;
}

Ticket Parse(const std::string& text) {
  std::vector<base::Failure> errors;
  const std::optional<Ticket> ticket = ParseTicket(text, &errors);
  REQUIRE_MESSAGE(ticket.has_value(), Describe(errors));
  return *ticket;
}

bool Contains(const std::vector<base::Failure>& errors, FailureCode code,
              const std::string& path) {
  return std::any_of(errors.begin(), errors.end(), [&](const auto& error) {
    return error.code == code && error.detail.starts_with(path + ":");
  });
}

TEST_CASE("an invalid ticket is rejected") {
  SUBCASE("with all of its errors, each with its path") {
    const auto errors = ParseErrors(R"({"ticket": -3, "note": 1, "objects": [
        {"kind": "oven", "name": "a", "state": null},
        {"kind": "team", "name": "a b", "state": {"organisation": 7}},
        {"kind": "share", "name": "x", "state": {"weight": 0, "wieght": 1}},
        {"kind": "limit", "name": "x", "state": {"cpu_millicores": -1}},
        {"kind": "job", "name": "x", "state": {"service": "s", "kind": "batch",
         "task_count": 4294967297, "demand": {"slots": 1.5}}},
        {"kind": "key", "name": "k"}]})");
    CHECK(Contains(errors, FailureCode::kOutOfRange, "ticket"));
    CHECK(Contains(errors, FailureCode::kUnknownField, "note"));
    CHECK(Contains(errors, FailureCode::kUnknownValue, "objects[0].kind"));
    CHECK(Contains(errors, FailureCode::kOutOfRange, "objects[1].name"));
    CHECK(Contains(errors, FailureCode::kWrongType,
                   "objects[1].state.organisation"));
    CHECK(
        Contains(errors, FailureCode::kOutOfRange, "objects[2].state.weight"));
    CHECK(Contains(errors, FailureCode::kUnknownField,
                   "objects[2].state.wieght"));
    CHECK(Contains(errors, FailureCode::kOutOfRange,
                   "objects[3].state.cpu_millicores"));
    CHECK(Contains(errors, FailureCode::kOutOfRange, "objects[4].name"));
    CHECK(Contains(errors, FailureCode::kOutOfRange,
                   "objects[4].state.task_count"));
    CHECK(Contains(errors, FailureCode::kOutOfRange,
                   "objects[4].state.demand.slots"));
    CHECK(Contains(errors, FailureCode::kMissingField, "objects[5].state"));
    CHECK(errors.size() == 12);
  }
  SUBCASE("if an object or a member occurs twice") {
    CHECK(Contains(ParseErrors(R"({"ticket": 1, "objects": [
        {"kind": "key", "name": "k", "state": {"team": "a"}},
        {"kind": "key", "name": "k", "state": null}]})"),
                   FailureCode::kDuplicate, "objects"));
    CHECK(Contains(ParseErrors(R"({"ticket": 1, "ticket": 2, "objects": []})"),
                   FailureCode::kMalformed, "ticket"));
  }
  SUBCASE(
      "if the text is truncated, nested too deeply, too long or followed by "
      "more") {
    CHECK(Contains(ParseErrors(R"({"ticket": 1, "obj)"),
                   FailureCode::kMalformed, "ticket"));
    CHECK(Contains(ParseErrors(std::string(100'000, '[')),
                   FailureCode::kMalformed, "ticket"));
    CHECK(Contains(ParseErrors(std::string(kMaxTicketBytes + 1, ' ')),
                   FailureCode::kTooLarge, "ticket"));
    CHECK(Contains(ParseErrors(R"({"ticket": 1, "objects": []} {})"),
                   FailureCode::kMalformed, "ticket"));
  }
}

TEST_CASE("equal tickets have the same canonical text") {
  const std::string text = R"({"ticket": 17, "objects": [
      {"kind": "share", "name": "ovens", "state": {"weight": 2}},
      {"kind": "team", "name": "ovens", "state": {"organisation": "school"}},
      {"kind": "limit", "name": "ovens", "state": {"slots": 0}},
      {"kind": "service", "name": "seats",
       "state": {"open": true, "open_team": "ovens", "teams": ["b", "a"]}},
      {"kind": "job", "name": "ovens/mirror", "state": {"service": "seats",
       "kind": "service", "demand": {"cpu_millicores": 500},
       "expected_run_us": 10, "deadline_us": 20, "task_count": 3,
       "idempotent": false, "urgent": true, "payload": "\u00e9\n"}},
      {"kind": "key", "name": "k1", "state": null}]})";
  const Ticket ticket = Parse(text);
  CHECK(Parse(CanonicalText(ticket)) == ticket);

  SUBCASE("whatever the format and order of their members") {
    const Ticket other = Parse(R"({"objects":[
        {"state":{"slots":0},"name":"ovens","kind":"limit"},
        {"state":{"weight":2.0},"name":"ovens","kind":"share"}],"ticket":17})");
    const Ticket same = Parse(R"({"ticket": 17, "objects": [
        {"kind": "share", "name": "ovens", "state": {"weight": 2}},
        {"kind": "limit", "name": "ovens", "state": {"slots": 0}}]})");
    CHECK(CanonicalText(other) == CanonicalText(same));
  }
  SUBCASE("and different tickets have different texts") {
    Ticket other = ticket;
    other.objects.back().state.reset();
    CHECK(CanonicalText(other) != CanonicalText(ticket));
  }
}

TEST_CASE("a team's share and limit are independent of the team object") {
  Catalogue catalogue;
  const base::TeamId ovens("ovens");
  auto apply = [&, version = 0](const std::string& objects) mutable {
    ++version;
    ApplyTicket(Parse("{\"ticket\":" + std::to_string(version) +
                      ",\"objects\":[" + objects + "]}"),
                base::ConfigVersion(version), &catalogue);
  };
  apply(R"({"kind":"limit","name":"ovens","state":{"slots":4}},
           {"kind":"share","name":"ovens","state":{"weight":3}})");
  CHECK(catalogue.FindTeam(ovens) == nullptr);

  apply(R"({"kind":"team","name":"ovens","state":{"organisation":"school"}},
           {"kind":"key","name":"k1","state":{"team":"ovens"}})");
  REQUIRE(catalogue.FindTeam(ovens) != nullptr);
  CHECK(catalogue.FindTeam(ovens)->share == 3.0);
  CHECK(catalogue.FindTeam(ovens)->limit->slots == base::Slots(4));
  CHECK(catalogue.FindTeam(ovens)->limit->cpu.value() == kUnlimitedAmount);
  CHECK(catalogue.FindTeamByKey(base::ApiKey("k1")) == ovens);

  SUBCASE("removing them restores weight 1 and no limit") {
    apply(R"({"kind":"limit","name":"ovens","state":null},
             {"kind":"share","name":"ovens","state":null})");
    CHECK(catalogue.FindTeam(ovens)->share == 1.0);
    CHECK_FALSE(catalogue.FindTeam(ovens)->limit.has_value());
    CHECK(catalogue.version() == base::ConfigVersion(3));
  }
  SUBCASE("a key stops working when it or its team is removed") {
    SUBCASE("the key") { apply(R"({"kind":"key","name":"k1","state":null})"); }
    SUBCASE("the team") {
      apply(R"({"kind":"team","name":"ovens","state":null})");
    }
    CHECK_FALSE(catalogue.FindTeamByKey(base::ApiKey("k1")).has_value());
  }
  SUBCASE("jobs are added and removed by the name TEAM/REQUEST") {
    apply(R"({"kind":"job","name":"ovens/r1","state":{"service":"s",
              "kind":"batch","demand":{},"task_count":5}})");
    const base::JobId job{ovens, base::RequestId("r1")};
    REQUIRE(catalogue.jobs().contains(job));
    CHECK(catalogue.jobs().at(job).task_count == 5);
    apply(R"({"kind":"job","name":"ovens/r1","state":null})");
    CHECK(catalogue.jobs().empty());
  }
}

}  // namespace
}  // namespace dotterelbarrow::config
