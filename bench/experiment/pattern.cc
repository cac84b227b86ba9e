// Parses load patterns.
#include "bench/experiment/pattern.h"

#include <fstream>
#include <sstream>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::bench {
namespace {

// Sets `to` if `value` has a number of this name.
void ReadNumber(const Json::Value& value, const char* name, double* to) {
  if (value[name].isNumeric()) {
    *to = value[name].asDouble();
  }
}

void ReadNumber(const Json::Value& value, const char* name, int* to) {
  if (value[name].isInt()) {
    *to = value[name].asInt();
  }
}

Burst ReadBurst(const Json::Value& value) {
  Burst burst;
  ReadNumber(value, "at", &burst.at_s);
  ReadNumber(value, "for", &burst.for_s);
  ReadNumber(value, "times", &burst.times);
  return burst;
}

OrganisationSettings ReadOrganisations(const Json::Value& value) {
  OrganisationSettings organisations;
  ReadNumber(value, "count", &organisations.count);
  ReadNumber(value, "skew", &organisations.skew);
  ReadNumber(value, "weight_factor", &organisations.weight_factor);
  for (const Json::Value& burst : value["bursts"]) {
    OrganisationBurst read{.organisation = 0, .burst = ReadBurst(burst)};
    ReadNumber(burst, "organisation", &read.organisation);
    organisations.bursts.push_back(read);
  }
  return organisations;
}

Kind ReadKind(const Json::Value& value) {
  Kind kind;
  kind.name = value["name"].isString() ? value["name"].asString() : "";
  ReadNumber(value, "rate", &kind.jobs_per_s);
  ReadNumber(value, "priority", &kind.priority);
  ReadNumber(value, "slack", &kind.slack_factor);
  ReadNumber(value, "target_ms", &kind.target_ms);
  ReadNumber(value, "tasks", &kind.tasks);
  ReadNumber(value, "task_ms", &kind.task_ms);
  ReadNumber(value, "cores", &kind.cores);
  ReadNumber(value, "memory_mb", &kind.memory_mb);
  ReadNumber(value, "steps", &kind.steps);
  ReadNumber(value, "gang", &kind.gang);
  ReadNumber(value, "estimate_off", &kind.estimate_off);
  ReadNumber(value, "failing", &kind.failing);
  ReadNumber(value, "checkpoints", &kind.checkpoints);
  ReadNumber(value, "allowed", &kind.allowed);
  ReadNumber(value, "decision_ms", &kind.decision_ms);
  ReadNumber(value, "per_worker_ms", &kind.per_worker_ms);
  ReadNumber(value, "valid_ms", &kind.valid_ms);
  ReadNumber(value, "noise", &kind.noise);
  ReadNumber(value, "value", &kind.value);
  ReadNumber(value, "data_rack", &kind.data_rack);
  ReadNumber(value, "same_rack", &kind.same_rack);
  ReadNumber(value, "hot_rack", &kind.hot_rack);
  for (const Json::Value& burst : value["bursts"]) {
    kind.bursts.push_back(ReadBurst(burst));
  }
  return kind;
}

SlowShare ReadSlowShare(const Json::Value& value) {
  SlowShare share;
  ReadNumber(value, "share", &share.share);
  ReadNumber(value, "factor", &share.factor);
  return share;
}

}  // namespace

std::optional<Pattern> ReadPattern(const std::string& path,
                                   base::Failure* reason) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    *reason = {base::FailureCode::kMalformed, "can't read " + path};
    return std::nullopt;
  }
  const auto value = core::ReadJson(text.str(), reason);
  if (!value) {
    return std::nullopt;
  }
  if (!value->isObject() || !(*value)["kinds"].isArray()) {
    *reason = {base::FailureCode::kMissingField,
               path + ": the list of kinds is missing"};
    return std::nullopt;
  }
  Pattern pattern;
  ReadNumber(*value, "workers", &pattern.workers);
  ReadNumber(*value, "cores", &pattern.cores);
  ReadNumber(*value, "memory_mb", &pattern.memory_mb);
  ReadNumber(*value, "askers", &pattern.askers);
  ReadNumber(*value, "seconds", &pattern.seconds);
  ReadNumber(*value, "call_ms", &pattern.call_ms);
  for (const Json::Value& speed : (*value)["speeds"]) {
    pattern.speeds.push_back(ReadSlowShare(speed));
  }
  pattern.tail = ReadSlowShare((*value)["tail"]);
  const Json::Value& spells = (*value)["spells"];
  ReadNumber(spells, "per_s", &pattern.spells.per_s);
  ReadNumber(spells, "for", &pattern.spells.for_s);
  ReadNumber(spells, "factor", &pattern.spells.factor);
  ReadNumber(*value, "stop_timeout_ms", &pattern.stop_timeout_ms);
  ReadNumber(*value, "stop_ms", &pattern.stop_ms);
  ReadNumber(*value, "restore_ms", &pattern.restore_ms);
  ReadNumber(*value, "rack_size", &pattern.rack_size);
  ReadNumber(*value, "remote_factor", &pattern.remote_factor);
  ReadNumber(*value, "retries", &pattern.retries);
  pattern.organisations = ReadOrganisations((*value)["organisations"]);
  for (const Json::Value& kind : (*value)["kinds"]) {
    pattern.kinds.push_back(ReadKind(kind));
  }
  return pattern;
}

}  // namespace dotterelbarrow::bench
