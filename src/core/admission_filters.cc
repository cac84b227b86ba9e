// Shutdown, shape, service and identity checks.
#include "src/core/admission_filters.h"

#include <chrono>
#include <cstdint>
#include <string>

#include "src/core/refusal.h"

namespace dotterelbarrow::core {
namespace {

constexpr std::size_t kMaxIdChars = 128;
constexpr std::size_t kMaxPayloadBytes = 262'144;
constexpr std::uint32_t kMaxTaskCount = 10000;
constexpr std::int64_t kMaxDemand = 1'000'000'000;
constexpr base::Duration kMaxDuration = std::chrono::hours(24 * 366);
constexpr base::Duration kDefaultDeadline = std::chrono::seconds(10);
constexpr base::Duration kShutdownRetry = std::chrono::milliseconds(100);

std::optional<Answer> CheckId(const WorkRequest& request, const char* name,
                              const std::string& value) {
  if (value.size() <= kMaxIdChars) {
    return std::nullopt;
  }
  return MakeRefusal(
      request.id, Reason::kMalformed,
      std::string(name) + " has " + std::to_string(value.size()) +
          " characters; at most " + std::to_string(kMaxIdChars) + " are taken");
}

Answer InvalidSize(const WorkRequest& request, const char* field,
                   std::int64_t found, const std::string& expected) {
  return MakeRefusal(request.id, Reason::kInvalidSize,
                     std::string(field) + " is " + std::to_string(found) +
                         "; hand it in again with " + expected);
}

std::optional<Answer> CheckDemand(const WorkRequest& request, const char* field,
                                  std::int64_t value) {
  if (value >= 0 && value < kMaxDemand) {
    return std::nullopt;
  }
  return InvalidSize(request, field, value,
                     "0 to " + std::to_string(kMaxDemand - 1));
}

std::optional<Answer> CheckDuration(const WorkRequest& request,
                                    const char* field, base::Duration value) {
  if (value >= base::Duration(0) && value <= kMaxDuration) {
    return std::nullopt;
  }
  return InvalidSize(
      request, field, value.count(),
      "0 to " + std::to_string(kMaxDuration.count()) + " microseconds");
}

std::optional<Answer> CheckIds(const WorkRequest& request) {
  if (request.id.empty()) {
    return MakeRefusal(request.id, Reason::kMalformed,
                       "the request id is empty; give each request an id of "
                       "its own");
  }
  if (auto refusal = CheckId(request, "the request id", request.id.value())) {
    return refusal;
  }
  return CheckId(request, "the idempotency key",
                 request.idempotency_key.value());
}

std::optional<Answer> CheckSizes(const WorkRequest& request) {
  if (request.task_count < 1 || request.task_count > kMaxTaskCount) {
    return InvalidSize(request, "task_count", request.task_count,
                       "1 to " + std::to_string(kMaxTaskCount));
  }
  const base::Resources& demand = request.demand;
  if (auto refusal =
          CheckDemand(request, "cpu_millicores", demand.cpu.value())) {
    return refusal;
  }
  if (auto refusal =
          CheckDemand(request, "memory_mib", demand.memory.value())) {
    return refusal;
  }
  if (auto refusal =
          CheckDemand(request, "accelerators", demand.accelerators.value())) {
    return refusal;
  }
  if (auto refusal = CheckDemand(request, "slots", demand.slots.value())) {
    return refusal;
  }
  if (auto refusal =
          CheckDuration(request, "expected_run", request.expected_run)) {
    return refusal;
  }
  return CheckDuration(request, "deadline", request.deadline);
}

std::optional<Answer> CompleteInteractive(WorkRequest* request) {
  if (request->demand.slots == base::Slots(0)) {
    request->demand.slots = base::Slots(1);
  }
  if (request->deadline == base::Duration(0)) {
    request->deadline = kDefaultDeadline;
  }
  if (request->demand.slots != base::Slots(1)) {
    return InvalidSize(*request, "slots", request->demand.slots.value(),
                       "1 for an interactive request");
  }
  if (request->task_count != 1) {
    return InvalidSize(*request, "task_count", request->task_count,
                       "1 for an interactive request");
  }
  return std::nullopt;
}

std::optional<Answer> CheckJobDemand(const WorkRequest& request) {
  if (request.demand != base::Resources()) {
    return std::nullopt;
  }
  return MakeRefusal(request.id, Reason::kInvalidSize,
                     "a task demands nothing; state what each task of the job "
                     "needs");
}

std::optional<Answer> CheckPayload(const WorkRequest& request) {
  if (request.payload.size() <= kMaxPayloadBytes) {
    return std::nullopt;
  }
  return MakeRefusal(
      request.id, Reason::kTooLarge,
      "the payload has " + std::to_string(request.payload.size()) +
          " bytes; at most " + std::to_string(kMaxPayloadBytes) + " are taken");
}

Answer Unconfirmed(const WorkRequest& request, const ConfigView& config) {
  return MakeRefusal(request.id, Reason::kConfigUnconfirmed,
                     "this entry host can't confirm its configuration now; "
                     "hand the request in again",
                     config.retry_after);
}

}  // namespace

std::optional<Answer> ShutdownFilter::Apply(WorkRequest* request,
                                            base::TimePoint /*now*/) {
  if (!*shutting_down_) {
    return std::nullopt;
  }
  return MakeRefusal(request->id, Reason::kShuttingDown,
                     "this entry host is shutting down; hand the request in "
                     "again, another one will take it",
                     kShutdownRetry);
}

std::optional<Answer> ValidationFilter::Apply(WorkRequest* request,
                                              base::TimePoint /*now*/) {
  if (auto refusal = CheckIds(*request)) {
    return refusal;
  }
  if (auto refusal = CheckSizes(*request)) {
    return refusal;
  }
  if (auto refusal = CheckPayload(*request)) {
    return refusal;
  }
  if (request->kind == WorkKind::kInteractive) {
    return CompleteInteractive(request);
  }
  return CheckJobDemand(*request);
}

std::optional<Answer> ServiceFilter::Apply(WorkRequest* request,
                                           base::TimePoint now) {
  if (config_.catalogue().FindService(request->service) != nullptr) {
    return std::nullopt;
  }
  // The service may have been created by a version that isn't in force here
  // yet.
  if (config_.is_behind() || !config_.is_confirmed(now)) {
    return Unconfirmed(*request, config_);
  }
  return MakeRefusal(request->id, Reason::kUnknownService,
                     "no service is named '" + request->service.value() +
                         "'; name one that a ticket has created");
}

std::optional<Answer> IdentityFilter::Apply(WorkRequest* request,
                                            base::TimePoint now) {
  const config::Catalogue& catalogue = config_.catalogue();
  const config::Service* service = catalogue.FindService(request->service);
  request->team = base::TeamId();
  if (service->open) {
    request->team = service->open_team;
    return std::nullopt;
  }
  if (!config_.is_confirmed(now)) {
    return Unconfirmed(*request, config_);
  }
  if (request->key.empty()) {
    return MakeRefusal(request->id, Reason::kMissingKey,
                       "the service '" + request->service.value() +
                           "' isn't open to all and no key was shown; send "
                           "the team's key");
  }
  const std::optional<base::TeamId> team =
      catalogue.FindTeamByKey(request->key);
  if (!team && config_.is_behind()) {
    return Unconfirmed(*request, config_);
  }
  if (!team) {
    return MakeRefusal(request->id, Reason::kUnknownKey,
                       "the key shown isn't in force; ask an operator for a "
                       "current one");
  }
  if (!service->teams.empty() && !service->teams.contains(*team)) {
    return MakeRefusal(request->id, Reason::kWrongTeam,
                       "team '" + team->value() + "' may not use service '" +
                           request->service.value() +
                           "'; show the key of a team that may");
  }
  request->team = *team;
  return std::nullopt;
}

}  // namespace dotterelbarrow::core
