// Applies durable records to the jobs and claims of a partition, and encodes
// them again for snapshots.
#include "dotterelbarrow/core/job_table.h"

#include <algorithm>

#include "dotterelbarrow/core/json_text.h"

namespace dotterelbarrow::core {

void JobTable::Apply(const JobRecord& record, base::TimePoint now) {
  std::visit([&](const auto& each) { ApplyRecord(each, now); }, record);
}

void JobTable::ApplyRecord(const JobAccepted& accepted, base::TimePoint now) {
  const base::JobId id{accepted.request.team, accepted.request.id};
  const auto [it, inserted] = jobs_.try_emplace(id);
  if (!inserted) {
    return;
  }
  Job& job = it->second;
  job.id = id;
  job.request = accepted.request;
  job.from_ticket = accepted.from_ticket;
  job.accepted_at = now;
  job.tasks.resize(accepted.request.task_count);
  ++active_by_team_[id.team];
}

void JobTable::ApplyRecord(const TaskStarting& starting,
                           base::TimePoint /*now*/) {
  Job* job = Find(starting.job);
  if (job != nullptr && starting.index < job->tasks.size()) {
    job->tasks[starting.index].start_recorded = true;
  }
}

void JobTable::ApplyRecord(const TaskSucceeded& success,
                           base::TimePoint /*now*/) {
  Job* job = Find(success.job);
  if (job == nullptr || success.index >= job->tasks.size()) {
    return;
  }
  Task& task = job->tasks[success.index];
  if (task.phase != TaskPhase::kFinished) {
    task.phase = TaskPhase::kFinished;
    ++job->settled;
  }
  task.succeeded = true;
}

void JobTable::ApplyRecord(const JobEnded& ended, base::TimePoint /*now*/) {
  Job* job = Find(ended.job);
  if (job == nullptr || job->answer) {
    return;
  }
  job->ending = ended.answer;
  job->answer = ended.answer;
  --active_by_team_[ended.job.team];
  if (job->from_ticket) {
    ended_ticket_jobs_.insert(ended.job);
    return;
  }
  evictable_.push_back(ended.job);
  EvictOldest();
}

void JobTable::ApplyRecord(const KeyClaimed& claimed, base::TimePoint /*now*/) {
  const ClaimId id(claimed.team, claimed.key);
  const std::uint64_t order = last_claim_order_ + 1;
  const KeyClaim claim{claimed.request, claimed.entry, claimed.call, {}, order};
  if (!claims_.try_emplace(id, claim).second) {
    return;
  }
  last_claim_order_ = order;
  claim_order_.emplace(order, id);
  EvictOldest();
}

void JobTable::ApplyRecord(const KeyResolved& resolved,
                           base::TimePoint /*now*/) {
  const auto it = claims_.find(ClaimId(resolved.team, resolved.key));
  if (it == claims_.end()) {
    return;
  }
  if (resolved.answer.outcome == Outcome::kNotRun) {
    // kNotRun means that nothing was sent, so the key may be claimed again.
    claim_order_.erase(it->second.order);
    claims_.erase(it);
    return;
  }
  it->second.answer = resolved.answer;
}

void JobTable::ReleaseTicketJob(const base::JobId& id) {
  if (ended_ticket_jobs_.erase(id) > 0) {
    evictable_.push_back(id);
    EvictOldest();
  }
}

Job* JobTable::Find(const base::JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::pair<Job*, Task*> JobTable::FindAttempt(const base::TaskId& id) {
  Job* job = Find(id.job);
  if (job == nullptr || id.index >= job->tasks.size()) {
    return {nullptr, nullptr};
  }
  Task& task = job->tasks[id.index];
  if (task.attempt != id.attempt) {
    return {nullptr, nullptr};
  }
  return {job, &task};
}

const JobTable::KeyClaim* JobTable::FindClaim(const ClaimId& id) const {
  const auto it = claims_.find(id);
  return it == claims_.end() ? nullptr : &it->second;
}

std::size_t JobTable::active(const base::TeamId& team) const {
  const auto it = active_by_team_.find(team);
  return it == active_by_team_.end() ? 0 : it->second;
}

void JobTable::EvictOldest() {
  while (evictable_.size() > kMaxEndedJobs) {
    const Job* oldest = Find(evictable_.front());
    if (oldest != nullptr && oldest->settled < oldest->tasks.size()) {
      break;  // Tasks still being stopped must stay tracked until they end.
    }
    jobs_.erase(evictable_.front());
    evictable_.pop_front();
  }
  while (claim_order_.size() > kMaxClaims) {
    claims_.erase(claim_order_.begin()->second);
    claim_order_.erase(claim_order_.begin());
  }
}

std::string JobTable::Snapshot() const {
  std::string text = "[";
  const auto add = [&text](const JobRecord& record) {
    text += text.size() > 1 ? "," : "";
    text += EncodeRecord(record);
  };
  for (const auto& [id, job] : jobs_) {
    add(JobAccepted{job.request, job.from_ticket});
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
      if (job.tasks[index].start_recorded) {
        add(TaskStarting{id, index});
      }
      if (job.tasks[index].succeeded) {
        add(TaskSucceeded{id, index});
      }
    }
  }
  const auto add_end = [&](const base::JobId& id) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) {
      add(JobEnded{id, *it->second.answer});
    }
  };
  std::for_each(evictable_.begin(), evictable_.end(), add_end);
  std::for_each(ended_ticket_jobs_.begin(), ended_ticket_jobs_.end(), add_end);
  for (const auto& [order, id] : claim_order_) {
    const KeyClaim& claim = claims_.at(id);
    add(KeyClaimed{id.first, id.second, claim.request, claim.entry,
                   claim.call});
    if (claim.answer) {
      add(KeyResolved{id.first, id.second, *claim.answer});
    }
  }
  return text + "]";
}

void JobTable::Restore(const std::string& snapshot, base::TimePoint now) {
  for (const Json::Value& value : ParseText(snapshot)) {
    const std::optional<JobRecord> record = DecodeRecord(ToText(value));
    if (record) {
      Apply(*record, now);
    }
  }
}

}  // namespace dotterelbarrow::core
