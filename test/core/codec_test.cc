// Tests that every message survives encoding and decoding unchanged, and that
// malformed messages are rejected.
#include "dotterelbarrow/core/codec.h"

#include <doctest/doctest.h>

#include "src/core/codec/fields_peer.h"
#include "src/core/codec/fields_platform.h"

namespace dotterelbarrow::core {
namespace {

using base::Failure;
using base::FailureCode;

// Sets every member of a message to a distinct value.
class Filler {
 public:
  template <typename T>
  void Fill(T* out) {
    if constexpr (std::is_enum_v<T>) {
      *out = static_cast<T>(1);
    } else {
      Schema<T>::Visit(*out, *this);
    }
  }
  void Fill(bool* out) { *out = !*out; }
  void Fill(std::uint32_t* out) { *out = static_cast<std::uint32_t>(Next()); }
  void Fill(std::uint64_t* out) { *out = (1ULL << 63) + Next(); }
  void Fill(double* out) { *out = 0.1 * static_cast<double>(Next()); }
  void Fill(std::string* out) {
    *out = std::string("\0\"\\\n\xc3\xb3\xff", 7) + std::to_string(Next());
  }
  template <typename Tag>
  void Fill(base::StringId<Tag>* out) {
    *out = base::StringId<Tag>(std::to_string(Next()));
  }
  template <typename Tag>
  void Fill(base::NumberId<Tag>* out) {
    *out = base::NumberId<Tag>((1ULL << 63) + Next());
  }
  template <typename Tag>
  void Fill(base::Quantity<Tag>* out) {
    *out = base::Quantity<Tag>(kMaxQuantity - Next());
  }
  void Fill(base::Duration* out) {
    *out = base::Duration(kMaxDurationMicros - Next());
  }
  template <typename Item>
  void Fill(std::vector<Item>* out) {
    Fill(&out->emplace_back());
    Fill(&out->emplace_back());
  }
  void Required(const char* /*name*/, auto& field) { Fill(&field); }
  template <typename Field>
  void Optional(const char* /*name*/, Field& field,
                const Field& /*absent*/ = Field()) {
    Fill(&field);
  }

