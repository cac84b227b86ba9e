// Encodes the messages in core/messages.h and core/work.h as JSON text and
// decodes them; docs/WIRE.md specifies the format.
//
// `Encode(message)` returns the text. To decode a text:
//
//   base::Failure reason;
//   const auto sync = Decode<core::BackendSync>(text, Members::kAny, &reason);
//   if (!sync) Log(reason);
//
// The fields of each message type are described once, in
// src/core/codec/fields_*.h; a new message type needs a description there and a
// line in codec.cc.
#ifndef DOTTERELBARROW_CORE_CODEC_H_
#define DOTTERELBARROW_CORE_CODEC_H_

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// How a decoder treats JSON members that the message type doesn't have.
enum class Members {
  kAny,       // Ignored. Used between our own processes, so that a later
              // release can add members.
  kRejected,  // Rejected. Used for input from callers and operators.
};

// How an encoder treats optional members that have their default value.
enum class Defaults {
  kWritten,  // Written: callers and operators see complete messages.
  kOmitted,  // Omitted: less to write and parse between our own processes.
};

// A request as a caller writes it: a WorkRequest without `key` and `team`.
struct CallerWork {
  core::WorkRequest request;

  friend bool operator==(const CallerWork&, const CallerWork&) = default;
};

// The platform's response to a request for the host list.
struct HostRecords {
  std::vector<core::HostRecord> hosts;

  friend bool operator==(const HostRecords&, const HostRecords&) = default;
};

// The platform's response to a transaction. The platform sends only kCommitted
// and kConflict; the other statuses stand for a response that did not arrive.
struct TransactAnswer {
  core::TableStatus status = core::TableStatus::kUnknown;

  friend bool operator==(const TransactAnswer&,
                         const TransactAnswer&) = default;
};

// The largest quantity and duration that the decoder accepts, so that sums over
// the whole fleet can't overflow.
inline constexpr std::int64_t kMaxQuantity = 1'000'000'000'000;
inline constexpr std::int64_t kMaxDurationMicros = 1'000'000'000'000'000;

// Returns `message` as a JSON value. Negative quantities and durations, which
// only mean "none left", are written as 0.
template <typename Message>
Json::Value ToJson(const Message& message,
                   Defaults defaults = Defaults::kWritten);

// Decodes `value`. On failure returns nothing and stores the cause in
// `*reason`.
template <typename Message>
std::optional<Message> FromJson(const Json::Value& value, Members members,
                                base::Failure* reason);

// Serializes `value` as compact JSON text, and parses a JSON text. On failure
// ReadJson returns nothing and stores the cause in `*reason`.
std::string WriteJson(const Json::Value& value);
std::optional<Json::Value> ReadJson(std::string_view text,
                                    base::Failure* reason);
// Returns the greatest number of values that the JSON text can hold. A parsed
// value takes many times the two bytes that its text may have.
std::size_t MaxJsonValues(std::string_view text);

// Like ToJson and FromJson, but to and from text.
template <typename Message>
std::string Encode(const Message& message,
                   Defaults defaults = Defaults::kWritten) {
  return WriteJson(ToJson(message, defaults));
}
template <typename Message>
std::optional<Message> Decode(std::string_view text, Members members,
                              base::Failure* reason) {
  const std::optional<Json::Value> value = ReadJson(text, reason);
  return value ? FromJson<Message>(*value, members, reason) : std::nullopt;
}

// Returns the name of a peer message type on the wire.
template <typename Message>
const char* MethodName();

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_CODEC_H_
