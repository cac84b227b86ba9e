// Translates HTTP requests into calls to the owner, and its answers into
// replies.
#include "src/member/job_api.h"

#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/overloaded.h"
#include "platform/job_api_json.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// A change of owner takes two to three seconds, but another host may know the
// next owner sooner.
constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
// How long submissions in a pause are collected for one question to the owner.
// Callers retry refused jobs up to a thousand times a second in all, and each
// host asks at most this often.
constexpr base::Duration kPausedCheckDelay = std::chrono::milliseconds(50);
// A submission is kept up to this many times until it is answered: here, as a
// call to the owner, and as the text of that call.
constexpr std::size_t kSubmissionCopies = 3;
// How much of a refused call's path is logged: more than a job id.
constexpr std::size_t kMaxLoggedPath = 64;
// How many refused calls are logged in a second, so that one client's can't
// displace all other lines.
constexpr int kMaxRefusalsLogged = 100;
// Another host may be able to serve the call now.
constexpr base::Duration kRetryElsewhereNow{0};

// Returns the organisation whose key the call carries; empty for a call without
// a key.
base::OrganisationId OrganisationOf(const core::admission::Admitted& admitted) {
  return admitted.organisation == nullptr ? base::OrganisationId()
                                          : admitted.organisation->id;
}

}  // namespace

JobApi::JobApi(const wire::EventLoop& loop, wire::HttpServer* server,
               const DesiredWatch* desired, core::admission::Gate gate,
               core::scheduler::Telemetry telemetry, FindReach find_reach,
               ForwardToOwner forward_to_owner)
    : server_(server),
      desired_(desired),
      gate_(gate),
      telemetry_(telemetry),
      find_reach_(std::move(find_reach)),
      forward_to_owner_(std::move(forward_to_owner)),
      paused_timer_(loop, [this] { CheckPaused(); }) {
  for (const wire::HttpMethod method :
       {wire::HttpMethod::kGet, wire::HttpMethod::kPost, wire::HttpMethod::kPut,
        wire::HttpMethod::kDelete}) {
    server->Route(method, "/", [this](const wire::HttpRequest& request) {
      OnCall(request);
    });
  }
}

void JobApi::OnCall(const wire::HttpRequest& request) {
  if (find_reach_() == core::admission::Reachability::kIsolated) {
    LogRefusedCall(request, "cut_off");
    Refuse(request.exchange, "cut_off", kRetryElsewhereNow);
    return;
  }
  const core::admission::GateDecision decision =
      gate_.Decide({.desired = desired_->current().get(),
                    .confirmation_age = desired_->ConfirmationAge(),
                    .host = request.host,
                    .path = request.path,
                    .key = request.bearer});
  std::visit(
      base::Overloaded{
          [&](const core::admission::Admitted& admitted) {
            OnAdmitted(request, admitted);
          },
          [&](const core::admission::NotConfirmed&) {
            LogRefusedCall(request, "desired_not_confirmed");
            Refuse(request.exchange, "desired_not_confirmed", kRetryAfter);
          },
          [&](const core::admission::NoSuchQueue&) {
            LogRefusedCall(request, "no_such_queue");
            telemetry_.counters->Increment("calls_refused", "no_such_queue");
            Reply(request.exchange, kNotFound,
                  platform::ErrorBody("no_such_queue"));
          },
          [&](const core::admission::UnknownKey&) {
            LogRefusedCall(request, "unknown_key");
            telemetry_.counters->Increment("calls_refused", "unknown_key");
            Reply(request.exchange, kUnauthorized,
                  platform::ErrorBody("unknown_key"));
          }},
      decision);
}

void JobApi::OnAdmitted(const wire::HttpRequest& request,
                        const core::admission::Admitted& admitted) {
  if (admitted.rest.empty()) {
    if (request.method == wire::HttpMethod::kGet) {
      CountPending(request, admitted.queue->id);
    } else {
      Reply(request.exchange, kMethodNotAllowed,
            platform::ErrorBody("method_not_allowed"));
    }
    return;
  }
  const auto key = core::jobs::ParseJobKey(admitted.rest);
  if (!key) {
    const bool is_submission = request.method == wire::HttpMethod::kPost;
    Reply(request.exchange, is_submission ? kBadRequest : kGone,
          platform::ErrorBody("not_a_job_id"));
    return;
  }
  const base::OrganisationId organisation = OrganisationOf(admitted);
  switch (request.method) {
    case wire::HttpMethod::kPost:
      Submit(request, admitted, *key);
      break;
    case wire::HttpMethod::kGet:
      QueryState(request, organisation, *key);
      break;
    case wire::HttpMethod::kDelete:
      Cancel(request, organisation, *key);
      break;
    case wire::HttpMethod::kPut:
      Reply(request.exchange, kMethodNotAllowed,
            platform::ErrorBody("method_not_allowed"));
      break;
  }
}

