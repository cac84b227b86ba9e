// Tests that the answers of workers and of the advisor are decoded, that a bad
// row costs only that row, and that no bytes crash the process.
#include "platform/worker_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace dotterelbarrow::platform {
namespace {

using core::jobs::RunEnd;
using core::scheduler::AdviceResult;
using core::scheduler::CommandOutcome;

constexpr const char* kPollAnswer =
    R"({"clock_ms":482113,"born":1700000000000,)"
    R"("active":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3]],)"
    R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

wire::HttpResult Answer(std::string body, int status = 200) {
  return {wire::HttpOutcome::kAnswered, status, std::move(body)};
}

core::jobs::TaskRef Task(const char* text) {
  return core::jobs::ParseTaskRef(text).value();
}

TEST_CASE("the answer to a poll") {
  SUBCASE("gives the worker's clock and both lists") {
    const auto result = DecodePollAnswer(Answer(kPollAnswer));
    CHECK(result.outcome == CommandOutcome::kDone);
    CHECK(result.clock_ms == 482113);
    CHECK(result.born_ms == 1700000000000);
    REQUIRE(result.active.size() == 1);
    CHECK(result.active[0].task == Task("5c0e7a21d94b36f8.0.1.17"));
    CHECK(result.active[0].attempt.value() == 2);
    CHECK(result.active[0].checkpoint == "00000bb8");
    REQUIRE(result.ended.size() == 1);
    CHECK(result.ended[0].number == 58);
    CHECK(result.ended[0].task == Task("5c0e7a21d94b36f8.0.1.9"));
    CHECK(result.ended[0].end == RunEnd::kDone);
  }
  SUBCASE("without a clock, or not JSON, is malformed") {
    for (const char* body : {"", "{", "[]", "7", "{}", R"({"clock_ms":"x"})",
                             R"({"clock_ms":-1})", R"({"clock_ms":1} 2)"}) {
      CAPTURE(body);
      CHECK(DecodePollAnswer(Answer(body)).outcome ==
            CommandOutcome::kMalformed);
    }
  }
  SUBCASE("loses only the rows that can't be read") {
    const auto result = DecodePollAnswer(
        Answer(R"({"clock_ms":1,"active":[7,[],["x",1],[null],)"
               R"(["5c0e7a21d94b36f8.0.1.17"]],"finished":[{},)"
               R"([1,"5c0e7a21d94b36f8.0.1.9",1,"unheard_of",""],)"
               R"([2,"5c0e7a21d94b36f8.0.1.9",-1,"failed"]]})"));
    CHECK(result.outcome == CommandOutcome::kDone);
    REQUIRE(result.active.size() == 1);
    CHECK(result.active[0].attempt.value() == 0);
    REQUIRE(result.ended.size() == 1);
    CHECK(result.ended[0].number == 2);
    CHECK(result.ended[0].attempt.value() == 0);
    CHECK(result.ended[0].end == RunEnd::kFailed);
  }
  SUBCASE("with as many ends as a worker lists at a time is incomplete") {
    std::string ends;
    const auto decode = [&ends] {
      return DecodePollAnswer(
          Answer(R"({"clock_ms":1,"active":[],"finished":[)" + ends + "]}"));
    };
    for (int number = 499; number > 0; --number) {
      ends += "[" + std::to_string(number) +
              R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])" +
              (number > 1 ? "," : "");
    }
    auto result = decode();
    CHECK(result.lists_all);
    CHECK(result.ended.front().number == 1);
    CHECK(result.ended.back().number == 499);
    ends += R"(,[500,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    CHECK_FALSE(decode().lists_all);
  }
  SUBCASE("with an active run that can't be read is incomplete") {
    CHECK_FALSE(DecodePollAnswer(Answer(R"({"clock_ms":1,"active":[["?",1]]})"))
                    .lists_all);
  }
  SUBCASE("nested too deep for a recursive parser does no harm") {
    const std::string nested(200'000, '[');
    CHECK(DecodePollAnswer(Answer(nested)).outcome ==
          CommandOutcome::kMalformed);
    const std::string closed = nested + std::string(200'000, ']');
    CHECK(DecodePollAnswer(Answer(closed)).outcome ==
          CommandOutcome::kMalformed);
  }
  SUBCASE("with any bytes changed, cut off or doubled does no harm") {
    CHECK(rc::check([] {
      std::string text = kPollAnswer;
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
          break;
        case 1:
          text.resize(at);
          break;
        default:
          text.insert(at, text.substr(at, 20));
      }
      DecodePollAnswer(Answer(text));
      DecodeCommandResponse(Answer(text, 409));
      DecodeAdvice(Answer(text));
    }));
  }
}

