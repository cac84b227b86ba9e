// The routes for callers and operators, and the mapping from answers to HTTP
// status codes.
#include "dotterelbarrow/wire/caller_api.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "dotterelbarrow/config/ticket.h"
#include "dotterelbarrow/wire/codec.h"

namespace dotterelbarrow::wire {
namespace {

using core::Outcome;
using core::Reason;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// The least Retry-After of a 503 reply, also used where the core sets none.
constexpr base::Duration kMinRetryAfter = std::chrono::seconds(1);

// A token is the exchange's id times this number, plus the index of the
// audience. So tokens of different audiences never collide.
constexpr std::uint64_t kAudienceCount = 2;

ExchangeId ExchangeOf(core::CallerToken token) {
  return ExchangeId(token.value() / kAudienceCount);
}

int HttpStatusOfRefusal(Reason reason) {
  switch (reason) {
    case Reason::kMalformed:
    case Reason::kInvalidSize:
    case Reason::kUnknownKind:
      return kBadRequest;
    case Reason::kMissingKey:
    case Reason::kUnknownKey:
      return kUnauthorized;
    case Reason::kWrongTeam:
      return kForbidden;
    case Reason::kUnknownService:
    case Reason::kNotFound:
      return kNotFound;
    case Reason::kDuplicateId:
    case Reason::kDuplicateInProgress:
      return kConflict;
    case Reason::kTooLarge:
      return kTooLarge;
    case Reason::kNeverFits:
      return kUnprocessable;
    case Reason::kQueueFull:
    case Reason::kOverLimit:
      return kTooManyRequests;
    case Reason::kNone:
    case Reason::kConfigUnconfirmed:
    case Reason::kNoBackend:
    case Reason::kDeadlineUnreachable:
    case Reason::kDeadlinePassed:
    case Reason::kStoreUnavailable:
    case Reason::kManagerUnavailable:
    case Reason::kShuttingDown:
    case Reason::kBackendRefused:
    case Reason::kConnectionLost:
    case Reason::kTaskFailed:
    case Reason::kRetriesExhausted:
    case Reason::kFailedOnManyBackends:
    case Reason::kCancelled:
      return kUnavailable;
  }
  return kUnavailable;
}

// Returns the reason to give to the sender of a request that failed to decode
// with `code`.
Reason ReasonOfDecodeFailure(base::FailureCode code) {
  switch (code) {
    case base::FailureCode::kOutOfRange:
      return Reason::kInvalidSize;
    case base::FailureCode::kUnknownValue:
      return Reason::kUnknownKind;
    default:
      return Reason::kMalformed;
  }
}

HttpReply ReplyOf(int status, std::string body, base::Duration retry_after) {
  HttpReply reply{.status = status, .body = std::move(body)};
  reply.retry_after = retry_after;
  if (status == kUnavailable) {
    reply.retry_after = std::max(retry_after, kMinRetryAfter);
  }
  return reply;
}

}  // namespace

int HttpStatusOf(const core::Answer& answer) {
  switch (answer.outcome) {
    case Outcome::kDone:
    case Outcome::kFailed:
    case Outcome::kRunning:
    case Outcome::kCancelled:
      return kOk;
    case Outcome::kAccepted:
      return kAccepted;
    case Outcome::kUnknown:
      return kGatewayTimeout;
    case Outcome::kNotRun:
      return HttpStatusOfRefusal(answer.reason);
  }
  return kGatewayTimeout;
}

int HttpStatusOf(core::TicketStatus status) {
  switch (status) {
    case core::TicketStatus::kAccepted:
    case core::TicketStatus::kAlreadyAccepted:
      return kOk;
    case core::TicketStatus::kOvertaken:
    case core::TicketStatus::kNumberTaken:
      return kConflict;
    case core::TicketStatus::kInvalid:
      return kBadRequest;
    case core::TicketStatus::kUnavailable:
      return kUnavailable;
    case core::TicketStatus::kUnknown:
      return kGatewayTimeout;
  }
  return kGatewayTimeout;
}

CallerApi::CallerApi(HttpServer* server, Audience audience,
                     std::size_t max_body_bytes, Deliver deliver,
                     core::Counters* counters)
    : server_(server),
      audience_(audience),
      max_body_bytes_(max_body_bytes),
      deliver_(std::move(deliver)),
      counters_(counters) {
  using Verb = core::CallerJobCommand::Verb;
  server->Route(HttpMethod::kPost, "/v1/requests",
                [this](const HttpRequest& post) { OnRequest(post); });
  server->Route(HttpMethod::kGet, "/v1/jobs/", [this](const HttpRequest& get) {
    OnJobCommand(get, Verb::kStatus);
  });
  server->Route(HttpMethod::kDelete, "/v1/jobs/", [this](const HttpRequest& r) {
    OnJobCommand(r, Verb::kCancel);
  });
  if (audience == Audience::kCallersAndOperators) {
    server->Route(HttpMethod::kPost, "/v1/tickets",
                  [this](const HttpRequest& post) { OnTicket(post); });
  }
}

core::CallerToken CallerApi::TokenOf(ExchangeId exchange) const {
  const auto audience_index = static_cast<std::uint64_t>(audience_);
  return core::CallerToken(exchange.value() * kAudienceCount + audience_index);
}

bool CallerApi::Owns(core::CallerToken token) const {
  return token.value() % kAudienceCount ==
         static_cast<std::uint64_t>(audience_);
}

void CallerApi::Send(const core::CallerAnswer& answer) {
  server_->Reply(ExchangeOf(answer.token),
                 ReplyOf(HttpStatusOf(answer.answer), Encode(answer.answer),
                         answer.answer.retry_after));
}

void CallerApi::Send(const core::TicketAnswer& answer) {
  server_->Reply(
      ExchangeOf(answer.token),
      ReplyOf(HttpStatusOf(answer.status), Encode(answer), base::Duration(0)));
}

void CallerApi::OnRequest(const HttpRequest& post) {
  if (post.body.size() > max_body_bytes_) {
    Refuse(post, Reason::kTooLarge,
           "the body may have at most " + std::to_string(max_body_bytes_) +
               " bytes");
    return;
  }
  base::Failure reason;
  auto work = Decode<CallerWork>(post.body, Members::kRejected, &reason);
  if (!work) {
    Refuse(post, ReasonOfDecodeFailure(reason.code), reason.detail);
    return;
  }
  work->request.key = base::ApiKey(post.bearer);
  deliver_(
      core::CallerRequest{TokenOf(post.exchange), std::move(work->request)});
}

void CallerApi::OnJobCommand(const HttpRequest& request,
                             core::CallerJobCommand::Verb verb) {
  deliver_(core::CallerJobCommand{TokenOf(request.exchange), verb,
                                  base::ApiKey(request.bearer),
                                  base::RequestId(request.path_suffix)});
}

void CallerApi::OnTicket(const HttpRequest& post) {
  const core::CallerToken token = TokenOf(post.exchange);
  if (post.body.size() > config::kMaxTicketBytes) {
    counters_->Increment("tickets_refused", "too_large");
    const core::TicketAnswer answer{
        token,
        core::TicketStatus::kInvalid,
        {},
        {},
        "a ticket may have at most " + std::to_string(config::kMaxTicketBytes) +
            " bytes"};
    server_->Reply(post.exchange, ReplyOf(kTooLarge, Encode(answer), {}));
    return;
  }
  deliver_(core::OperatorTicket{token, post.body});
}

void CallerApi::Refuse(const HttpRequest& request, Reason reason,
                       const std::string& detail) {
  counters_->Increment("refusals", ToString(reason));
  core::Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.detail = detail;
  Send(core::CallerAnswer{TokenOf(request.exchange), answer});
}

}  // namespace dotterelbarrow::wire
