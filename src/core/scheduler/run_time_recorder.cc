// Selects the runs that say something about run times.
#include "dotterelbarrow/core/scheduler/run_time_recorder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "dotterelbarrow/core/placement/speed_preference.h"

namespace dotterelbarrow::core::scheduler {
namespace {

constexpr const char* kSummaryKey = "summary";
// An owner learns the speeds of most workers anew in five seconds.
constexpr base::Duration kSummaryPeriod = std::chrono::seconds(3);
constexpr base::Duration kLogPeriod = std::chrono::seconds(2);
// Workers that are listed later have had other runs since.
constexpr base::Duration kMaxRestoreAge = std::chrono::seconds(20);
// Bounds a record to about ten kilobytes: workers with a slowness below
// kMinLogSlowness need no entry, and a quarter of 350 workers differ by more.
constexpr std::size_t kMaxWorkerEntries = 150;
constexpr std::size_t kMaxQueueEntries = 100;
constexpr double kMinLogSlowness = 0.1;
constexpr double kThousandths = 1000;
// Runs that end sooner were not run.
constexpr base::Duration kMinRunTime = std::chrono::milliseconds(5);

// Returns why the end of the run says nothing about run times; null if it does.
const char* WhyUnusable(const workers::Worker& worker, const workers::Run& run,
                        jobs::RunEnd end, jobs::Job* job) {
  if (end != jobs::RunEnd::kDone) {
    return "not_done";
  }
  const jobs::Task* task = job == nullptr ? nullptr : job->FindTask(run.task);
  if (task == nullptr) {
    return "unknown_job";
  }
  const jobs::StepSpec& spec = job->SpecOf(run.task.step);
  if (spec.long_running || spec.fills_idle_cpu) {
    return "kind_of_step";
  }
  // An adopted run, or a start without an answer: the start is not known.
  if (run.start_confirmed_ms == 0 ||
      run.state == workers::RunState::kStopping) {
    return "start_unknown";
  }
  if (!task->checkpoint.empty()) {
    return "resumed";
  }
  if (worker.listing().cold_remaining > base::Duration(0)) {
    return "cold_worker";
  }
  // The factor by which remote data slows down a task differs by task.
  if (!spec.data_rack.empty() && spec.data_rack != worker.listing().rack) {
    return "remote_data";
  }
  return nullptr;
}

}  // namespace

void RunTimeRecorder::OnRunEnded(const workers::Worker& worker,
                                 const workers::Run& run, jobs::RunEnd end,
                                 jobs::Job* job, base::TimePoint now) {
  if (const char* reason = WhyUnusable(worker, run, end, job)) {
    telemetry_.counters->Increment("run_times_skipped", reason);
    return;
  }
  // On the worker's clock, so that the time that the messages take is no part
  // of it.
  const base::Duration run_time = std::chrono::milliseconds(
      worker.clock.Estimate(now) - run.start_confirmed_ms);
  if (run_time < kMinRunTime || run.estimate <= base::Duration(0)) {
    telemetry_.counters->Increment("run_times_skipped", "no_duration");
    return;
  }
  telemetry_.counters->Increment("run_times_used",
                                 run.is_gang_member ? "gang" : "task");
  model_->RecordRun({.worker = worker.number(),
                     .queue = job->queue,
                     .task = run.task,
                     .is_gang_member = run.is_gang_member,
                     .estimate = run.estimate,
                     .run_time = run_time},
                    now);
}

void RunTimeRecorder::Tick(base::TimePoint now) {
  model_->Decay(now);
  if (now >= next_log_ && model_->known_workers() > 0) {
    next_log_ = now + kLogPeriod;
    Log();
  }
}

void RunTimeRecorder::Log() const {
  const workers::Worker* slowest = nullptr;
  const workers::Worker* fastest = nullptr;
  std::int64_t slow = 0;
  for (const auto& [id, worker] : fleet_->workers()) {
    const double slowness = model_->SlownessOf(worker.number());
    if (slowest == nullptr ||
        slowness > model_->SlownessOf(slowest->number())) {
      slowest = &worker;
    }
    if (fastest == nullptr ||
        slowness < model_->SlownessOf(fastest->number())) {
      fastest = &worker;
    }
    slow += placement::WastesGang(slowness) ? 1 : 0;
  }
  if (slowest == nullptr) {
    return;
  }
  const auto thousandths = [this](const workers::Worker& worker) {
    return static_cast<std::int64_t>(
        std::llround(model_->SlownessOf(worker.number()) * kThousandths));
  };
  telemetry_.log->Write(
      "worker_speeds",
      {{"known", static_cast<std::int64_t>(model_->known_workers())},
       {"slow", slow},
       {"slowest", slowest->id().value()},
       {"slowest_permille", thousandths(*slowest)},
       {"fastest", fastest->id().value()},
       {"fastest_permille", thousandths(*fastest)}});
}

RunTimeSummary RunTimeRecorder::MakeSummary() const {
  RunTimeSummary summary;
  summary.known_workers = model_->known_workers();
  std::vector<std::pair<double, const workers::Worker*>> uneven;
  for (const auto& [id, worker] : fleet_->workers()) {
    const auto index = static_cast<std::size_t>(worker.number().value());
    if (index >= model_->speeds().size()) {
      continue;
    }
    const placement::WorkerSpeed& speed = model_->speeds()[index];
    const double distance = std::abs(speed.log_slowness());
    if (speed.is_known() && distance >= kMinLogSlowness &&
        worker.listing().born_ms != workers::kUnknownIncarnation) {
      uneven.emplace_back(distance, &worker);
    }
  }
  // The most uneven ones first.
  std::sort(uneven.begin(), uneven.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->id() < b.second->id();
  });
  uneven.resize(std::min(uneven.size(), kMaxWorkerEntries));
  for (const auto& [distance, worker] : uneven) {
    const placement::WorkerSpeed& speed =
        model_->speeds()[static_cast<std::size_t>(worker->number().value())];
    summary.workers[worker->id()] = {worker->listing().born_ms,
                                     speed.log_slowness(), speed.weight()};
  }
  for (const auto& [id, queue] : model_->queues()) {
    if (queue.is_known() && summary.queues.size() < kMaxQueueEntries) {
      summary.queues[id] = queue.moments();
    }
  }
  return summary;
}

