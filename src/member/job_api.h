// The callers' interface on the platform: hands in jobs, asks for them,
// cancels them.
#ifndef DOTTERELBARROW_SRC_MEMBER_JOB_API_H_
#define DOTTERELBARROW_SRC_MEMBER_JOB_API_H_

#include <functional>
#include <string>

#include "dotterelbarrow/core/admission/gate.h"
#include "dotterelbarrow/core/admission/reach.h"
#include "dotterelbarrow/core/admission/refusal_pauses.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/member/calls.h"
#include "src/member/desired_watch.h"

namespace dotterelbarrow::member {

class JobApi {
 public:
  // Passes a call to the owner, wherever it is.
  using PassOn = std::function<void(const OwnerCall&, OwnerReply)>;
  // Tells what this host reaches now.
  using FindReach = std::function<core::admission::Reachability()>;

  // Takes all calls of `server`. All must outlive this.
  JobApi(wire::HttpServer* server, const DesiredWatch* desired,
         core::admission::Gate gate, core::scheduler::Telemetry telemetry,
         FindReach find_reach, PassOn pass_on);

 private:
  // What names a submission in the log.
  struct Submission {
    core::jobs::JobKey key;
    core::desired::QueueId queue;
    base::OrganisationId organisation;
  };

  void OnCall(const wire::HttpRequest& request);
  void OnAdmitted(const wire::HttpRequest& request,
                  const core::admission::Admitted& admitted);
  void Submit(const wire::HttpRequest& request,
              const core::admission::Admitted& admitted,
              core::jobs::JobKey key);
  void OnSubmitAnswer(wire::ExchangeId exchange, const Submission& submission,
                      const OwnerAnswer& answer);
  // `decided_by` is "owner" or, in a pause after a refusal, "host".
  void LogAnswer(const Submission& submission, const OwnerAnswer& answer,
                 const char* decided_by);
  void AskState(const wire::HttpRequest& request, core::jobs::JobKey key);
  void Cancel(const wire::HttpRequest& request, core::jobs::JobKey key);
  void CountPending(const wire::HttpRequest& request,
                    const core::desired::QueueId& queue);

  // A call that went no further than this host.
  void LogTurnedAway(const wire::HttpRequest& request, const char* reason);
  void Reply(wire::ExchangeId exchange, int status, std::string body);
  // Says that nothing was done and when to come back.
  void Refuse(wire::ExchangeId exchange, const char* reason,
              base::Duration retry_after);

  wire::HttpServer* server_;
  const DesiredWatch* desired_;
  core::admission::Gate gate_;
  core::scheduler::Telemetry telemetry_;
  FindReach find_reach_;
  PassOn pass_on_;
  core::admission::RefusalPauses pauses_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_JOB_API_H_
