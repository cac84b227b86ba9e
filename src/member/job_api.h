// The HTTP interface for callers on the platform: submits, queries and cancels
// jobs.
#ifndef DOTTERELBARROW_SRC_MEMBER_JOB_API_H_
#define DOTTERELBARROW_SRC_MEMBER_JOB_API_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dotterelbarrow/core/admission/gate.h"
#include "dotterelbarrow/core/admission/reachability.h"
#include "dotterelbarrow/core/admission/refusal_pauses.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/member/calls.h"
#include "src/member/desired_watch.h"

namespace dotterelbarrow::member {

class JobApi {
 public:
  // Forwards a call to the owner of the organisation's jobs, which may be this
  // host. Calls the reply once.
  using ForwardToOwner = std::function<void(
      const base::OrganisationId&, const OwnerCall&, const OwnerReply&)>;
  // Returns which of the store and the owner this host can reach now.
  using FindReach = std::function<core::admission::Reachability()>;

  // Serves all requests of `server`. All arguments must outlive this.
  JobApi(const wire::EventLoop& loop, wire::HttpServer* server,
         const DesiredWatch* desired, core::admission::Gate gate,
         core::scheduler::Telemetry telemetry, FindReach find_reach,
         ForwardToOwner forward_to_owner);

 private:
  // What identifies a submission in the log.
  struct Submission {
    core::jobs::JobKey key;
    core::desired::QueueId queue;
    base::OrganisationId organisation;
  };

  struct Paused {
    wire::ExchangeId exchange;
    core::scheduler::Submission job;
    std::string reason;
    base::Duration retry_after{0};
  };

  void OnCall(const wire::HttpRequest& request);
  void OnAdmitted(const wire::HttpRequest& request,
                  const core::admission::Admitted& admitted);
  void Submit(const wire::HttpRequest& request,
              const core::admission::Admitted& admitted,
              core::jobs::JobKey key);
  void OnSubmitAnswer(wire::ExchangeId exchange, const Submission& submission,
                      const OwnerAnswer& answer);
  // Forwards the submission to the owner.
  void Forward(wire::ExchangeId exchange, core::scheduler::Submission job);
  // Asks the owner which of the submissions in a pause it knows, and refuses
  // the others.
  void CheckPaused();
  // `decided_by` is "owner", or "host" while this host refuses an
  // organisation's jobs itself after a refusal by the owner.
  void LogAnswer(const Submission& submission, const OwnerAnswer& answer,
                 const char* decided_by);
  void QueryState(const wire::HttpRequest& request,
                  const base::OrganisationId& organisation,
                  core::jobs::JobKey key);
  void Cancel(const wire::HttpRequest& request,
              const base::OrganisationId& organisation, core::jobs::JobKey key);
  void CountPending(const wire::HttpRequest& request,
                    const core::desired::QueueId& queue);

  // Logs a call that this host refused without forwarding it to the owner,
  // unless many were logged in this second.
  void LogRefusedCall(const wire::HttpRequest& request, const char* reason);
  void Reply(wire::ExchangeId exchange, int status, std::string body);
  // Replies that the call had no effect and when to retry it.
  void Refuse(wire::ExchangeId exchange, const char* reason,
              base::Duration retry_after);

  wire::HttpServer* server_;
  const DesiredWatch* desired_;
  core::admission::Gate gate_;
  core::scheduler::Telemetry telemetry_;
  FindReach find_reach_;
  ForwardToOwner forward_to_owner_;
  core::admission::RefusalPauses pauses_;
  // Submissions that arrived in a pause, by organisation. They may be repeated
  // ones of jobs that are accepted already, so the owner is asked first,
  // about many at a time.
  std::map<base::OrganisationId, std::vector<Paused>> paused_;
  wire::Timer paused_timer_;
  // How many refused calls were logged in the current second, and when that
  // began.
  base::TimePoint refusals_logged_since_;
  int refusals_logged_ = 0;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_JOB_API_H_
