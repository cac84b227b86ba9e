// Reads patterns.
#include "bench/experiment/pattern.h"

#include <fstream>
#include <sstream>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::bench {
namespace {

void Take(const Json::Value& value, const char* name, double* to) {
  if (value[name].isNumeric()) {
    *to = value[name].asDouble();
  }
}

void Take(const Json::Value& value, const char* name, int* to) {
  if (value[name].isInt()) {
    *to = value[name].asInt();
  }
}

Kind ReadKind(const Json::Value& value) {
  Kind kind;
  kind.name = value["name"].isString() ? value["name"].asString() : "";
  Take(value, "rate", &kind.jobs_per_s);
  Take(value, "priority", &kind.priority);
  Take(value, "slack", &kind.slack_factor);
  Take(value, "target_ms", &kind.target_ms);
  Take(value, "tasks", &kind.tasks);
  Take(value, "task_ms", &kind.task_ms);
  Take(value, "cores", &kind.cores);
  Take(value, "memory_mb", &kind.memory_mb);
  Take(value, "steps", &kind.steps);
  Take(value, "gang", &kind.gang);
  Take(value, "estimate_off", &kind.estimate_off);
  Take(value, "failing", &kind.failing);
  Take(value, "allowed", &kind.allowed);
  Take(value, "decision_ms", &kind.decision_ms);
  Take(value, "per_worker_ms", &kind.per_worker_ms);
  Take(value, "valid_ms", &kind.valid_ms);
  for (const Json::Value& burst : value["bursts"]) {
    Burst read;
    Take(burst, "at", &read.at_s);
    Take(burst, "for", &read.for_s);
    Take(burst, "times", &read.times);
    kind.bursts.push_back(read);
  }
  return kind;
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
    *reason = {base::FailureCode::kMissingField, path + ": no kinds"};
    return std::nullopt;
  }
  Pattern pattern;
  Take(*value, "workers", &pattern.workers);
  Take(*value, "cores", &pattern.cores);
  Take(*value, "memory_mb", &pattern.memory_mb);
  Take(*value, "askers", &pattern.askers);
  Take(*value, "seconds", &pattern.seconds);
  for (const Json::Value& kind : (*value)["kinds"]) {
    pattern.kinds.push_back(ReadKind(kind));
  }
  return pattern;
}

}  // namespace dotterelbarrow::bench
