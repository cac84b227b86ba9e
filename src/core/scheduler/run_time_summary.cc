// Encodes and decodes summaries of run times as JSON.
#include "dotterelbarrow/core/scheduler/run_time_summary.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Moments = placement::QueueRunTimes::Moments;

constexpr int kVersion = 1;
constexpr double kThousandths = 1000;
// Limits of what is written and restored. A model can exceed each of them:
// weights grow with the number of runs and steps per second, slowness and
// logarithms with run times that differ by orders of magnitude. Values beyond a
// limit are written as the limit, because readers, those of earlier versions
// included, refuse them.
// A factor of 20 in speed.
constexpr double kMaxLogSlowness = 3;
// Far more than the weight of the assumption that a worker is a typical one.
constexpr double kMaxWeight = 4000;
// Logarithms of seconds, and their squares, of any plausible run time; also
// for the weight of a queue, a hundred times that of the assumption that
// estimates are right.
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

// Returns nullopt if the model has lost the value.
std::optional<Json::Value> WorkerToJson(
    const base::BackendId& id, const RunTimeSummary::WorkerEntry& worker) {
  if (!std::isfinite(worker.log_slowness) || !std::isfinite(worker.weight)) {
    return std::nullopt;
  }
  Json::Value entry(Json::arrayValue);
  entry.append(id.value());
  entry.append(static_cast<Json::Int64>(worker.born_ms));
  entry.append(static_cast<Json::Int64>(std::llround(
      std::clamp(worker.log_slowness, -kMaxLogSlowness, kMaxLogSlowness) *
      kThousandths)));
  entry.append(static_cast<Json::Int64>(
      std::llround(std::clamp(worker.weight, 0.0, kMaxWeight))));
  return entry;
}

// Returns nullopt if the model has lost a value.
std::optional<Json::Value> QueueToJson(const desired::QueueId& id,
                                       const Moments& moments) {
  Json::Value entry(Json::arrayValue);
  entry.append(id.value());
  for (const auto field : kMomentFields) {
    const double value = moments.*field;
    if (!std::isfinite(value)) {
      return std::nullopt;
    }
    const bool is_signed =
        field != &Moments::weight && field != &Moments::noise;
    const double limited =
        std::clamp(value, is_signed ? -kMaxMoment : 0.0, kMaxMoment);
    entry.append(std::round(limited * kThousandths) / kThousandths);
  }
  return entry;
}

}  // namespace

std::string EncodeRunTimeSummary(const RunTimeSummary& summary) {
  Json::Value value(Json::objectValue);
  value["version"] = kVersion;
  value["known"] = static_cast<Json::UInt64>(summary.known_workers);
  Json::Value& workers = value["workers"] = Json::arrayValue;
  for (const auto& [id, worker] : summary.workers) {
    if (auto entry = WorkerToJson(id, worker)) {
      workers.append(std::move(*entry));
    }
  }
  Json::Value& queues = value["queues"] = Json::arrayValue;
  for (const auto& [id, moments] : summary.queues) {
    if (auto entry = QueueToJson(id, moments)) {
      queues.append(std::move(*entry));
    }
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
      summary.unreadable_entries.push_back(base::Failure{
          base::FailureCode::kMalformed,
          "run times: a worker's entry is malformed: " + WriteJson(entry)});
      continue;
    }
    summary.workers[base::BackendId(entry[0].asString())] = *worker;
  }
  for (const Json::Value& entry : fields["queues"]) {
    const auto moments = ReadQueue(entry);
    if (!moments) {
      summary.unreadable_entries.push_back(base::Failure{
          base::FailureCode::kMalformed,
          "run times: a queue's entry is malformed: " + WriteJson(entry)});
      continue;
    }
    summary.queues[desired::QueueId(entry[0].asString())] = *moments;
  }
  return summary;
}

}  // namespace dotterelbarrow::core::scheduler
