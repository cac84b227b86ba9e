// Requests the text once at a time, for as long as it keeps arriving.
#include "src/member/desired_fetcher.h"

#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

// Without a byte of the answer for this long the owner counts as unresponsive.
constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(900);
// A text that takes longer has been replaced by a newer one, or the caller has
// found an owner that sends it faster.
constexpr base::Duration kMaxTransferTime = std::chrono::seconds(10);

}  // namespace

void DesiredFetcher::Fetch(const std::string& owner_address) {
  if (is_pending_) {
    return;
  }
  is_pending_ = true;
  rpc_->Call(
      owner_address, "desired", Json::Value(Json::objectValue), kAnswerTimeout,
      [this, sent_at = Now()](const RpcResult& result) {
        OnAnswer(result, sent_at);
      },
      kMaxTransferTime);
}

void DesiredFetcher::OnAnswer(const RpcResult& result,
                              base::TimePoint sent_at) {
  is_pending_ = false;
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
