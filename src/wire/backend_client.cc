// Sends syncs and runs over HTTP and translates their outcomes for the core.
#include "dotterelbarrow/wire/backend_client.h"

#include <optional>
#include <utility>
#include <variant>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/wire/codec.h"

namespace dotterelbarrow::wire {
namespace {

constexpr int kOk = 200;

// Returns the decoded body of an answer with status 200, or nullopt if there is
// no such answer or its body is invalid.
template <typename Message>
std::optional<Message> DecodeAnswer(const HttpResult& result) {
  if (result.outcome != HttpOutcome::kAnswered || result.status != kOk) {
    return std::nullopt;
  }
  base::Failure reason;
  return Decode<Message>(result.body, Members::kAny, &reason);
}

const char* FailureLabelOf(HttpOutcome outcome) {
  switch (outcome) {
    case HttpOutcome::kAnswered:
      return "bad_answer";
    case HttpOutcome::kNotSent:
      return "not_sent";
    case HttpOutcome::kLost:
      return "lost";
  }
  return "lost";
}

// Returns whether a runner may answer a run command with `status`. The other
// statuses are set only by this process.
bool IsRunnerStatus(core::RunStatus status) {
  return status == core::RunStatus::kDone ||
         status == core::RunStatus::kFailed ||
         status == core::RunStatus::kRefused;
}

}  // namespace

BackendClient::BackendClient(HttpClient* client, base::Duration sync_timeout,
                             Deliver deliver, core::Counters* counters)
    : client_(client),
      sync_timeout_(sync_timeout),
      deliver_(std::move(deliver)),
      counters_(counters) {}

void BackendClient::AddReportRoute(HttpServer* server) {
  server->Route(HttpMethod::kPost, "/v1/backend-report",
                [this, server](const HttpRequest& post) {
                  base::Failure reason;
                  auto report = Decode<core::BackendReport>(
                      post.body, Members::kAny, &reason);
                  server->Reply(post.exchange,
                                {.status = report ? 204 : 400, .body = {}});
                  if (!report) {
                    counters_->Increment("backend_reports_refused",
                                         ToString(reason.code));
                    return;
                  }
                  deliver_(*std::move(report));
                });
}

void BackendClient::Send(const core::ToBackend& message) {
  std::visit(base::Overloaded{[&](const core::BackendSync& sync) {
                                SendSync(message.address, sync);
                              },
                              [&](const core::RunCommand& command) {
                                SendRun(message.address, command);
                              }},
             message.command);
}

void BackendClient::SendSync(const std::string& address,
                             const core::BackendSync& sync) {
  client_->Call({.address = address,
                 .uri = "/v1/sync",
                 .body = Encode(sync, Defaults::kOmitted),
                 .timeout = sync_timeout_},
                [this, backend = sync.backend](const HttpResult& result) {
                  OnSynced(backend, result);
                });
}

void BackendClient::SendRun(const std::string& address,
                            const core::RunCommand& command) {
  core::RunCommand without_payload = command;
  without_payload.task.payload.clear();
  client_->Call({.address = address,
                 .uri = "/v1/run",
                 .body = Encode(command, Defaults::kOmitted),
                 .timeout = command.time_left},
                [this, command = std::move(without_payload)](
                    const HttpResult& result) { OnRun(command, result); });
}

void BackendClient::OnSynced(const base::BackendId& backend,
                             const HttpResult& result) {
  auto report = DecodeAnswer<core::BackendReport>(result);
  if (report && report->backend == backend) {
    deliver_(*std::move(report));
    return;
  }
  counters_->Increment("backend_syncs_failed", FailureLabelOf(result.outcome));
  deliver_(core::BackendUnreachable{backend});
}

void BackendClient::OnRun(const core::RunCommand& command,
                          const HttpResult& result) {
  auto answer = DecodeAnswer<core::RunResult>(result);
  if (answer && answer->backend == command.backend &&
      answer->call == command.call && IsRunnerStatus(answer->status)) {
    deliver_(*std::move(answer));
    return;
  }
  counters_->Increment("backend_runs_failed", FailureLabelOf(result.outcome));
  const bool sent = result.outcome != HttpOutcome::kNotSent;
  deliver_(
      core::RunResult{command.backend,
                      command.call,
                      sent ? core::RunStatus::kLost : core::RunStatus::kNotSent,
                      {}});
}

}  // namespace dotterelbarrow::wire
