// Calls entry hosts in order.
#include "src/ctl/entry_client.h"

#include <optional>
#include <utility>

namespace dotterelbarrow::ctl {

EntryClient::EntryClient(wire::EventLoop* loop,
                         std::vector<std::string> entries, std::string key,
                         base::Duration timeout)
    : loop_(loop),
      entries_(std::move(entries)),
      key_(std::move(key)),
      timeout_(timeout),
      client_(*loop, wire::HttpClientOptions()) {}

wire::HttpResult EntryClient::Call(const EntryCall& call) {
  wire::HttpResult result;
  result.outcome = wire::HttpOutcome::kNotSent;
  bool may_have_taken_effect = false;
  for (const std::string& entry : entries_) {
    result = CallOne(entry, call);
    if (result.outcome == wire::HttpOutcome::kAnswered) {
      return result;
    }
    if (result.outcome == wire::HttpOutcome::kLost) {
      may_have_taken_effect = true;
      if (!call.idempotent) {
        break;
      }
    }
  }
  if (may_have_taken_effect) {
    result.outcome = wire::HttpOutcome::kLost;
  }
  return result;
}

wire::HttpResult EntryClient::CallOne(const std::string& entry,
                                      const EntryCall& call) {
  std::optional<wire::HttpResult> result;
  client_.Call({.address = entry,
                .method = call.method,
                .uri = call.uri,
                .body = call.body,
                .bearer = key_,
                .timeout = timeout_},
               [&result](const wire::HttpResult& r) { result = r; });
  loop_->RunUntil([&result] { return result.has_value(); });
  return *result;
}

void EntryClient::Wait(base::Duration duration) {
  bool has_expired = false;
  wire::Timer timer(*loop_, [&has_expired] { has_expired = true; });
  timer.StartOnce(duration);
  loop_->RunUntil([&has_expired] { return has_expired; });
}

}  // namespace dotterelbarrow::ctl
