// Decides which tasks are suspected of crashing workers, and which are guilty.
#include "dotterelbarrow/core/jobs/crash_history.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::jobs {

const char* ToString(CrashBlame blame) {
  switch (blame) {
    case CrashBlame::kSole:
      return "sole";
    case CrashBlame::kShared:
      return "shared";
    case CrashBlame::kFaint:
      return "faint";
  }
  return "unknown";
}

bool CrashHistory::Add(Attempt attempt, CrashBlame blame) {
  if (blame == CrashBlame::kFaint) {
    ++faint_crashes_;
    return false;
  }
  const bool is_known = std::any_of(
      crashes_.begin(), crashes_.end(),
      [attempt](const Crash& crash) { return crash.attempt == attempt; });
  if (is_known) {
    return false;
  }
  crashes_.push_back({attempt, blame});
  has_survived_ = false;
  return true;
}

bool CrashHistory::AddLoss(const Loss& loss) {
  if (std::find(losses_.begin(), losses_.end(), loss) != losses_.end()) {
    return false;
  }
  if (losses_.size() == kMaxLosses) {
    losses_.erase(losses_.begin());
  }
  losses_.push_back(loss);
  has_survived_ = false;
  return true;
}

bool CrashHistory::ProveLosses(const WorkerIncarnation& worker) {
  const std::vector<Loss> losses = losses_;
  if (!DisproveLosses(worker)) {
    return false;
  }
  for (const Loss& loss : losses) {
    if (IsSameIncarnation(loss.worker, worker)) {
      Add(loss.attempt, loss.blame);
    }
  }
  return true;
}

bool CrashHistory::DisproveLosses(const WorkerIncarnation& worker) {
  return std::erase_if(losses_, [&worker](const Loss& loss) {
           return IsSameIncarnation(loss.worker, worker);
         }) > 0;
}

bool CrashHistory::DisproveCrash(Attempt attempt) {
  const auto is_of_attempt = [attempt](const auto& record) {
    return record.attempt == attempt;
  };
  return std::erase_if(crashes_, is_of_attempt) +
             std::erase_if(losses_, is_of_attempt) >
         0;
}

void CrashHistory::AnnounceStart(Attempt attempt,
                                 std::vector<WorkerIncarnation> workers) {
  announced_ = AnnouncedStart{attempt, std::move(workers), false};
}

bool CrashHistory::ConfirmStart(Attempt attempt) {
  return announced_start() == attempt &&
         !std::exchange(announced_->is_confirmed, true);
}

bool CrashHistory::ConfirmStart(Attempt attempt,
                                std::vector<WorkerIncarnation> workers) {
  if (!ConfirmStart(attempt)) {
    return false;
  }
  announced_->workers = std::move(workers);
  return true;
}

bool CrashHistory::OnEnded(Attempt attempt) {
  if (announced_start() != attempt) {
    return false;
  }
  announced_.reset();
  return true;
}

void CrashHistory::CountMissingStart() {
  if (const auto missing = std::exchange(announced_, std::nullopt)) {
    Add(missing->attempt, CrashBlame::kShared);
  }
}

void CrashHistory::OnSurvived(bool forget) {
  has_survived_ = true;
  losses_.clear();
  if (forget) {
    crashes_.clear();
    faint_crashes_ = 0;
  }
}

bool CrashHistory::is_suspect() const {
  const bool was_lost = !crashes_.empty() || !losses_.empty();
  return (was_lost && !has_survived_) || was_lost_before();
}

bool CrashHistory::IsGuilty(std::size_t sole_crashes,
                            bool has_precedent) const {
  const std::size_t sole = Count(CrashBlame::kSole);
  const bool was_sole_at_last =
      !crashes_.empty() && crashes_.back().blame == CrashBlame::kSole;
  return sole >= sole_crashes || crashes_.size() >= kMaxCrashes ||
         (sole > 0 && crashes_.size() >= kMaxCrashesWithProof) ||
         (has_precedent && was_sole_at_last &&
          crashes_.size() >= kCrashesWithPrecedent);
}

std::size_t CrashHistory::Count(CrashBlame blame) const {
  return static_cast<std::size_t>(std::count_if(
      crashes_.begin(), crashes_.end(),
      [blame](const Crash& crash) { return crash.blame == blame; }));
}

}  // namespace dotterelbarrow::core::jobs