std::optional<RecordChange> RunTimeRecorder::TakeSummary(base::TimePoint now) {
  if (now < next_summary_ ||
      (model_->known_workers() == 0 && model_->queues().empty())) {
    return std::nullopt;
  }
  next_summary_ = now + kSummaryPeriod;
  std::string summary = EncodeRunTimeSummary(MakeSummary());
  if (summary.size() > JobPages::kMaxPartBytes) {
    // The stored summary, which is older, remains.
    telemetry_.counters->Increment("run_time_summaries_dropped", "too_large");
    return std::nullopt;
  }
  return RecordChange{RecordTable::kRunTimes, kSummaryKey, std::move(summary)};
}

bool RunTimeRecorder::Restore(const std::string& text, base::TimePoint now,
                              base::Failure* reason) {
  auto summary = DecodeRunTimeSummary(text, reason);
  if (!summary) {
    return false;
  }
  for (const base::Failure& failure : summary->unreadable_entries) {
    telemetry_.counters->Increment("run_times_not_restored",
                                   "unreadable_entry");
    telemetry_.log->Write(
        "run_time_entry_unreadable",
        {{"reason", ToString(failure.code)}, {"detail", failure.detail}});
  }
  for (const auto& [id, moments] : summary->queues) {
    model_->RestoreQueue(id, moments, now);
  }
  model_->set_restored_workers(summary->known_workers);
  restored_ = std::move(summary->workers);
  restored_until_ = now + kMaxRestoreAge;
  OnListed(now);
  return true;
}

void RunTimeRecorder::OnListed(base::TimePoint now) {
  if (now > restored_until_) {
    restored_.clear();
  }
  std::erase_if(restored_, [&](const auto& entry) {
    const workers::Worker* worker = fleet_->Find(entry.first);
    if (worker == nullptr ||
        worker->listing().born_ms == workers::kUnknownIncarnation) {
      return false;
    }
    if (worker->listing().born_ms == entry.second.born_ms) {
      model_->RestoreWorker(worker->number(), entry.second.log_slowness,
                            entry.second.weight, now);
    } else {
      telemetry_.counters->Increment("run_times_not_restored",
                                     "other_incarnation");
    }
    return true;
  });
}

}  // namespace dotterelbarrow::core::scheduler
