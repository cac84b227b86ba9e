// Tells how workers are lost, and watches for runs that may cause it.
#include <algorithm>

#include "dotterelbarrow/core/scheduler/fleet.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using workers::LossKind;
using workers::Run;
using workers::RunState;
using workers::Worker;
using workers::WorkerLoss;

}  // namespace

void Fleet::EndConfirmedRuns(Worker* worker) {
  std::vector<RunKey> departed;
  for (const auto& [key, run] : worker->runs()) {
    // An unanswered command may still reach another incarnation. An answered
    // one reached this incarnation, which removed its own entry from the list.
    if (run.state == RunState::kReserved || run.start_confirmed_ms != 0) {
      departed.push_back(key);
    }
  }
  for (const RunKey& key : departed) {
    EndRun(worker, key, jobs::RunEnd::kWorkerGone, {});
  }
}

void Fleet::OnReplaced(Worker* worker, base::TimePoint now) {
  telemetry_.log->Write(
      "worker_replaced",
      {{"worker", worker->id().value()},
       {"before_born_ms", worker->listing().born_ms},
       {"runs", static_cast<std::int64_t>(worker->runs().size())},
       {"silent_ms",
        (now - worker->last_answer) / std::chrono::milliseconds(1)}});
  const std::optional<WorkerLoss> loss = NoteLoss(worker, LossKind::kCrashed);
  EndConfirmedRuns(worker);
  ReportLoss(loss);
}

std::optional<WorkerLoss> Fleet::NoteLoss(Worker* worker, LossKind kind) {
  if (worker->is_loss_reported || worker->runs().empty() ||
      worker->listing().draining) {
    return std::nullopt;
  }
  worker->is_loss_reported = true;
  return workers::DescribeLoss(*worker, kind);
}

void Fleet::ReportLoss(const std::optional<WorkerLoss>& loss) {
  if (!loss) {
    return;
  }
  telemetry_.counters->Increment("workers_lost", ToString(loss->kind));
  telemetry_.log->Write(
      "worker_lost", {{"worker", loss->worker.value()},
                      {"how", ToString(loss->kind)},
                      {"runs", static_cast<std::int64_t>(loss->runs.size())},
                      {"suspects", static_cast<std::int64_t>(
                                       workers::FindSuspects(*loss).size())}});
  worker_lost.emit(*loss);
}

void Fleet::PollForSuspects(Worker* worker, base::TimePoint now,
                            std::vector<Action>* actions) {
  if (!worker->has_suspects() || !worker->is_claimed ||
      worker->failed_polls > 0 ||
      now - worker->suspects_polled_at < workers::kSuspectAge) {
    return;
  }
  const bool is_due = std::any_of(
      worker->runs().begin(), worker->runs().end(), [now](const auto& entry) {
        const Run& run = entry.second;
        return run.is_suspect && !run.was_lost_before &&
               run.state == RunState::kRunning && !workers::IsYoungAt(run, now);
      });
  if (is_due) {
    worker->suspects_polled_at = now;
    PollImmediately(worker, actions);
  }
}

}  // namespace dotterelbarrow::core::scheduler
