// Tests which answer a call gets of which several copies were sent.
#include "src/member/owner_call_forwarder.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/wire/http_client.h"

namespace dotterelbarrow::member {
namespace {

// Keeps the lines about forwarded submissions, without their ages.
class ForwardingLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override {
    if (event != "submission_forwarded") {
      return;
    }
    std::string line;
    for (const core::scheduler::LogField& field : fields) {
      const auto* number = std::get_if<std::int64_t>(&field.second);
      if (field.first != "age_ms") {
        line += std::string(field.first) + "=" +
                (number == nullptr ? std::get<std::string>(field.second)
                                   : std::to_string(*number)) +
                " ";
      }
    }
    lines.push_back(line);
  }
  std::vector<std::string> lines;
};

// A host that is the owner itself; the test gives the owner's answers.
struct Fixture {
  wire::EventLoop loop;
  wire::HttpClient http{loop, wire::HttpClientOptions()};
  core::Counters counters;
  ForwardingLog log;
  RpcClient rpc{&http, &counters};
  std::uint64_t owner_token = 1;
  std::vector<OwnerReply> copies;
  std::optional<OwnerAnswer> answer;
  OwnerCallForwarder forwarder{
      loop,
      &rpc,
      {&log, &counters},
      [this] {
        return std::optional(
            OwnerRoute{core::scheduler::FencingToken(owner_token), "", true});
      },
      [this](const OwnerCall& /*call*/, const OwnerReply& reply) {
        copies.push_back(reply);
      },
      [] { return false; },
      [](const std::string& /*record*/) {},
      [](Json::Value* /*params*/) {}};

  Fixture() {
    SubmitCall submit;
    submit.submission.key = core::jobs::JobKey(1);
    forwarder.Call(submit,
                   [this](const OwnerAnswer& final) { answer = final; });
  }
  void RunUntilCopies(std::size_t count) {
    loop.RunUntil([&] { return copies.size() >= count; });
  }
};

const Refused kRefused{"store_away", std::chrono::seconds(1)};

// Guards against a refusal of a job that runs: its first copy is without an
// outcome, the second one is refused, and the first one is accepted later.
TEST_CASE("a submission whose first copy has no outcome is sent again") {
  Fixture f;
  f.RunUntilCopies(1);
  f.copies[0](OutcomeUnknown{});
  CHECK_FALSE(f.answer.has_value());

  SUBCASE("the same owner refuses the second copy: nobody knows") {
    f.RunUntilCopies(2);
    f.copies[1](kRefused);
    REQUIRE(f.answer.has_value());
    CHECK(std::holds_alternative<OutcomeUnknown>(*f.answer));
  }
  SUBCASE("the same owner accepts the second copy: it is accepted") {
    f.RunUntilCopies(2);
    f.copies[1](Accepted{});
    REQUIRE(f.answer.has_value());
    CHECK(std::holds_alternative<Accepted>(*f.answer));
  }
  SUBCASE("the next owner refuses it: it is refused for certain") {
    f.owner_token = 2;
    f.RunUntilCopies(2);
    f.copies[1](kRefused);
    REQUIRE(f.answer.has_value());
    CHECK(std::holds_alternative<Refused>(*f.answer));
    REQUIRE(f.log.lines.size() == 1);
    CHECK(f.log.lines[0] ==
          "job=0000000000000001 answer=refused copies=2 last_token=2 "
          "unknown_token=1 ");
  }
}

// Guards against a refusal while a copy at the same owner has no outcome, if
// another copy went to an earlier owner since.
TEST_CASE("a submission without an outcome at two owners") {
  Fixture f;
  f.owner_token = 2;
  f.RunUntilCopies(2);
  f.copies[1](OutcomeUnknown{});
  f.owner_token = 1;
  f.RunUntilCopies(3);
  f.copies[2](OutcomeUnknown{});
  f.owner_token = 2;
  f.RunUntilCopies(4);
  REQUIRE_FALSE(f.answer.has_value());

  SUBCASE("is without an outcome if the later one refuses it") {
    f.copies[3](kRefused);
    REQUIRE(f.answer.has_value());
    CHECK(std::holds_alternative<OutcomeUnknown>(*f.answer));
  }
  SUBCASE("is refused if the next one refuses it") {
    f.owner_token = 3;
    f.RunUntilCopies(5);
    f.copies[4](kRefused);
    REQUIRE(f.answer.has_value());
    CHECK(std::holds_alternative<Refused>(*f.answer));
  }
}

TEST_CASE("a submission that is refused at once") {
  Fixture f;
  f.RunUntilCopies(1);
  f.copies[0](kRefused);
  REQUIRE(f.answer.has_value());
  CHECK(std::holds_alternative<Refused>(*f.answer));
}

}  // namespace
}  // namespace dotterelbarrow::member
