// Encodes and decodes summaries of run times as JSON.
#include "dotterelbarrow/core/scheduler/run_time_summary.h"

#include <json/json.h>

#include <array>
#include <cmath>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Moments = placement::QueueRunTimes::Moments;

constexpr int kVersion = 1;
constexpr double kThousandths = 1000;
// Limits of what can be restored: a factor of 20 in speed, and the weight of
// ten times as many runs as a worker ends in the time that is remembered.
constexpr double kMaxLogSlowness = 3;
constexpr double kMaxWeight = 4000;
// Logarithms of seconds, and their squares, of any plausible run time.
constexpr double kMaxMoment = 400;

constexpr std::array kMomentFields = {&Moments::weight,
                                      &Moments::estimate,
                                      &Moments::run_time,
                                      &Moments::estimate_squared,
                                      &Moments::run_time_squared,
                                      &Moments::product,
                                      &Moments::noise};

bool IsBetween(const Json::Value& value, double low, double high) {
  return value.isNumeric() && value.asDouble() >= low &&
         value.asDouble() <= high;
}

std::optional<RunTimeSummary::WorkerEntry> ReadWorker(
    const Json::Value& entry) {
  if (!entry.isArray() || entry.size() != 4 || !entry[0].isString() ||
      !entry[1].isInt64() ||
      !IsBetween(entry[2], -kMaxLogSlowness * kThousandths,
                 kMaxLogSlowness * kThousandths) ||
      !IsBetween(entry[3], 0, kMaxWeight)) {
    return std::nullopt;
  }
  return RunTimeSummary::WorkerEntry{entry[1].asInt64(),
                                     entry[2].asDouble() / kThousandths,
                                     entry[3].asDouble()};
}

std::optional<Moments> ReadQueue(const Json::Value& entry) {
  if (!entry.isArray() || entry.size() != kMomentFields.size() + 1 ||
      !entry[0].isString()) {
    return std::nullopt;
  }
  Moments moments;
  for (Json::ArrayIndex i = 0; i < kMomentFields.size(); ++i) {
    if (!IsBetween(entry[i + 1], -kMaxMoment, kMaxMoment)) {
      return std::nullopt;
    }
    moments.*kMomentFields[i] = entry[i + 1].asDouble();
  }
  const bool is_valid = moments.weight >= 0 && moments.noise >= 0;
  return is_valid ? std::optional(moments) : std::nullopt;
}

}  // namespace

std::string EncodeRunTimeSummary(const RunTimeSummary& summary) {
  Json::Value value(Json::objectValue);
  value["version"] = kVersion;
  value["known"] = static_cast<Json::UInt64>(summary.known_workers);
  Json::Value& workers = value["workers"] = Json::arrayValue;
  for (const auto& [id, worker] : summary.workers) {
    Json::Value entry(Json::arrayValue);
    entry.append(id.value());
    entry.append(static_cast<Json::Int64>(worker.born_ms));
    entry.append(static_cast<Json::Int64>(
        std::llround(worker.log_slowness * kThousandths)));
    entry.append(static_cast<Json::Int64>(std::llround(worker.weight)));
    workers.append(std::move(entry));
  }
  Json::Value& queues = value["queues"] = Json::arrayValue;
  for (const auto& [id, moments] : summary.queues) {
    Json::Value entry(Json::arrayValue);
    entry.append(id.value());
    for (const auto field : kMomentFields) {
      entry.append(std::round(moments.*field * kThousandths) / kThousandths);
    }
    queues.append(std::move(entry));
  }
  return WriteJson(value);
}

std::optional<RunTimeSummary> DecodeRunTimeSummary(const std::string& text,
                                                   base::Failure* reason) {
  const auto value = ReadJson(text, reason);
  if (!value) {
    return std::nullopt;
  }
  const Json::Value& fields = *value;
  if (!fields.isObject() || !fields["version"].isInt() ||
      fields["version"].asInt() != kVersion || !fields["known"].isUInt() ||
      !fields["workers"].isArray() || !fields["queues"].isArray()) {
    *reason = {base::FailureCode::kMalformed,
               "run times: not a summary of this version"};
    return std::nullopt;
  }
  RunTimeSummary summary;
  summary.known_workers = fields["known"].asUInt();
  for (const Json::Value& entry : fields["workers"]) {
    const auto worker = ReadWorker(entry);
    if (!worker) {
      *reason = {base::FailureCode::kMalformed,
                 "run times: a worker's entry is malformed"};
      return std::nullopt;
    }
    summary.workers[base::BackendId(entry[0].asString())] = *worker;
  }
  for (const Json::Value& entry : fields["queues"]) {
    const auto moments = ReadQueue(entry);
    if (!moments) {
      *reason = {base::FailureCode::kMalformed,
                 "run times: a queue's entry is malformed"};
      return std::nullopt;
    }
    summary.queues[desired::QueueId(entry[0].asString())] = *moments;
  }
  return summary;
}

}  // namespace dotterelbarrow::core::scheduler
