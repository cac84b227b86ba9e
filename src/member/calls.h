// Calls that only the owner of a shard can answer, and their JSON form between
// entry hosts.
#ifndef DOTTERELBARROW_SRC_MEMBER_CALLS_H_
#define DOTTERELBARROW_SRC_MEMBER_CALLS_H_

#include <json/json.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::member {

struct SubmitCall {
  core::scheduler::Submission submission;
};
struct CancelCall {
  core::jobs::JobKey key;
};
struct StateCall {
  core::jobs::JobKey key;
};
struct PendingCall {
  core::desired::QueueId queue;
};
// Asks which of the jobs, all of one shard, the owner knows. It answers at
// once, and also names jobs whose acceptance isn't stored yet.
struct KnownCall {
  std::vector<core::jobs::JobKey> jobs;
};
using OwnerCall =
    std::variant<SubmitCall, CancelCall, StateCall, PendingCall, KnownCall>;

// The job is in the store.
struct Accepted {};
// The job is guaranteed never to run.
struct Refused {
  std::string reason;
  base::Duration retry_after{0};
  // For this long the entry host that made the call refuses the organisation's
  // jobs itself, unless the owner knows them.
  base::Duration pause{0};
};
// The cancellation is in the store.
struct Cancelled {};
struct UnknownJob {};
struct JobStateAnswer {
  core::jobs::JobState state = core::jobs::JobState::kQueued;
};
struct PendingAnswer {
  std::uint64_t jobs = 0;
};
struct KnownAnswer {
  std::set<core::jobs::JobKey> jobs;
};
// No owner was reached. The call is guaranteed to have had no effect.
struct NoOwner {};
// The call may have taken effect.
struct OutcomeUnknown {};
using OwnerAnswer =
    std::variant<Accepted, Refused, Cancelled, UnknownJob, JobStateAnswer,
                 PendingAnswer, KnownAnswer, NoOwner, OutcomeUnknown>;
using OwnerReply = std::function<void(const OwnerAnswer&)>;

// JSON-RPC method names of the calls.
inline constexpr const char* kSubmit = "submit";
inline constexpr const char* kCancel = "cancel";
inline constexpr const char* kState = "state";
inline constexpr const char* kPending = "pending";
inline constexpr const char* kKnown = "known";
inline constexpr std::array kOwnerMethods = {kSubmit, kCancel, kState, kPending,
                                             kKnown};

// Parameters of calls between entry hosts about one shard of several: its
// number, and how many there are. Without them shard 0 of a cell with one shard
// is meant.
inline constexpr const char* kShardField = "shard";
inline constexpr const char* kShardCountField = "shards";
// Parameter of a submission: the fencing token of the owner that it is for. A
// host of an earlier version sends none.
inline constexpr const char* kOwnerTokenField = "owner_token";

// Conversions between a call and its JSON-RPC method name and parameters.
// OwnerCallFromJson returns nullopt and sets `reason` if they are malformed.
const char* MethodOf(const OwnerCall& call);
Json::Value ToJson(const OwnerCall& call);
std::optional<OwnerCall> OwnerCallFromJson(const std::string& method,
                                           const Json::Value& params,
                                           base::Failure* reason);
// Returns false if the parameters name another owner than the one that holds
// `token`. A copy of a submission may arrive late, when its host owns the shard
// again and a refusal of another copy has been passed on, so only the owner
// that it was sent to may accept it.
bool IsForOwner(const Json::Value& params, core::scheduler::FencingToken token);
Json::Value ToJson(const OwnerAnswer& answer);
// Returns OutcomeUnknown for an answer that is malformed.
OwnerAnswer OwnerAnswerFromJson(const Json::Value& value);

// Returns the name of the answer in logs and in JSON.
const char* NameOf(const OwnerAnswer& answer);
// Returns the reason of a refusal, and "none" for other answers.
std::string ReasonOf(const OwnerAnswer& answer);

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_CALLS_H_