 private:
  int Next() { return ++last_; }
  int last_ = 0;
};

template <typename Message>
void CheckRoundTrip() {
  Message message;
  Filler().Fill(&message);
  for (const Defaults defaults : {Defaults::kWritten, Defaults::kOmitted}) {
    const std::string text = Encode(message, defaults);
    CAPTURE(text);
    Failure reason;
    const auto decoded = Decode<Message>(text, Members::kRejected, &reason);
    CAPTURE(reason.detail);
    REQUIRE(decoded);
    CHECK(*decoded == message);
  }
}

template <typename Message>
void CheckMembersRequired() {
  Message message;
  Filler().Fill(&message);
  const Json::Value whole = ToJson(message);
  for (const std::string& name : whole.getMemberNames()) {
    CAPTURE(name);
    Json::Value partial = whole;
    partial.removeMember(name);
    Failure reason;
    CHECK_FALSE(FromJson<Message>(partial, Members::kAny, &reason));
    CHECK(reason.code == FailureCode::kMissingField);
    partial[name] = Json::Value(Json::nullValue);
    CHECK_FALSE(FromJson<Message>(partial, Members::kAny, &reason));
    CHECK(reason.code == FailureCode::kWrongType);
  }
}

template <typename Variant>
struct EachOf;
template <typename... Messages>
struct EachOf<std::variant<Messages...>> {
  static void RoundTrip() { (CheckRoundTrip<Messages>(), ...); }
  static void MembersRequired() { (CheckMembersRequired<Messages>(), ...); }
};

TEST_CASE("a message is unchanged after encoding and decoding") {
  SUBCASE("between entry hosts") { EachOf<core::PeerMessage>::RoundTrip(); }
  SUBCASE("to and from a backend server") {
    CheckRoundTrip<core::BackendSync>();
    CheckRoundTrip<core::BackendReport>();
    CheckRoundTrip<core::RunCommand>();
    CheckRoundTrip<core::RunResult>();
  }
  SUBCASE("to and from the platform") {
    CheckRoundTrip<core::TableTransaction>();
    CheckRoundTrip<core::TableRows>();
    CheckRoundTrip<TransactAnswer>();
    CheckRoundTrip<HostRecords>();
  }
  SUBCASE("to and from callers and operators") {
    CheckRoundTrip<CallerWork>();
    CheckRoundTrip<core::Answer>();
    CheckRoundTrip<core::TicketAnswer>();
  }
  SUBCASE("every enumeration value is decoded from its name") {
    for (int i = 0; i <= static_cast<int>(core::Reason::kNotFound); ++i) {
      core::Answer answer;
      answer.reason = static_cast<core::Reason>(i);
      Failure reason;
      const auto decoded =
          Decode<core::Answer>(Encode(answer), Members::kAny, &reason);
      REQUIRE(decoded);
      CHECK(decoded->reason == answer.reason);
    }
  }
  SUBCASE("members that have their default are omitted, and no others") {
    CallerWork work;
    work.request.idempotent = false;
    work.request.task_count = 0;
    const Json::Value json = ToJson(work, Defaults::kOmitted);
    CHECK(json.getMemberNames() == std::vector<std::string>{"id", "idempotent",
                                                            "service",
                                                            "task_count"});
    Failure reason;
    CHECK(FromJson<CallerWork>(json, Members::kRejected, &reason) == work);
  }
  SUBCASE("a negative quantity or duration is written as 0") {
    core::ForwardRequest forward;
    forward.time_left = base::Duration(-5);
    Failure reason;
    const auto decoded =
        Decode<core::ForwardRequest>(Encode(forward), Members::kAny, &reason);
    REQUIRE(decoded);
    CHECK(decoded->time_left == base::Duration(0));
  }
}

TEST_CASE("a peer message with a missing or mistyped member is rejected") {
  EachOf<core::PeerMessage>::MembersRequired();
}

TEST_CASE("a malformed request of a caller is rejected with a failure code") {
  struct Case {
    const char* text;
    FailureCode code;
  };
  const std::string deep(100, '[');
  const Case cases[] = {
      {"", FailureCode::kMalformed},
      {"{\"id\":\"a\"", FailureCode::kMalformed},
      {"{} {}", FailureCode::kMalformed},
      {deep.c_str(), FailureCode::kMalformed},
      {R"({"id":"a","id":"b","service":"s"})", FailureCode::kMalformed},
      {R"({"id":"a","service":"s","task_count":NaN})", FailureCode::kMalformed},
      {"[]", FailureCode::kWrongType},
      {"null", FailureCode::kWrongType},
      {R"({"id":"a"})", FailureCode::kMissingField},
      {R"({"id":7,"service":"s"})", FailureCode::kWrongType},
      {R"({"id":"a","service":"s","urgent":1})", FailureCode::kWrongType},
      {R"({"id":"a","service":"s","demand":[]})", FailureCode::kWrongType},
      {R"({"id":"a","service":"s","kind":"cron"})", FailureCode::kUnknownValue},
      {R"({"id":"a","service":"s","kind":"invalid"})",
       FailureCode::kUnknownValue},
      {R"({"id":"a","service":"s","team":"t"})", FailureCode::kUnknownField},
      {R"({"id":"a","service":"s","demand":{"gpu":1}})",
       FailureCode::kUnknownField},
      {R"({"id":"a","service":"s","task_count":-1})", FailureCode::kOutOfRange},
      {R"({"id":"a","service":"s","task_count":1.5})",
       FailureCode::kOutOfRange},
      {R"({"id":"a","service":"s","task_count":4294967296})",
       FailureCode::kOutOfRange},
      {R"({"id":"a","service":"s","demand":{"slots":-1}})",
       FailureCode::kOutOfRange},
      {R"({"id":"a","service":"s","demand":{"memory_mib":1000000000001}})",
       FailureCode::kOutOfRange},
      {R"({"id":"a","service":"s","deadline_us":1e30})",
       FailureCode::kOutOfRange},
  };
  for (const Case& bad : cases) {
    CAPTURE(bad.text);
    Failure reason;
    CHECK_FALSE(Decode<CallerWork>(bad.text, Members::kRejected, &reason));
    CHECK(reason.code == bad.code);
  }
  SUBCASE("the failure names the faulty member") {
    Failure reason;
    Decode<CallerWork>(R"({"id":"a","service":"s","demand":{"slots":"x"}})",
                       Members::kRejected, &reason);
    CHECK(reason.detail == "demand.slots must be a number");
  }
  SUBCASE("an omitted member keeps its default") {
    Failure reason;
    const auto work = Decode<CallerWork>(R"({"id":"a","service":"s"})",
                                         Members::kRejected, &reason);
    REQUIRE(work);
    CHECK(work->request.task_count == 1);
    CHECK(work->request.idempotent);
  }
}

TEST_CASE("the values of a JSON text are counted without parsing it") {
  CHECK(MaxJsonValues("") == 1);
  CHECK(MaxJsonValues("7") == 1);
  CHECK(MaxJsonValues("[0,0,0]") == 4);
  CHECK(MaxJsonValues(R"({"a":[1,2],"b":{}})") == 6);
  CHECK(MaxJsonValues(R"(["a,[{\\\",","\\",1])") == 4);
}

}  // namespace
}  // namespace dotterelbarrow::core
