// Accepts the jobs of one partition, submitted by callers or by tickets. An
// acceptance is reported only once its journal record is durable.
//
// A job that can't be accepted is refused with a reason. The acceptor remembers
// the refused call: a late duplicate of that message must not be accepted after
// the caller was told that the job doesn't run.
#ifndef DOTTERELBARROW_CORE_JOB_ACCEPTOR_H_
#define DOTTERELBARROW_CORE_JOB_ACCEPTOR_H_

#include <sigc++/sigc++.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/objects.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/journal.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/record_log.h"
#include "dotterelbarrow/core/task_tracker.h"
#include "dotterelbarrow/core/waiter.h"

namespace dotterelbarrow::core {

class JobAcceptor {
 public:
  // All arguments must outlive this object.
  JobAcceptor(const ManagerContext& context, base::PartitionId partition,
              TaskTracker* book, JobTable* jobs, RecordLog* log)
      : context_(context),
        partition_(partition),
        tracker_(book),
        jobs_(jobs),
        log_(log) {}
  JobAcceptor(const JobAcceptor&) = delete;
  JobAcceptor& operator=(const JobAcceptor&) = delete;

  // Handles a submission. If the job is known, answers with its status. If it
  // can't be accepted, refuses it; `not_ready`, where set, is the refusal.
  // Otherwise appends the job to the journal and answers once the record is
  // durable. A call that was refused before gets no further answer.
  void OnSubmit(const base::EntryId& from, const SubmitJob& submit,
                const std::optional<Answer>& not_ready);
  // Withdraws the jobs whose records are guaranteed not to be in the table yet,
  // and refuses them with `reason`. Jobs of tickets stay pending, and so do
  // jobs whose records may have been written.
  void WithdrawPending(const Answer& reason);
  // Reconciles the jobs with the current configuration, once per version:
  // accepts jobs of tickets that aren't known yet, cancels jobs whose ticket
  // object was removed, and cancels jobs that need more at once than their
  // team's lowered limit.
  void Reconcile(base::TimePoint now);

  // Emitted when the acceptance of a job has become durable.
  sigc::signal<void(Job*, base::TimePoint)>& accepted() { return accepted_; }

 private:
  struct PendingJob {
    JournalPosition position;
    WorkRequest request;
    // The calls to answer; empty for a job of a ticket.
    std::vector<Waiter> waiters;
  };

  void Reply(const Waiter& to, Answer answer);
  // Refuses the call and remembers it as refused.
  void RefuseCall(const Waiter& waiter, Answer answer);
  // If the job is accepted or pending, answers the call, or adds it to the
  // pending job's waiters, and returns true.
  bool AnswerKnown(const Waiter& waiter, const WorkRequest& request);
  void Record(const WorkRequest& request, std::vector<Waiter> waiters);
  void OnDurable(const base::JobId& id, base::TimePoint now);
  // Returns the refusal of a job that can't be accepted now, or ever, or
  // nullopt.
  std::optional<Answer> RefusalOf(const WorkRequest& request) const;
  // Likewise, looking only at the size of the job.
  std::optional<Answer> SizeRefusalOf(const WorkRequest& request) const;
  void AcceptTicketJob(const base::JobId& id, const config::JobSpec& spec);
  void EndWithdrawnTicketJobs(base::TimePoint now);
  void EndJobsBeyondLimits(base::TimePoint now);
  // Whether the minimum that the work needs at once exceeds its team's upper
  // limit.
  bool IsBeyondLimit(const WorkRequest& request) const;

  const ManagerContext context_;
  base::PartitionId partition_;
  TaskTracker* tracker_;
  JobTable* jobs_;
  RecordLog* log_;
  // The configuration version that Reconcile handled last.
  base::ConfigVersion reconciled_version_;
  // Jobs whose records are not durable yet, and their number by team.
  std::map<base::JobId, PendingJob> pending_;
  std::map<base::TeamId, std::size_t> pending_by_team_;
  // Calls that were refused, bounded in number.
  std::set<Waiter> refused_;
  // The same calls, oldest first.
  std::deque<Waiter> refused_by_age_;
  sigc::signal<void(Job*, base::TimePoint)> accepted_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JOB_ACCEPTOR_H_
