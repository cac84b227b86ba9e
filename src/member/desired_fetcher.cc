// Requests the text once at a time, for as long as it keeps arriving.
#include "src/member/desired_fetcher.h"

#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

// Without a byte of the answer for this long the owner counts as unresponsive.
constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(900);
// A text that takes longer is likely to be replaced before it is complete.
constexpr base::Duration kMaxTransferTime = std::chrono::seconds(10);

}  // namespace

void DesiredFetcher::Fetch(const std::string& owner_address) {
  if (owner_address == pending_owner_) {
    return;
  }
  pending_owner_ = owner_address;
  rpc_->Call(
      owner_address, "desired", Json::Value(Json::objectValue), kAnswerTimeout,
      [this, owner_address, sent_at = Now()](const RpcResult& result) {
        OnAnswer(owner_address, result, sent_at);
      },
      kMaxTransferTime);
}

void DesiredFetcher::OnAnswer(const std::string& owner_address,
                              const RpcResult& result,
                              base::TimePoint sent_at) {
  if (owner_address == pending_owner_) {
    pending_owner_.clear();
  }
  if (result.outcome != RpcOutcome::kAnswered) {
    counters_->Increment("desired_fetches", "unanswered");
    return;
  }
  const Json::Value& text = result.result["text"];
  const Json::Value& age = result.result["age_ms"];
  if (!text.isString() || !age.isInt64()) {
    counters_->Increment("desired_fetches", "not_sent_yet");
    return;
  }
  counters_->Increment("desired_fetches", "received");
  on_text_(text.asString(), sent_at, std::chrono::milliseconds(age.asInt64()));
}

}  // namespace dotterelbarrow::member
