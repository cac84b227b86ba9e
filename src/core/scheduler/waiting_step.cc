#include "dotterelbarrow/core/scheduler/waiting_step.h"

namespace dotterelbarrow::core::scheduler {

const char* ToString(WaitReason reason) {
  switch (reason) {
    case WaitReason::kStoring:
      return "storing";
    case WaitReason::kUntrackedRuns:
      return "unseen_workers";
    case WaitReason::kUnconfirmedOwner:
      return "unconfirmed_owner";
    case WaitReason::kAdvice:
      return "advice";
    case WaitReason::kFreeResources:
      return "room";
    case WaitReason::kCap:
      return "cap";
    case WaitReason::kOrphanedMembers:
      return "straying_members";
    case WaitReason::kIsolation:
      return "isolation";
    case WaitReason::kLocalWorker:
      return "local_worker";
    case WaitReason::kFleetTooSmall:
      return "fleet_too_small";
    case WaitReason::kCapTooSmall:
      return "cap_too_small";
  }
  return "unknown";
}

bool MayRunOn(const workers::Worker& worker, const WaitingStep& item,
              base::TimePoint now) {
  return worker.CanAcceptWork(now) && MayRunIfIsolated(worker, item);
}

bool MayRunIfIsolated(const workers::Worker& worker, const WaitingStep& item) {
  return worker.AcceptsWorkIfIsolated() && !worker.has_suspects() &&
         worker.listing().service == item.queue->service &&
         placement::IsSuitable(worker, item.job->SpecOf(item.step));
}

}  // namespace dotterelbarrow::core::scheduler
