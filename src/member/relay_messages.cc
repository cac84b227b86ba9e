// Each poll is the row [id, address, worker, body, timeout in ms]; each answer
// the row [id, outcome, status, body].
#include "src/member/relay_messages.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <chrono>
#include <string_view>

namespace dotterelbarrow::member {
namespace {

using rapidjson::Value;
using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// Iterative, so that deep nesting can't exhaust the stack.
constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag;
constexpr rapidjson::SizeType kPollFields = 5;
constexpr rapidjson::SizeType kAnswerFields = 4;

void WriteText(JsonWriter* writer, std::string_view text) {
  writer->String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

std::string TextOf(const Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

// Returns the member if it is an array, else null.
const Value* FindArray(const Value& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || !it->value.IsArray() ? nullptr
                                                          : &it->value;
}

// Parses an object with a "session" and an array called `rows`.
bool Parse(const std::string& text, const char* rows,
           rapidjson::Document* document, base::Failure* reason) {
  document->Parse<kParseFlags>(text.data(), text.size());
  const bool is_valid = !document->HasParseError() && document->IsObject() &&
                        document->HasMember("session") &&
                        (*document)["session"].IsUint64() &&
                        FindArray(*document, rows) != nullptr;
  if (!is_valid) {
    *reason = {base::FailureCode::kMalformed,
               std::string("relay: needs a session and ") + rows};
  }
  return is_valid;
}

bool IsPoll(const Value& row) {
  return row.IsArray() && row.Size() == kPollFields && row[0].IsUint64() &&
         row[1].IsString() && row[2].IsString() && row[3].IsString() &&
         row[4].IsInt64();
}

bool IsAnswer(const Value& row) {
  return row.IsArray() && row.Size() == kAnswerFields && row[0].IsUint64() &&
         row[1].IsInt() && row[2].IsInt() && row[3].IsString();
}

// An unknown outcome counts as a lost answer.
wire::HttpOutcome OutcomeOf(int number) {
  switch (static_cast<wire::HttpOutcome>(number)) {
    case wire::HttpOutcome::kAnswered:
      return wire::HttpOutcome::kAnswered;
    case wire::HttpOutcome::kNotSent:
      return wire::HttpOutcome::kNotSent;
    default:
      return wire::HttpOutcome::kLost;
  }
}

}  // namespace

std::string Encode(const RelayedPolls& message) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("session");
  writer.Uint64(message.session);
  writer.Key("reply_to");
  WriteText(&writer, message.reply_to);
  writer.Key("polls");
  writer.StartArray();
  for (const RelayedPoll& poll : message.polls) {
    writer.StartArray();
    writer.Uint64(poll.id);
    WriteText(&writer, poll.address);
    WriteText(&writer, poll.worker);
    WriteText(&writer, poll.body);
    writer.Int64(poll.timeout / std::chrono::milliseconds(1));
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string Encode(const RelayedAnswers& message) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("session");
  writer.Uint64(message.session);
  writer.Key("answers");
  writer.StartArray();
  for (const auto& [id, answer] : message.answers) {
    writer.StartArray();
    writer.Uint64(id);
    writer.Int(static_cast<int>(answer.outcome));
    writer.Int(answer.status);
    WriteText(&writer, answer.body);
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<RelayedPolls> DecodeRelayedPolls(const std::string& text,
                                               base::Failure* reason) {
  rapidjson::Document document;
  if (!Parse(text, "polls", &document, reason)) {
    return std::nullopt;
  }
  const auto reply_to = document.FindMember("reply_to");
  if (reply_to == document.MemberEnd() || !reply_to->value.IsString()) {
    *reason = {base::FailureCode::kMissingField, "relay: needs reply_to"};
    return std::nullopt;
  }
  RelayedPolls message;
  message.session = document["session"].GetUint64();
  message.reply_to = TextOf(reply_to->value);
  for (const Value& row : document["polls"].GetArray()) {
    if (IsPoll(row)) {
      message.polls.push_back(
          {.id = row[0].GetUint64(),
           .address = TextOf(row[1]),
           .worker = TextOf(row[2]),
           .body = TextOf(row[3]),
           .timeout = std::chrono::milliseconds(row[4].GetInt64())});
    }
  }
  return message;
}

std::optional<RelayedAnswers> DecodeRelayedAnswers(const std::string& text,
                                                   base::Failure* reason) {
  rapidjson::Document document;
  if (!Parse(text, "answers", &document, reason)) {
    return std::nullopt;
  }
  RelayedAnswers message;
  message.session = document["session"].GetUint64();
  for (const Value& row : document["answers"].GetArray()) {
    if (IsAnswer(row)) {
      message.answers.emplace_back(
          row[0].GetUint64(),
          wire::HttpResult{OutcomeOf(row[1].GetInt()), row[2].GetInt(),
                           TextOf(row[3])});
    }
  }
  return message;
}

}  // namespace dotterelbarrow::member
