// Strong types for identifiers, so that a team can't be passed where a worker
// is expected.
//
// Construct an identifier as `TeamId team("ovens");`, compare it with == and <,
// and read it with `value()`. It can be a key of std::map and of
// std::unordered_map.
#ifndef DOTTERELBARROW_BASE_IDS_H_
#define DOTTERELBARROW_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::base {

// An identifier stored as a string. `Tag` only distinguishes the types.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StringId&, const StringId&) = default;
  friend auto operator<=>(const StringId&, const StringId&) = default;

 private:
  std::string value_;
};

// An identifier or counter stored as a number. `Tag` only distinguishes the
// types.
template <typename Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr NumberId next() const { return NumberId(value_ + 1); }

  friend constexpr bool operator==(const NumberId&, const NumberId&) = default;
  friend constexpr auto operator<=>(const NumberId&, const NumberId&) = default;

 private:
  std::uint64_t value_ = 0;
};

// The configured name of an entry host, which is one dotterelbarrowd process.
using EntryId = StringId<struct EntryIdTag>;
// The name of a backend server (a worker or a runner) in the platform's host
// list.
using BackendId = StringId<struct BackendIdTag>;
// A group of backend servers with one owner, usually a rack.
using ShardId = StringId<struct ShardIdTag>;
using AvailabilityZone = StringId<struct AvailabilityZoneTag>;
using RegionId = StringId<struct RegionIdTag>;
using OrganisationId = StringId<struct OrganisationIdTag>;
using TeamId = StringId<struct TeamIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
// The secret with which a team authenticates its requests.
using ApiKey = StringId<struct ApiKeyTag>;
// Chosen by the caller; unique among a team's requests.
using RequestId = StringId<struct RequestIdTag>;
// Chosen by the caller for a non-idempotent request; scoped to the team.
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

// A fixed subset of the teams. One entry host at a time manages the jobs of a
// partition.
using PartitionId = NumberId<struct PartitionIdTag>;
// Distinguishes successive processes that run under the same name.
using Incarnation = NumberId<struct IncarnationTag>;
// The number that an operator gives to a change ticket.
using TicketNumber = NumberId<struct TicketNumberTag>;
// Position in the sequence of accepted configurations.
using ConfigVersion = NumberId<struct ConfigVersionTag>;
// The version of one row of the table service; 0 means the row is absent.
using RowVersion = NumberId<struct RowVersionTag>;
// Matches a reply to its request within one process.
using CallId = NumberId<struct CallIdTag>;

// A job, identified by its team and the caller's request id.
struct JobId {
  TeamId team;
  RequestId request;

  friend bool operator==(const JobId&, const JobId&) = default;
  friend auto operator<=>(const JobId&, const JobId&) = default;
};

// One attempt of one task of a job. A retry is a new attempt.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;

  friend bool operator==(const TaskId&, const TaskId&) = default;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// A fencing token: the right to send commands to a backend server, or to write
// a partition's journal. Ordered by counter, then by the holder's name, so that
// two holders never have equal tokens.
struct Epoch {
  std::uint64_t counter = 0;
  EntryId holder;

  friend bool operator==(const Epoch&, const Epoch&) = default;
  friend auto operator<=>(const Epoch&, const Epoch&) = default;
};

// Returns "team/request".
std::string ToString(const JobId& id);
// Returns "team/request/index.attempt".
std::string ToString(const TaskId& id);
// Returns "counter@holder".
std::string ToString(const Epoch& epoch);

}  // namespace dotterelbarrow::base

// The hash functions of strings aren't noexcept, so that hash tables cache the
// hash in each entry instead of recomputing it.
template <typename Tag>
struct std::hash<dotterelbarrow::base::StringId<Tag>> {
  std::size_t operator()(const dotterelbarrow::base::StringId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<dotterelbarrow::base::NumberId<Tag>> {
  std::size_t operator()(
      const dotterelbarrow::base::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value());
  }
};

template <>
struct std::hash<dotterelbarrow::base::JobId> {
  std::size_t operator()(const dotterelbarrow::base::JobId& id) const {
    const std::size_t team = std::hash<std::string>()(id.team.value());
    const std::size_t request = std::hash<std::string>()(id.request.value());
    return dotterelbarrow::base::MixBits(team) + request;
  }
};

template <>
struct std::hash<dotterelbarrow::base::TaskId> {
  std::size_t operator()(const dotterelbarrow::base::TaskId& id) const {
    const std::size_t job = std::hash<dotterelbarrow::base::JobId>()(id.job);
    const std::uint64_t run = (std::uint64_t{id.index} << 32) | id.attempt;
    return dotterelbarrow::base::MixBits(job ^
                                         dotterelbarrow::base::MixBits(run));
  }
};

#endif  // DOTTERELBARROW_BASE_IDS_H_