void JobApi::Submit(const wire::HttpRequest& request,
                    const core::admission::Admitted& admitted,
                    core::jobs::JobKey key) {
  base::Failure reason;
  auto spec = platform::ReadJobSpec(request.body, &reason);
  if (!spec) {
    telemetry_.counters->Increment("calls_refused", "bad_job");
    Reply(request.exchange, kBadRequest, platform::ErrorBody(reason.detail));
    return;
  }
  if (!server_->Reserve(request.exchange,
                        kSubmissionCopies * spec->ApproximateBytes())) {
    telemetry_.counters->Increment("calls_refused", "request_memory");
    return;
  }
  const base::OrganisationId organisation = OrganisationOf(admitted);
  core::scheduler::Submission job{key, admitted.queue->id, organisation,
                                  std::move(*spec)};
  const auto* pause = pauses_.Find(organisation, admitted.queue->id, Now());
  if (pause == nullptr) {
    Forward(request.exchange, std::move(job));
    return;
  }
  if (paused_.empty()) {
    paused_timer_.StartOnce(kPausedCheckDelay);
  }
  paused_[organisation].push_back(
      {request.exchange, std::move(job), pause->reason, pause->retry_after});
}

void JobApi::Forward(wire::ExchangeId exchange,
                     core::scheduler::Submission job) {
  const Submission submission{job.key, job.queue, job.organisation};
  forward_to_owner_(submission.organisation, SubmitCall{std::move(job)},
                    [this, exchange, submission](const OwnerAnswer& answer) {
                      OnSubmitAnswer(exchange, submission, answer);
                    });
}

void JobApi::CheckPaused() {
  for (auto& [organisation, submissions] : std::exchange(paused_, {})) {
    // Shared because callbacks are copied.
    const auto paused =
        std::make_shared<const std::vector<Paused>>(std::move(submissions));
    KnownCall question;
    for (const Paused& one : *paused) {
      question.jobs.push_back(one.job.key);
    }
    forward_to_owner_(
        organisation, question, [this, paused](const OwnerAnswer& answer) {
          const auto* known = std::get_if<KnownAnswer>(&answer);
          for (const Paused& one : *paused) {
            // An owner that can't say decides about the submission itself.
            if (known == nullptr || known->jobs.contains(one.job.key)) {
              telemetry_.counters->Increment("calls_in_pause", "forwarded");
              Forward(one.exchange, one.job);
              continue;
            }
            LogAnswer({one.job.key, one.job.queue, one.job.organisation},
                      Refused{one.reason, one.retry_after}, "host");
            telemetry_.counters->Increment("calls_refused", "in_pause");
            Refuse(one.exchange, one.reason.c_str(), one.retry_after);
          }
        });
  }
}

void JobApi::OnSubmitAnswer(wire::ExchangeId exchange,
                            const Submission& submission,
                            const OwnerAnswer& answer) {
  LogAnswer(submission, answer, "owner");
  if (std::holds_alternative<Accepted>(answer)) {
    Reply(exchange, kOk, "{}");
  } else if (const auto* refused = std::get_if<Refused>(&answer)) {
    if (refused->pause > base::Duration(0)) {
      pauses_.Begin(
          submission.organisation, submission.queue,
          {refused->reason, refused->retry_after, Now() + refused->pause});
    }
    Refuse(exchange, refused->reason.c_str(), refused->retry_after);
  } else if (std::holds_alternative<NoOwner>(answer)) {
    Refuse(exchange, "no_owner", kRetryAfter);
  } else {
    telemetry_.counters->Increment("calls_refused", "outcome_unknown");
    Reply(exchange, kGatewayTimeout, platform::ErrorBody("outcome_unknown"));
  }
}