TEST_CASE("the response to a command") {
  SUBCASE("says why the worker refused it") {
    const auto response = DecodeCommandResponse(
        Answer(R"({"clock_ms":9,"reason":"fence"})", 409));
    CHECK(response.outcome == CommandOutcome::kFenced);
    CHECK(response.clock_ms == 9);
    CHECK(DecodeCommandResponse(Answer("{}", 409)).outcome ==
          CommandOutcome::kRefused);
    CHECK(DecodeCommandResponse(Answer("", 421)).outcome ==
          CommandOutcome::kOtherIncarnation);
  }
  SUBCASE("that was lost may have been carried out; one not sent was not") {
    CHECK(DecodeCommandResponse({wire::HttpOutcome::kLost, 0, {}}).outcome ==
          CommandOutcome::kUnanswered);
    CHECK(DecodeCommandResponse({wire::HttpOutcome::kNotSent, 0, {}}).outcome ==
          CommandOutcome::kNotSent);
  }
}

TEST_CASE("the advisor's answer") {
  SUBCASE("names allowed workers with their tickets") {
    const auto result =
        DecodeAdvice(Answer(R"({"allowed":[["i-1","t1"],["i-2"],["i-3","t3"]],)"
                            R"("valid_ms":1500})"));
    CHECK(result.outcome == AdviceResult::Outcome::kAnswered);
    CHECK(result.ticket_validity == std::chrono::milliseconds(1500));
    REQUIRE(result.allowed.size() == 2);
    CHECK(result.allowed[1].worker.value() == "i-3");
    CHECK(result.allowed[1].ticket == "t3");
  }
  SUBCASE("that it is busy differs from a failure") {
    CHECK(DecodeAdvice(Answer("", 429)).outcome ==
          AdviceResult::Outcome::kBusy);
    CHECK(DecodeAdvice(Answer("{}")).outcome == AdviceResult::Outcome::kFailed);
  }
}

TEST_CASE("requests") {
  const core::scheduler::FencingToken token(7);
  SUBCASE("to start a task carry its payload byte for byte") {
    core::scheduler::StartTask start;
    start.task = Task("5c0e7a21d94b36f8.0.1.17");
    start.attempt = core::jobs::Attempt(2);
    start.payload = "a \"quote\", a \\, a\nline and \xc3\xa9";
    start.lease_until_ms = 486000;
    CHECK(EncodeStart(start, token) ==
          "{\"task\":\"5c0e7a21d94b36f8.0.1.17\",\"attempt\":2,"
          "\"fencing_token\":7,\"spec\":\"a \\\"quote\\\", a \\\\, a\\nline "
          "and \xc3\xa9\",\"deadline_ms\":486000}");
    start.ticket = "t";
    CHECK(EncodeStart(start, token).ends_with(",\"ticket\":\"t\"}"));
  }
  SUBCASE("to poll name a lease and a wait only if there is one") {
    core::scheduler::PollWorker poll;
    poll.ends_stored = 57;
    CHECK(EncodePoll(poll, token) ==
          R"({"fencing_token":7,"acked_through":57})");
    poll.lease_until_ms = 486000;
    poll.wait = std::chrono::seconds(1);
    CHECK(EncodePoll(poll, token) ==
          R"({"fencing_token":7,"acked_through":57,"deadline_ms":486000,)"
          R"("wait_ms":1000})");
  }
  SUBCASE("for advice name the step and the workers") {
    CHECK(
        EncodeAdviceRequest(Task("5c0e7a21d94b36f8.0.1.17").step,
                            {base::BackendId("i-1"), base::BackendId("i-2")}) ==
        R"({"step":"5c0e7a21d94b36f8.0.1","workers":["i-1","i-2"]})");
  }
}

}  // namespace
}  // namespace dotterelbarrow::platform
