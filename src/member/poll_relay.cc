// Collects polls and answers for some milliseconds and sends them together.
#include "src/member/poll_relay.h"

#include <chrono>

#include "platform/worker_client.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

// How long polls, and answers, are collected. A poll waits for a run end for
// hundreds of milliseconds, so that these delay hardly any.
constexpr base::Duration kPollBatchDelay = std::chrono::milliseconds(5);
constexpr base::Duration kAnswerBatchDelay = std::chrono::milliseconds(8);
// A relay takes a batch at once. After this time it is paused, cut off or
// overloaded.
constexpr base::Duration kBatchTimeout = std::chrono::milliseconds(400);
// Added to a poll's time limit for the way through the relay.
constexpr base::Duration kRelayAllowance = std::chrono::milliseconds(200);
constexpr base::Duration kSweepPeriod = std::chrono::milliseconds(50);
constexpr int kStatusOk = 200;

bool IsTaken(const wire::HttpResult& answer) {
  return answer.outcome == wire::HttpOutcome::kAnswered &&
         answer.status == kStatusOk;
}

}  // namespace

PollRelayClient::PollRelayClient(const wire::EventLoop& loop,
                                 wire::HttpClient* http,
                                 core::Counters* counters,
                                 std::uint64_t session, std::string own_address,
                                 OnFailed on_failed)
    : http_(http),
      counters_(counters),
      session_(session),
      own_address_(std::move(own_address)),
      on_failed_(std::move(on_failed)),
      flush_timer_(loop, [this] { Flush(); }),
      sweep_timer_(loop, kSweepPeriod, [this] { Sweep(); }) {}

void PollRelayClient::Poll(const base::EntryId& relay,
                           const std::string& address, RelayedPoll poll,
                           Done done) {
  poll.id = ++last_id_;
  pending_.emplace(poll.id, Pending{relay, std::move(done),
                                    Now() + poll.timeout + kRelayAllowance});
  if (batches_.empty()) {
    flush_timer_.StartOnce(kPollBatchDelay);
  }
  Batch& batch = batches_[relay];
  batch.address = address;
  batch.polls.push_back(std::move(poll));
}

void PollRelayClient::Flush() {
  for (auto& [relay, batch] : std::exchange(batches_, {})) {
    counters_->Increment("relayed_polls", "sent", batch.polls.size());
    http_->Call({.address = batch.address,
                 .method = wire::HttpMethod::kPost,
                 .uri = kRelayedPollsPath,
                 .body = Encode(RelayedPolls{session_, own_address_,
                                             std::move(batch.polls)}),
                 .timeout = kBatchTimeout},
                [this, relay = relay](const wire::HttpResult& answer) {
                  if (!IsTaken(answer)) {
                    Fail(relay);
                  }
                });
  }
}

bool PollRelayClient::OnAnswers(const std::string& body) {
  base::Failure reason;
  const auto message = DecodeRelayedAnswers(body, &reason);
  if (!message) {
    counters_->Increment("relayed_polls", "malformed");
    return false;
  }
  if (message->session != session_) {
    return true;  // For an earlier process at this address.
  }
  for (const auto& [id, answer] : message->answers) {
    End(id, answer);
  }
  return true;
}

void PollRelayClient::End(std::uint64_t id, const wire::HttpResult& result) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return;  // Answered after its time.
  }
  const Done done = std::move(it->second.done);
  pending_.erase(it);
  done(result);
}

void PollRelayClient::Fail(const base::EntryId& relay) {
  counters_->Increment("relayed_polls", "relay_failed");
  on_failed_(relay);
  std::vector<std::uint64_t> lost;
  for (const auto& [id, pending] : pending_) {
    if (pending.relay == relay) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    End(id, {wire::HttpOutcome::kLost, 0, {}});
  }
}

void PollRelayClient::Sweep() {
  const base::TimePoint now = Now();
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, pending] : pending_) {
    if (now >= pending.deadline) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    counters_->Increment("relayed_polls", "overdue");
    End(id, {wire::HttpOutcome::kLost, 0, {}});
  }
}

PollRelayServer::PollRelayServer(const wire::EventLoop& loop,
                                 wire::HttpClient* workers,
                                 wire::HttpClient* peers,
                                 core::Counters* counters)
    : workers_(workers),
      peers_(peers),
      counters_(counters),
      flush_timer_(loop, [this] { Flush(); }) {}

bool PollRelayServer::OnPolls(const std::string& body) {
  base::Failure reason;
  const auto message = DecodeRelayedPolls(body, &reason);
  if (!message) {
    counters_->Increment("relayed_polls", "malformed");
    return false;
  }
  const Owner owner(message->reply_to, message->session);
  for (const RelayedPoll& poll : message->polls) {
    workers_->Call(
        platform::PollCall(poll.address, poll.worker, poll.body, poll.timeout),
        [this, owner, id = poll.id](const wire::HttpResult& answer) {
          outbox_[owner].answers.emplace_back(id, answer);
          if (!is_flush_scheduled_) {
            is_flush_scheduled_ = true;
            flush_timer_.StartOnce(kAnswerBatchDelay);
          }
        });
  }
  counters_->Increment("relayed_polls", "made", message->polls.size());
  return true;
}

void PollRelayServer::Flush() {
  is_flush_scheduled_ = false;
  for (auto& [owner, message] : std::exchange(outbox_, {})) {
    message.session = owner.second;
    peers_->Call({.address = owner.first,
                  .method = wire::HttpMethod::kPost,
                  .uri = kRelayedAnswersPath,
                  .body = Encode(message),
                  .timeout = kBatchTimeout},
                 [this](const wire::HttpResult& answer) {
                   // Not sent again: the owner polls again by itself.
                   if (!IsTaken(answer)) {
                     counters_->Increment("relayed_polls", "answers_lost");
                   }
                 });
  }
}

}  // namespace dotterelbarrow::member