void JobApi::LogAnswer(const Submission& submission, const OwnerAnswer& answer,
                       const char* decided_by) {
  telemetry_.log->Write("submission_answered",
                        {{"job", core::jobs::ToString(submission.key)},
                         {"queue", submission.queue.value()},
                         {"organisation", submission.organisation.value()},
                         {"answer", NameOf(answer)},
                         {"reason", ReasonOf(answer)},
                         {"decided_by", decided_by}});
}

void JobApi::QueryState(const wire::HttpRequest& request,
                        const base::OrganisationId& organisation,
                        core::jobs::JobKey key) {
  forward_to_owner_(
      organisation, StateCall{key},
      [this, exchange = request.exchange](const OwnerAnswer& answer) {
        if (const auto* state = std::get_if<JobStateAnswer>(&answer)) {
          Reply(exchange, kOk, platform::StateBody(state->state));
        } else if (std::holds_alternative<UnknownJob>(answer)) {
          telemetry_.counters->Increment("calls_refused", "unknown_job");
          Reply(exchange, kGone, platform::ErrorBody("unknown_job"));
        } else {
          Refuse(exchange, "no_owner", kRetryAfter);
        }
      });
}

void JobApi::Cancel(const wire::HttpRequest& request,
                    const base::OrganisationId& organisation,
                    core::jobs::JobKey key) {
  forward_to_owner_(
      organisation, CancelCall{key},
      [this, exchange = request.exchange, key](const OwnerAnswer& answer) {
        telemetry_.log->Write(
            "cancel_answered",
            {{"job", core::jobs::ToString(key)}, {"answer", NameOf(answer)}});
        if (std::holds_alternative<Cancelled>(answer)) {
          Reply(exchange, kOk, "{}");
        } else if (std::holds_alternative<UnknownJob>(answer)) {
          Reply(exchange, kGone, platform::ErrorBody("unknown_job"));
        } else if (const auto* refused = std::get_if<Refused>(&answer)) {
          Refuse(exchange, refused->reason.c_str(), refused->retry_after);
        } else if (std::holds_alternative<NoOwner>(answer)) {
          Refuse(exchange, "no_owner", kRetryAfter);
        } else {
          Reply(exchange, kGatewayTimeout,
                platform::ErrorBody("outcome_unknown"));
        }
      });
}

void JobApi::CountPending(const wire::HttpRequest& request,
                          const core::desired::QueueId& queue) {
  forward_to_owner_(
      base::OrganisationId(), PendingCall{queue},
      [this, exchange = request.exchange](const OwnerAnswer& answer) {
        if (const auto* pending = std::get_if<PendingAnswer>(&answer)) {
          Reply(exchange, kOk, platform::PendingBody(pending->jobs));
        } else {
          Refuse(exchange, "no_owner", kRetryAfter);
        }
      });
}

void JobApi::LogRefusedCall(const wire::HttpRequest& request,
                            const char* reason) {
  const base::TimePoint now = Now();
  if (now - refusals_logged_since_ >= std::chrono::seconds(1)) {
    refusals_logged_since_ = now;
    refusals_logged_ = 0;
  }
  if (++refusals_logged_ > kMaxRefusalsLogged) {
    telemetry_.counters->Increment("log_lines_left_out", "call_turned_away");
    return;
  }
  const auto& desired = desired_->current();
  const auto age = desired_->ConfirmationAge();
  const std::string rest =
      request.path.substr(request.path.rfind('/') + 1, kMaxLoggedPath);
  telemetry_.log->Write(
      "call_turned_away",
      {{"job", rest},
       {"reason", reason},
       {"config", desired == nullptr
                      ? 0
                      : static_cast<std::int64_t>(desired->version().value())},
       {"confirmed_ms_ago",
        age ? *age / std::chrono::milliseconds(1) : std::int64_t{-1}}});
}

void JobApi::Reply(wire::ExchangeId exchange, int status, std::string body) {
  server_->Reply(exchange, {.status = status, .body = std::move(body)});
}

void JobApi::Refuse(wire::ExchangeId exchange, const char* reason,
                    base::Duration retry_after) {
  telemetry_.counters->Increment("calls_refused", reason);
  server_->Reply(exchange, {.status = kUnavailable,
                            .body = platform::ErrorBody(reason),
                            .retry_after = retry_after});
}

}  // namespace dotterelbarrow::member
