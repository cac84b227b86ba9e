// Answers questions about where a job would be placed.
#include "src/member/explain_page.h"

#include <utility>

#include "dotterelbarrow/core/codec.h"
#include "platform/job_api_json.h"

namespace dotterelbarrow::member {
namespace {

using core::scheduler::Explanation;
using core::scheduler::StepExplanation;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

Json::Int64 Milliseconds(base::Duration duration) {
  return static_cast<Json::Int64>(duration / std::chrono::milliseconds(1));
}

Json::Value ToJson(const StepExplanation& step) {
  Json::Value value(Json::objectValue);
  value["step"] = core::jobs::ToString(step.step);
  value["tasks"] = step.tasks;
  value["done"] = step.done;
  value["possibly_running"] = step.possibly_running;
  value["dependencies_done"] = step.is_unblocked;
  value["slack_ms"] = Milliseconds(step.slack);
  if (!step.waits_for.empty()) {
    value["waits_for"] = step.waits_for;
  }
  if (step.waits_since) {
    value["waits_for_ms"] = Milliseconds(*step.waits_since);
  }
  value["candidates"] = step.candidates;
  value["not_asked"] = step.not_asked;
  value["ruled_out"] = Json::Value(Json::arrayValue);
  for (const auto& [reason, workers] : step.ruled_out) {
    Json::Value row(Json::objectValue);
    row["reason"] = reason;
    row["workers"] = workers.count;
    row["example"] = workers.example.value();
    value["ruled_out"].append(std::move(row));
  }
  value["would_run_on"] = Json::Value(Json::arrayValue);
  for (const auto& choice : step.choices) {
    Json::Value row(Json::objectValue);
    row["worker"] = choice.worker.value();
    row["rack"] = choice.rack;
    row["tasks"] = choice.tasks;
    value["would_run_on"].append(std::move(row));
  }
  return value;
}

wire::HttpReply ErrorReply(int status, const std::string& reason) {
  return {.status = status, .body = platform::ErrorBody(reason)};
}

wire::HttpReply ExplainDescribedJob(const core::scheduler::Scheduler& scheduler,
                                    const wire::HttpRequest& request,
                                    base::TimePoint now) {
  const auto queue = request.query.find("queue");
  const auto organisation = request.query.find("organisation");
  if (queue == request.query.end() || organisation == request.query.end()) {
    return ErrorReply(kBadRequest, "queue and organisation are required");
  }
  base::Failure reason;
  auto spec = platform::ReadJobSpec(request.body, &reason);
  if (!spec) {
    return ErrorReply(kBadRequest, reason.detail);
  }
  return {.body = ExplanationBody(scheduler.ExplainSubmission(
              {core::jobs::JobKey(0), core::desired::QueueId(queue->second),
               base::OrganisationId(organisation->second), std::move(*spec)},
              now))};
}

}  // namespace

std::string ExplanationBody(const Explanation& explanation) {
  Json::Value value(Json::objectValue);
  if (!explanation.state.empty()) {
    value["state"] = explanation.state;
  }
  if (!explanation.refused.empty()) {
    value["refused"] = explanation.refused;
  }
  value["steps"] = Json::Value(Json::arrayValue);
  for (const StepExplanation& step : explanation.steps) {
    value["steps"].append(ToJson(step));
  }
  return core::WriteJson(value);
}

wire::HttpReply ExplainReply(const core::scheduler::Scheduler& scheduler,
                             const wire::HttpRequest& request,
                             base::TimePoint now) {
  if (request.method == wire::HttpMethod::kPost) {
    return ExplainDescribedJob(scheduler, request, now);
  }
  const auto key = core::jobs::ParseJobKey(request.path_suffix);
  if (!key) {
    return ErrorReply(kBadRequest, "expected a job id of 16 digits");
  }
  const auto explanation = scheduler.Explain(*key, now);
  return explanation ? wire::HttpReply{.body = ExplanationBody(*explanation)}
                     : ErrorReply(kNotFound, "unknown_job");
}

}  // namespace dotterelbarrow::member
