// Encodes durable records as JSON objects: a "type" member and the members of
// the record.
#include <json/json.h>

#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/json_text.h"

namespace dotterelbarrow::core {
namespace {

Json::Value ToValue(const JobAccepted& record) {
  Json::Value value;
  value["type"] = "job_accepted";
  value["request"] = ToJson(record.request);
  value["from_ticket"] = record.from_ticket;
  return value;
}

Json::Value TaskValue(const char* type, const base::JobId& job,
                      std::uint32_t index) {
  Json::Value value;
  value["type"] = type;
  value["team"] = job.team.value();
  value["job"] = job.request.value();
  value["index"] = index;
  return value;
}

Json::Value ToValue(const TaskStarting& record) {
  return TaskValue("task_starting", record.job, record.index);
}

Json::Value ToValue(const TaskSucceeded& record) {
  return TaskValue("task_succeeded", record.job, record.index);
}

Json::Value ToValue(const JobEnded& record) {
  Json::Value value;
  value["type"] = "job_ended";
  value["team"] = record.job.team.value();
  value["job"] = record.job.request.value();
  value["answer"] = ToJson(record.answer);
  return value;
}

Json::Value ToValue(const KeyClaimed& record) {
  Json::Value value;
  value["type"] = "key_claimed";
  value["team"] = record.team.value();
  value["key"] = record.key.value();
  value["request"] = record.request.value();
  value["entry"] = record.entry.value();
  value["call"] = static_cast<Json::UInt64>(record.call.value());
  return value;
}

Json::Value ToValue(const KeyResolved& record) {
  Json::Value value;
  value["type"] = "key_resolved";
  value["team"] = record.team.value();
  value["key"] = record.key.value();
  value["answer"] = ToJson(record.answer);
  return value;
}

base::JobId JobOf(const Json::Value& value) {
  return {base::TeamId(value["team"].asString()),
          base::RequestId(value["job"].asString())};
}

}  // namespace

std::string EncodeRecord(const JobRecord& record) {
  return ToText(
      std::visit([](const auto& each) { return ToValue(each); }, record));
}

std::optional<JobRecord> DecodeRecord(const std::string& text) {
  const Json::Value value = ParseText(text);
  if (!value.isObject()) {
    return std::nullopt;
  }
  base::Failure reason;
  const std::string type = value["type"].asString();
  const base::TeamId team(value["team"].asString());
  const base::IdempotencyKey key(value["key"].asString());
  if (type == "job_accepted") {
    auto request =
        FromJson<WorkRequest>(value["request"], Members::kAny, &reason);
    if (!request) {
      return std::nullopt;
    }
    return JobAccepted{*request, value["from_ticket"].asBool()};
  }
  if (type == "task_starting") {
    return TaskStarting{JobOf(value), value["index"].asUInt()};
  }
  if (type == "task_succeeded") {
    return TaskSucceeded{JobOf(value), value["index"].asUInt()};
  }
  if (type == "key_claimed") {
    return KeyClaimed{team, key, base::RequestId(value["request"].asString()),
                      base::EntryId(value["entry"].asString()),
                      base::CallId(value["call"].asUInt64())};
  }
  const auto answer = FromJson<Answer>(value["answer"], Members::kAny, &reason);
  if (!answer) {
    return std::nullopt;
  }
  if (type == "job_ended") {
    return JobEnded{JobOf(value), *answer};
  }
  if (type == "key_resolved") {
    return KeyResolved{team, key, *answer};
  }
  return std::nullopt;
}

}  // namespace dotterelbarrow::core
