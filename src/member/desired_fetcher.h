// Fetches the text of the desired state from the owner, for a host that the
// store doesn't serve.
#ifndef DOTTERELBARROW_SRC_MEMBER_DESIRED_FETCHER_H_
#define DOTTERELBARROW_SRC_MEMBER_DESIRED_FETCHER_H_

#include <functional>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "src/member/rpc.h"

namespace dotterelbarrow::member {

class DesiredFetcher {
 public:
  // Receives a text that its sender confirmed to be the newest `age` before it
  // answered the request sent at `sent_at`.
  using OnText = std::function<void(
      const std::string& text, base::TimePoint sent_at, base::Duration age)>;

  // `rpc` and `counters` must outlive this.
  DesiredFetcher(RpcClient* rpc, core::Counters* counters, OnText on_text)
      : rpc_(rpc), counters_(counters), on_text_(std::move(on_text)) {}

  // Requests the text, unless an earlier request to that owner is pending. The
  // owner may answer that it sends the text to other hosts first; the caller
  // should then try again.
  void Fetch(const std::string& owner_address);

 private:
  void OnAnswer(const std::string& owner_address, const RpcResult& result,
                base::TimePoint sent_at);

  RpcClient* rpc_;
  core::Counters* counters_;
  OnText on_text_;
  // Whom the last request went to, while it is pending; empty otherwise.
  std::string pending_owner_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_DESIRED_FETCHER_H_
