// Parses run plans from task payloads.
#include "src/standins/backends/run_plan.h"

#include <json/json.h>

#include <memory>
#include <string>

namespace dotterelbarrow::standins {
namespace {

constexpr std::uint32_t kMaxRunMs = 24 * 60 * 60 * 1000;

// Returns the JSON object in `text`, or an empty object if it holds none.
Json::Value ParseObject(const std::string& text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  const char* end = text.data() + text.size();
  const bool parsed = reader->parse(text.data(), end, &value, nullptr);
  return parsed && value.isObject() ? value : Json::Value(Json::objectValue);
}

}  // namespace

RunPlan PlanOf(const core::TaskSpec& task) {
  RunPlan plan;
  if (task.kind != core::WorkKind::kService) {
    plan.run = task.expected_run;
  }
  const Json::Value payload = ParseObject(task.payload);
  const Json::Value& run_ms = payload["run_ms"];
  if (run_ms.isUInt() && run_ms.asUInt() <= kMaxRunMs) {
    plan.run = std::chrono::milliseconds(run_ms.asUInt());
  }
  const Json::Value& fail = payload["fail"];
  plan.fail = fail.isBool() && fail.asBool();
  const Json::Value& fail_times = payload["fail_times"];
  plan.fail_times = fail_times.isUInt() ? fail_times.asUInt() : 0;
  const Json::Value& key = payload["idempotency_key"];
  plan.idempotency_key =
      base::IdempotencyKey(key.isString() ? key.asString() : std::string());
  return plan;
}

}  // namespace dotterelbarrow::standins
