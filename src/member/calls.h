// Calls that only the owner can answer, as entry hosts pass them on to it.
#ifndef DOTTERELBARROW_SRC_MEMBER_CALLS_H_
#define DOTTERELBARROW_SRC_MEMBER_CALLS_H_

#include <json/json.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

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
using OwnerCall = std::variant<SubmitCall, CancelCall, StateCall, PendingCall>;

// The job was stored.
struct Accepted {};
// The job surely never runs.
struct Refused {
  std::string reason;
  base::Duration retry_after{0};
  // For this long the host that asked refuses the organisation's jobs itself.
  base::Duration pause{0};
};
// The cancelling was stored.
struct Cancelled {};
struct UnknownJob {};
struct JobStateAnswer {
  core::jobs::JobState state = core::jobs::JobState::kQueued;
};
struct PendingAnswer {
  std::uint64_t jobs = 0;
};
// Nobody who could answer was reached; surely nothing was done.
struct NoOwner {};
// Something may have been done; nobody knows yet.
struct OutcomeUnknown {};
using OwnerAnswer =
    std::variant<Accepted, Refused, Cancelled, UnknownJob, JobStateAnswer,
                 PendingAnswer, NoOwner, OutcomeUnknown>;
using OwnerReply = std::function<void(const OwnerAnswer&)>;

// JSON-RPC's method names of the calls.
inline constexpr const char* kSubmit = "submit";
inline constexpr const char* kCancel = "cancel";
inline constexpr const char* kState = "state";
inline constexpr const char* kPending = "pending";
inline constexpr std::array kOwnerMethods = {kSubmit, kCancel, kState,
                                             kPending};

// JSON-RPC's method name and parameters of a call, and back.
const char* MethodOf(const OwnerCall& call);
Json::Value ToJson(const OwnerCall& call);
std::optional<OwnerCall> OwnerCallFromJson(const std::string& method,
                                           const Json::Value& params,
                                           base::Failure* reason);
Json::Value ToJson(const OwnerAnswer& answer);
// What can't be read means that the outcome is unknown.
OwnerAnswer OwnerAnswerFromJson(const Json::Value& value);

// Returns the name that logs and counters use.
const char* NameOf(const OwnerAnswer& answer);
// Returns why a call was refused; "none" for other answers.
std::string ReasonOf(const OwnerAnswer& answer);

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_CALLS_H_
