// Both ends of a relay for polls: the owner hands polls of workers to another
// entry host in batches, and that host makes them and returns the answers in
// batches.
#ifndef DOTTERELBARROW_SRC_MEMBER_POLL_RELAY_H_
#define DOTTERELBARROW_SRC_MEMBER_POLL_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"
#include "src/member/relay_messages.h"

namespace dotterelbarrow::member {

// The paths on the address for other entry hosts.
inline constexpr const char* kRelayedPollsPath = "/relayed-polls";
inline constexpr const char* kRelayedAnswersPath = "/relayed-answers";

// The owner's end.
class PollRelayClient {
 public:
  using Done = std::function<void(const wire::HttpResult&)>;
  using OnFailed = std::function<void(const base::EntryId&)>;

  // `own_address` is where relays send the answers. `on_failed` is called when
  // a relay did not take a batch. All arguments must outlive this.
  PollRelayClient(const wire::EventLoop& loop, wire::HttpClient* http,
                  core::Counters* counters, std::uint64_t session,
                  std::string own_address, OnFailed on_failed);
  PollRelayClient(const PollRelayClient&) = delete;
  PollRelayClient& operator=(const PollRelayClient&) = delete;

  // Makes a poll through the relay at `address`; its id is set here. Calls
  // `done` exactly once, never from within this function: with kLost if no
  // answer has arrived in the poll's time and some more, or if the relay has
  // failed.
  void Poll(const base::EntryId& relay, const std::string& address,
            RelayedPoll poll, Done done);
  // Handles the body of a message from a relay; false if it can't be read.
  bool OnAnswers(const std::string& body);

 private:
  struct Pending {
    base::EntryId relay;
    Done done;
    base::TimePoint deadline;
  };
  struct Batch {
    std::string address;
    std::vector<RelayedPoll> polls;
  };

  void Flush();
  void Sweep();
  // Ends all polls that are under way at the relay.
  void Fail(const base::EntryId& relay);
  void End(std::uint64_t id, const wire::HttpResult& result);

  wire::HttpClient* http_;
  core::Counters* counters_;
  std::uint64_t session_;
  std::string own_address_;
  OnFailed on_failed_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::map<base::EntryId, Batch> batches_;
  wire::Timer flush_timer_;
  wire::PeriodicTimer sweep_timer_;
};

// The relay's end.
class PollRelayServer {
 public:
  // `workers` calls the workers, `peers` returns the answers. All arguments
  // must outlive this.
  PollRelayServer(const wire::EventLoop& loop, wire::HttpClient* workers,
                  wire::HttpClient* peers, core::Counters* counters);
  PollRelayServer(const PollRelayServer&) = delete;
  PollRelayServer& operator=(const PollRelayServer&) = delete;

  // Handles the body of a message from an owner; false if it can't be read.
  bool OnPolls(const std::string& body);

 private:
  // The owner's address and session.
  using Owner = std::pair<std::string, std::uint64_t>;

  void Flush();

  wire::HttpClient* workers_;
  wire::HttpClient* peers_;
  core::Counters* counters_;
  std::map<Owner, RelayedAnswers> outbox_;
  bool is_flush_scheduled_ = false;
  wire::Timer flush_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_POLL_RELAY_H_
