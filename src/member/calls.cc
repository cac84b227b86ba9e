// JSON encoding and decoding of calls and answers.
#include "src/member/calls.h"

#include <utility>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/core/jobs/job_records.h"

namespace dotterelbarrow::member {
namespace {

using base::FailureCode;

std::optional<core::jobs::JobKey> ReadJobKey(const Json::Value& params,
                                             base::Failure* reason) {
  const Json::Value& text = params["job"];
  const auto key =
      text.isString() ? core::jobs::ParseJobKey(text.asString()) : std::nullopt;
  if (!key) {
    *reason = {FailureCode::kMalformed, "job: expected a job's key"};
  }
  return key;
}

// Reads the keys in `list`, without those that are malformed.
std::vector<core::jobs::JobKey> ReadJobKeys(const Json::Value& list) {
  std::vector<core::jobs::JobKey> keys;
  if (!list.isArray()) {
    return keys;
  }
  for (const Json::Value& text : list) {
    const auto key = text.isString() ? core::jobs::ParseJobKey(text.asString())
                                     : std::nullopt;
    if (key) {
      keys.push_back(*key);
    }
  }
  return keys;
}

template <typename Keys>
Json::Value JobKeysToJson(const Keys& keys) {
  Json::Value list(Json::arrayValue);
  for (const core::jobs::JobKey key : keys) {
    list.append(core::jobs::ToString(key));
  }
  return list;
}

std::string StringField(const Json::Value& params, const char* name) {
  return params[name].isString() ? params[name].asString() : std::string();
}

base::Duration DurationField(const Json::Value& value, const char* name) {
  const Json::Value& millis = value[name];
  return std::chrono::milliseconds(millis.isInt64() ? millis.asInt64() : 0);
}

std::optional<OwnerCall> SubmitFromJson(const Json::Value& params,
                                        base::Failure* reason) {
  const auto key = ReadJobKey(params, reason);
  auto spec = core::jobs::JobSpecFromJson(params["spec"], reason);
  if (!key || !spec) {
    return std::nullopt;
  }
  return SubmitCall{{*key, core::desired::QueueId(StringField(params, "queue")),
                     base::OrganisationId(StringField(params, "organisation")),
                     std::move(*spec)}};
}

}  // namespace

const char* MethodOf(const OwnerCall& call) {
  return std::visit(
      base::Overloaded{[](const SubmitCall&) { return kSubmit; },
                       [](const CancelCall&) { return kCancel; },
                       [](const StateCall&) { return kState; },
                       [](const PendingCall&) { return kPending; },
                       [](const KnownCall&) { return kKnown; }},
      call);
}

Json::Value ToJson(const OwnerCall& call) {
  Json::Value params(Json::objectValue);
  std::visit(base::Overloaded{
                 [&params](const SubmitCall& submit) {
                   params["job"] = core::jobs::ToString(submit.submission.key);
                   params["queue"] = submit.submission.queue.value();
                   params["organisation"] =
                       submit.submission.organisation.value();
                   params["spec"] = core::jobs::ToJson(submit.submission.spec);
                 },
                 [&params](const CancelCall& cancel) {
                   params["job"] = core::jobs::ToString(cancel.key);
                 },
                 [&params](const StateCall& state) {
                   params["job"] = core::jobs::ToString(state.key);
                 },
                 [&params](const PendingCall& pending) {
                   params["queue"] = pending.queue.value();
                 },
                 [&params](const KnownCall& known) {
                   params["jobs"] = JobKeysToJson(known.jobs);
                 }},
             call);
  return params;
}

std::optional<OwnerCall> OwnerCallFromJson(const std::string& method,
                                           const Json::Value& params,
                                           base::Failure* reason) {
  if (!params.isObject()) {
    *reason = {FailureCode::kWrongType, "params: expected an object"};
    return std::nullopt;
  }
  if (method == kSubmit) {
    return SubmitFromJson(params, reason);
  }
  if (method == kPending) {
    return PendingCall{core::desired::QueueId(StringField(params, "queue"))};
  }
  if (method == kKnown) {
    return KnownCall{ReadJobKeys(params["jobs"])};
  }
  if (method != kCancel && method != kState) {
    *reason = {FailureCode::kUnknownValue, "method " + method};
    return std::nullopt;
  }
  const auto key = ReadJobKey(params, reason);
  if (!key) {
    return std::nullopt;
  }
  return method == kCancel ? OwnerCall(CancelCall{*key})
                           : OwnerCall(StateCall{*key});
}

bool IsForOwner(const Json::Value& params,
                core::scheduler::FencingToken token) {
  const Json::Value& named = params[kOwnerTokenField];
  return !named.isUInt64() || named.asUInt64() == token.value();
}

const char* NameOf(const OwnerAnswer& answer) {
  return std::visit(
      base::Overloaded{[](const Accepted&) { return "accepted"; },
                       [](const Refused&) { return "refused"; },
                       [](const Cancelled&) { return "cancelled"; },
                       [](const UnknownJob&) { return "unknown_job"; },
                       [](const JobStateAnswer&) { return "state"; },
                       [](const PendingAnswer&) { return "pending"; },
                       [](const KnownAnswer&) { return "known"; },
                       [](const NoOwner&) { return "no_owner"; },
                       [](const OutcomeUnknown&) { return "unknown"; }},
      answer);
}

std::string ReasonOf(const OwnerAnswer& answer) {
  const auto* refused = std::get_if<Refused>(&answer);
  return refused == nullptr ? "none" : refused->reason;
}

Json::Value ToJson(const OwnerAnswer& answer) {
  Json::Value value(Json::objectValue);
  value["answer"] = NameOf(answer);
  if (const auto* refused = std::get_if<Refused>(&answer)) {
    value["reason"] = refused->reason;
    value["retry_after_ms"] = static_cast<Json::Int64>(
        refused->retry_after / std::chrono::milliseconds(1));
    value["pause_ms"] =
        static_cast<Json::Int64>(refused->pause / std::chrono::milliseconds(1));
  } else if (const auto* state = std::get_if<JobStateAnswer>(&answer)) {
    value["state"] = core::jobs::ToString(state->state);
  } else if (const auto* pending = std::get_if<PendingAnswer>(&answer)) {
    value["jobs"] = static_cast<Json::UInt64>(pending->jobs);
  } else if (const auto* known = std::get_if<KnownAnswer>(&answer)) {
    value["jobs"] = JobKeysToJson(known->jobs);
  }
  return value;
}

OwnerAnswer OwnerAnswerFromJson(const Json::Value& value) {
  const std::string name = value.isObject() ? StringField(value, "answer") : "";
  if (name == "accepted") {
    return Accepted{};
  }
  if (name == "refused") {
    return Refused{StringField(value, "reason"),
                   DurationField(value, "retry_after_ms"),
                   DurationField(value, "pause_ms")};
  }
  if (name == "cancelled") {
    return Cancelled{};
  }
  if (name == "unknown_job") {
    return UnknownJob{};
  }
  if (name == "no_owner") {
    return NoOwner{};
  }
  if (name == "state") {
    const auto state = core::jobs::ParseJobState(StringField(value, "state"));
    return state ? OwnerAnswer(JobStateAnswer{*state})
                 : OwnerAnswer(OutcomeUnknown{});
  }
  if (name == "pending" && value["jobs"].isUInt64()) {
    return PendingAnswer{value["jobs"].asUInt64()};
  }
  if (name == "known" && value["jobs"].isArray()) {
    const auto jobs = ReadJobKeys(value["jobs"]);
    return KnownAnswer{{jobs.begin(), jobs.end()}};
  }
  return OutcomeUnknown{};
}

}  // namespace dotterelbarrow::member
