// The messages between an owner and the hosts that poll workers for it, as
// JSON. They carry the requests and answers of workers as texts that the relay
// passes on unread.
#ifndef DOTTERELBARROW_SRC_MEMBER_RELAY_MESSAGES_H_
#define DOTTERELBARROW_SRC_MEMBER_RELAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/http_client.h"

namespace dotterelbarrow::member {

// One poll that a relay is to make.
struct RelayedPoll {
  // Unique within the session.
  std::uint64_t id = 0;
  // "ip:port" of the worker, and its ID, which other incarnations refuse.
  std::string address;
  std::string worker;
  std::string body;
  base::Duration timeout{0};

  friend bool operator==(const RelayedPoll&, const RelayedPoll&) = default;
};

struct RelayedPolls {
  // Identifies the owner's process, so that answers to an earlier one at the
  // same address are not taken for its own.
  std::uint64_t session = 0;
  // Where the answers go.
  std::string reply_to;
  std::vector<RelayedPoll> polls;
};

struct RelayedAnswers {
  std::uint64_t session = 0;
  // By the ID of the poll.
  std::vector<std::pair<std::uint64_t, wire::HttpResult>> answers;
};

std::string Encode(const RelayedPolls& message);
std::string Encode(const RelayedAnswers& message);
// These return nullopt and set `reason` if the text as a whole can't be read. A
// poll or an answer that can't be read is left out; its sender takes it for
// lost.
std::optional<RelayedPolls> DecodeRelayedPolls(const std::string& text,
                                               base::Failure* reason);
std::optional<RelayedAnswers> DecodeRelayedAnswers(const std::string& text,
                                                   base::Failure* reason);

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_RELAY_MESSAGES_H_
