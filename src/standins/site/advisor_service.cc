// Chooses the allowed workers by a hash of step and worker.
#include "src/standins/site/advisor_service.h"

#include <functional>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::standins::site {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr std::int64_t kDecisionDelayMs = 10;
constexpr std::int64_t kAdviceValidityMs = 1500;
// About one in this many workers is not allowed.
constexpr std::size_t kDisallowedOneIn = 3;

}  // namespace

AdvisorService::AdvisorService(const wire::EventLoop& loop,
                               DelayedCalls* delayed_calls, int workers)
    : server_(loop, wire::HttpServerOptions()),
      delayed_calls_(delayed_calls),
      workers_(static_cast<std::size_t>(workers)) {
  server_.Route(wire::HttpMethod::kPost, "/advise",
                [this](const wire::HttpRequest& r) { OnAdvise(r); });
}

bool AdvisorService::Listen(const std::string& address, base::Failure* reason) {
  return server_.Listen(address, reason).has_value();
}

void AdvisorService::OnAdvise(const wire::HttpRequest& request) {
  base::Failure reason;
  const auto body = core::ReadJson(request.body, &reason);
  if (!body || !(*body)["step"].isString() || !(*body)["workers"].isArray()) {
    server_.Reply(request.exchange, {.status = kBadRequest, .body = {}});
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["valid_ms"] = static_cast<Json::Int64>(kAdviceValidityMs);
  answer["allowed"] = Json::Value(Json::arrayValue);
  const std::string step = (*body)["step"].asString();
  // Every step is allowed on at least one worker.
  const std::string always_allowed =
      "worker-" + std::to_string(std::hash<std::string>()(step) % workers_);
  for (const Json::Value& worker : (*body)["workers"]) {
    const std::string id = worker.asString();
    if (id == always_allowed ||
        std::hash<std::string>()(step + id) % kDisallowedOneIn != 0) {
      Json::Value row(Json::arrayValue);
      row.append(id);
      row.append("ticket-" + step);
      answer["allowed"].append(row);
    }
  }
  delayed_calls_->After(kDecisionDelayMs, [this, exchange = request.exchange,
                                           text = core::WriteJson(answer)] {
    server_.Reply(exchange, {.status = kOk, .body = text});
  });
}

}  // namespace dotterelbarrow::standins::site
