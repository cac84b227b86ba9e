// Sends admitted jobs, and queries and cancellations of jobs, to the manager of
// the team, and returns the answers to the callers.
//
// Submission is idempotent by the job's id, so the router sends each call
// again, to the entry that manages the team by then, until an answer arrives or
// the call times out. It passes on "not run" only once every copy of the call
// has been refused: a copy in transit may still be accepted. If the call times
// out before that, the answer is "unknown".
#ifndef DOTTERELBARROW_CORE_JOB_ROUTER_H_
#define DOTTERELBARROW_CORE_JOB_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class JobRouter {
 public:
  // All arguments must outlive this object.
  JobRouter(const NodeSettings* settings, Outbox* outbox, Counters* counters,
            const Membership* membership);
  JobRouter(const JobRouter&) = delete;
  JobRouter& operator=(const JobRouter&) = delete;

  // Each call is answered by exactly one CallerAnswer, at the latest when
  // NodeSettings::call_timeout has passed and Tick is called.
  void Submit(CallerToken token, const WorkRequest& request,
              base::TimePoint now);
  void Ask(const CallerJobCommand& command, const base::TeamId& team,
           base::TimePoint now);
  void OnReply(const JobReply& reply, base::TimePoint now);
  void Tick(base::TimePoint now);

  bool is_idle() const { return calls_.empty(); }

 private:
  // The kind of message to send.
  enum class Verb { kSubmit, kQuery, kCancel };
  struct Call {
    CallerToken token;
    Verb verb = Verb::kSubmit;
    WorkRequest request;
    base::JobId job;
    base::TimePoint started;
    base::TimePoint next_send;
    // Copies that were sent and have neither been refused nor accepted. Each
    // has its own call id.
    std::set<base::CallId> unanswered;
    // The answer to the copy that was refused last.
    std::optional<Answer> refusal;
  };

  void Start(Call call, base::TimePoint now);
  void Send(std::uint64_t key, base::TimePoint now);
  // Answers the caller and removes the call.
  void Finish(std::uint64_t key, Answer answer);
  // Answers a call that has timed out: with its refusal if every copy was
  // refused, else "unknown".
  void GiveUp(std::uint64_t key);

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const Membership* membership_;
  std::uint64_t last_key_ = 0;
  std::map<std::uint64_t, Call> calls_;
  // The key in `calls_` of each unanswered copy.
  std::map<base::CallId, std::uint64_t> copies_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JOB_ROUTER_H_
