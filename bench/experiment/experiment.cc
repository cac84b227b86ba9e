// Drives the scheduler in the way that member::OwnerTerm does.
#include "bench/experiment/experiment.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <utility>

#include "dotterelbarrow/base/hash.h"
#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/core/placement/speed_preference.h"

namespace dotterelbarrow::bench {
namespace {

using core::jobs::JobKey;
using core::scheduler::AdviceResult;
using core::scheduler::CommandOutcome;

constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1'000'000;
// A message to a worker and its answer, and one transaction of the store.
constexpr std::int64_t kRoundTrip = 2 * kMillisecond;
constexpr std::int64_t kTransaction = 12 * kMillisecond;
// The same values as member::OwnerTerm.
constexpr std::int64_t kPassDelay = 3 * kMillisecond;
constexpr std::int64_t kMinWriteInterval = 20 * kMillisecond;
constexpr std::int64_t kTickPeriod = 20 * kMillisecond;
constexpr base::Duration kSaturatedRetryAfter = std::chrono::seconds(1);
// Time to claim the workers before the first job arrives, and for the last jobs
// to finish.
constexpr std::int64_t kWarmUp = 2 * kSecond;
constexpr std::int64_t kDrain = 30 * kSecond;
constexpr double kMillicores = 1000;
// The weight of a speed that is known from the beginning.
constexpr double kCertain = 4000;
// Make the draws of workers' speeds, of long runs and of noise independent.
constexpr std::uint64_t kSpeedSalt = 7919;
constexpr std::uint64_t kTailSalt = 1'000'003;
constexpr std::uint64_t kNoiseSalt = 2'000'003;
// A late job earns this fraction of its value up to this many times its
// objective.
constexpr double kLateFraction = 0.2;
constexpr double kExpiryFactor = 3;
constexpr double kUnitIntervalScale = 1.0 / 9007199254740992.0;  // 2^-53

// A run that takes this many times as long is never worth it.
constexpr double kUselessFactor = 100;

const char* const kService = "service";

core::desired::Queue QueueOf(const Kind& kind) {
  core::desired::Queue queue;
  queue.id = core::desired::QueueId(kind.name);
  queue.service = base::ServiceId(kService);
  queue.priority = kind.priority;
  queue.max_attempts = 3;
  queue.slack_factor = kind.slack_factor;
  queue.completion_target =
      std::chrono::milliseconds(std::llround(kind.target_ms));
  if (kind.decision_ms > 0) {
    queue.advice = core::desired::AdvicePolicy{
        std::chrono::microseconds(std::llround(kind.decision_ms * 1000)),
        std::chrono::microseconds(std::llround(kind.per_worker_ms * 1000)),
        std::chrono::microseconds(std::llround(kind.valid_ms * 1000))};
  }
  return queue;
}

core::scheduler::SchedulerSettings SettingsOf(
    const Pattern& pattern, const ExperimentOptions& options) {
  core::scheduler::SchedulerSettings settings;
  settings.dispatcher.uses_run_times = options.uses_run_times;
  settings.dispatcher.preemption = {
      .stop_timeout =
          std::chrono::milliseconds(std::llround(pattern.stop_timeout_ms)),
      .restore_time =
          std::chrono::milliseconds(std::llround(pattern.restore_ms))};
  switch (options.wait) {
    case WaitMode::kNever:
      break;
    case WaitMode::kPolicy:
      settings.dispatcher.remote_factor = pattern.remote_factor;
      break;
    case WaitMode::kAlways:
      settings.dispatcher.remote_factor = kUselessFactor;
      break;
  }
  return settings;
}

// Returns a pseudorandom number from 0 to 1 that depends only on the inputs.
double HashToFraction(std::uint64_t a, std::uint64_t b) {
  return static_cast<double>(base::MixBits(base::MixBits(a) ^ b) >> 11) *
         kUnitIntervalScale;
}

}  // namespace

class Experiment::Log : public core::scheduler::DecisionLog {
 public:
  Log(Experiment* experiment, bool is_shown)
      : experiment_(experiment), is_shown_(is_shown) {}

  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override {
    if (!is_shown_) {
      return;
    }
    std::cout << static_cast<double>(experiment_->timeline_.now_us()) / kSecond
              << " event=" << event;
    for (const auto& [name, value] : fields) {
      std::cout << ' ' << name << '=';
      std::visit([](const auto& shown) { std::cout << shown; }, value);
    }
    std::cout << '\n';
  }

 private:
  Experiment* experiment_;
  bool is_shown_;
};

Experiment::Experiment(const Pattern& pattern, const ExperimentOptions& options)
    : pattern_(pattern),
      options_(options),
      organisations_(pattern),
      fleet_(
          &timeline_,
          [this](const core::scheduler::StartTask& command) {
            return PlanOf(command);
          },
          std::llround(pattern.stop_ms * kMillisecond)),
      log_(std::make_unique<Log>(this, options.is_log_shown)),
      scheduler_(SettingsOf(pattern, options),
                 core::scheduler::Telemetry{log_.get(), &counters_}),
      random_(options.seed) {
  outcome_.kinds.resize(pattern_.kinds.size());
}

Experiment::~Experiment() = default;

double Experiment::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void Experiment::AddWorkers() {
  std::vector<core::workers::Listing> listings;
  for (int i = 0; i < pattern_.workers; ++i) {
    core::workers::Listing listing;
    listing.id = base::BackendId("worker-" + std::to_string(i));
    listing.address = listing.id.value();
    listing.service = base::ServiceId(kService);
    listing.capacity = {
        base::Millicores(std::llround(pattern_.cores * kMillicores)),
        base::Mebibytes(std::llround(pattern_.memory_mb)),
        base::Accelerators(0), base::Slots(0)};
    listing.born_ms = 1;
    double from = 0;
    const double drawn = HashToFraction(static_cast<std::uint64_t>(i) + 1,
                                        options_.seed * kSpeedSalt);
    for (const SlowShare& speed : pattern_.speeds) {
      if (drawn >= from && drawn < from + speed.share) {
        slowness_[listing.id.value()] = speed.factor;
      }
      from += speed.share;
    }
    if (pattern_.rack_size > 0) {
      listing.rack = "rack-" + std::to_string(i / pattern_.rack_size);
      fleet_.SetRack(listing.id.value(), listing.rack);
    }
    listings.push_back(std::move(listing));
  }
  scheduler_.UpdateListings(std::move(listings), timeline_.Now(),
                            timeline_.Now());
}

void Experiment::RestoreSpeeds() {
  core::scheduler::RunTimeSummary summary;
  summary.known_workers = static_cast<std::size_t>(pattern_.workers);
  for (const auto& [id, worker] : scheduler_.fleet().workers()) {
    summary.workers[id] = {1, std::log(SlownessOf(id.value())), kCertain};
  }
  scheduler_.RestoreRunTimes("speeds",
                             core::scheduler::EncodeRunTimeSummary(summary),
                             timeline_.Now());
}

double Experiment::SlownessOf(const std::string& worker) const {
  const auto steady = slowness_.find(worker);
  const auto spell = spell_ends_us_.find(worker);
  const bool is_in_spell =
      spell != spell_ends_us_.end() && timeline_.now_us() < spell->second;
  return (steady == slowness_.end() ? 1 : steady->second) *
         (is_in_spell ? pattern_.spells.factor : 1);
}

void Experiment::CheckSpeeds() {
  int slow = 0;
  int slow_found = 0;
  int others = 0;
  int others_right = 0;
  for (const auto& [id, worker] : scheduler_.fleet().workers()) {
    const bool is_taken_for_slow = core::placement::WastesGang(
        scheduler_.run_times().SlownessOf(worker.number()));
    if (core::placement::WastesGang(SlownessOf(id.value()))) {
      ++slow;
      slow_found += is_taken_for_slow ? 1 : 0;
    } else {
      ++others;
      others_right += is_taken_for_slow ? 0 : 1;
    }
  }
  outcome_.speeds.push_back(
      {static_cast<double>(timeline_.now_us() - kWarmUp) / kSecond,
       slow > 0 ? static_cast<double>(slow_found) / slow : 1,
       others > 0 ? static_cast<double>(others_right) / others : 1});
}

void Experiment::BeginSlowSpell() {
  const auto worker =
      static_cast<int>(Uniform(0, 1) * static_cast<double>(pattern_.workers));
  spell_ends_us_["worker-" + std::to_string(worker)] =
      timeline_.now_us() + std::llround(pattern_.spells.for_s * kSecond);
  timeline_.After(
      std::llround(std::exponential_distribution<double>(
                       pattern_.spells.per_s *
                       static_cast<double>(pattern_.workers))(random_) *
                   kSecond),
      [this] { BeginSlowSpell(); });
}

void Experiment::ScheduleSubmissions() {
  for (std::size_t i = 0; i < pattern_.kinds.size(); ++i) {
    const Kind& kind = pattern_.kinds[i];
    double at_s = 0;
    while (true) {
      double rate = kind.jobs_per_s * organisations_.LoadAt(at_s);
      for (const Burst& burst : kind.bursts) {
        const bool is_on =
            at_s >= burst.at_s && at_s < burst.at_s + burst.for_s;
        rate *= is_on ? burst.times : 1;
      }
      at_s += std::exponential_distribution<double>(rate)(random_);
      if (at_s >= pattern_.seconds) {
        break;
      }
      timeline_.After(kWarmUp + std::llround(at_s * kSecond),
                      [this, i] { Submit(i); });
    }
  }
}

void Experiment::ChooseRack(const Kind& kind, std::uint32_t index,
                            core::jobs::StepSpec* step) {
  // Without racks nothing is drawn, so that patterns without them keep their
  // jobs.
  if (pattern_.rack_size == 0) {
    return;
  }
  const int racks = pattern_.workers / pattern_.rack_size;
  if (Uniform(0, 1) < kind.data_rack) {
    const bool is_hot = Uniform(0, 1) < kind.hot_rack;
    const int rack = is_hot ? 0 : static_cast<int>(Uniform(0, racks));
    step->data_rack = "rack-" + std::to_string(rack);
  } else if (step->gang && Uniform(0, 1) < kind.same_rack) {
    step->prefers_one_rack = true;
  }
  if (!step->data_rack.empty() || step->prefers_one_rack) {
    rack_steps_[{JobKey(last_job_), 0, index}] = step->data_rack;
  }
}

core::jobs::JobSpec Experiment::MakeSpec(const Kind& kind, SubmittedJob* job) {
  core::jobs::JobSpec spec;
  const double extra = kind.steps - 1;
  const int steps = 1 + (Uniform(0, 1) < extra ? 1 : 0);
  const bool is_gang = Uniform(0, 1) < kind.gang;
  const bool has_checkpoints =
      kind.checkpoints > 0 && Uniform(0, 1) < kind.checkpoints;
  double chain_us = 0;
  std::vector<std::int64_t> work;
  for (int i = 0; i < steps; ++i) {
    core::jobs::StepSpec step;
    step.tasks = static_cast<std::uint32_t>(std::clamp<double>(
        std::round(
            std::exponential_distribution<double>(1 / kind.tasks)(random_)),
        1, 6 * kind.tasks));
    step.gang = is_gang && step.tasks > 1;
    step.checkpoints = has_checkpoints;
    if (step.gang) {
      gang_sizes_[{JobKey(last_job_), 0, static_cast<std::uint32_t>(i)}] =
          step.tasks;
    }
    const double task_us =
        kind.task_ms * static_cast<double>(kMillisecond) * Uniform(0.4, 1.6);
    step.needs = {
        base::Millicores(
            std::llround(kind.cores * kMillicores * Uniform(0.6, 1.4))),
        base::Mebibytes(std::llround(kind.memory_mb * Uniform(0.5, 1.5))),
        base::Accelerators(0), base::Slots(0)};
    step.estimate = std::chrono::microseconds(std::llround(
        task_us * Uniform(1 - kind.estimate_off / 2, 1 + kind.estimate_off)));
    if (i > 0) {
      step.depends_on = {static_cast<std::uint32_t>(i - 1)};
    }
    chain_us += task_us;
    job->work += static_cast<double>(step.tasks) * task_us / kSecond *
                 static_cast<double>(step.needs.cpu.value()) / kMillicores;
    ChooseRack(kind, static_cast<std::uint32_t>(i), &step);
    work.push_back(std::llround(task_us));
    spec.steps.push_back(std::move(step));
  }
  const double advice_us =
      (kind.decision_ms + 30 * kind.per_worker_ms) * kMillisecond * steps;
  job->objective_us = kind.slack_factor * (chain_us + advice_us) +
                      (kind.target_ms - pattern_.call_ms) * kMillisecond;
  task_duration_us_[JobKey(last_job_)] = std::move(work);
  return spec;
}

void Experiment::Submit(std::size_t index) {
  const Kind& kind = pattern_.kinds[index];
  const JobKey key(++last_job_);
  const double at_s =
      static_cast<double>(timeline_.now_us() - kWarmUp) / kSecond;
  SubmittedJob job{.kind = index,
                   .organisation = organisations_.OrganisationOf(
                       key.value(), options_.seed, at_s),
                   .at_us = timeline_.now_us()};
  auto spec = std::make_shared<const core::jobs::JobSpec>(MakeSpec(kind, &job));
  KindOutcome& outcome = OutcomeOf(job);
  ++outcome.jobs;
  outcome.work += job.work;
  outcome.value += kind.value;
  organisations_.AddJob(job.organisation, kind.value);
  kind_of_job_[key] = index;
  open_jobs_.emplace(key, job);
  Send(key, spec, pattern_.retries);
}

void Experiment::Send(JobKey key,
                      const std::shared_ptr<const core::jobs::JobSpec>& spec,
                      int retries) {
  RunAsOwner("submit", [this, key, spec, retries] {
    const SubmittedJob& job = open_jobs_.at(key);
    const core::scheduler::SubmitResult answer =
        !scheduler_.IsKnown(key) && !gate_.TryAcquire()
            ? core::scheduler::
                  SubmitResult{core::scheduler::SubmitOutcome::kRefused,
                               "owner_saturated", kSaturatedRetryAfter}
            : scheduler_.Submit(
                  {key, core::desired::QueueId(pattern_.kinds[job.kind].name),
                   organisations_.IdOf(job.organisation), *spec},
                  core::scheduler::WaiterId(key.value()),
                  timeline_.now_us() / kMillisecond, timeline_.Now());
    SchedulePass();
    if (answer.outcome != core::scheduler::SubmitOutcome::kRefused) {
      return;
    }
    KindOutcome& outcome = OutcomeOf(job);
    ++outcome.refusals;
    ++outcome_.refusals[answer.reason];
    if (retries == 0) {
      ++outcome.refused;
      open_jobs_.erase(key);
      return;
    }
    // The answer to the caller has whole seconds.
    const auto wait =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    timeline_.After(wait.count() * kSecond, [this, key, spec, retries] {
      Send(key, spec, retries - 1);
    });
  });
}

RunPlan Experiment::PlanOf(const core::scheduler::StartTask& command) {
  const core::jobs::TaskRef& task = command.task;
  const JobKey key = task.step.job;
  const Kind& kind = pattern_.kinds[kind_of_job_[key]];
  const std::uint64_t base =
      key.value() * 1009 + std::uint64_t{task.step.step} * 101;
  const std::uint64_t run =
      std::uint64_t{command.attempt.value()} * 31 + options_.seed;
  RunPlan plan;
  plan.duration_us = task_duration_us_[key][task.step.step];
  const auto submitted = open_jobs_.find(key);
  std::uint32_t tasks = 0;
  if (submitted != open_jobs_.end() && !submitted->second.has_started) {
    submitted->second.has_started = true;
    OutcomeOf(submitted->second)
        .first_start_ms.push_back(
            static_cast<double>(timeline_.now_us() - submitted->second.at_us) /
            kMillisecond);
  }
  if (const auto it = gang_sizes_.find(task.step); it != gang_sizes_.end()) {
    tasks = it->second;
  }
  plan.gang_size = tasks;
  // The members of a gang work together, so that they share their noise.
  const std::uint64_t of_run =
      base + (tasks > 0 ? 0 : std::uint64_t{task.index} * 7);
  double factor = SlownessOf(command.worker.id.value());
  if (HashToFraction(of_run, run + kTailSalt) < pattern_.tail.share) {
    factor *= pattern_.tail.factor;
  }
  if (kind.noise > 0) {
    // The sum of twelve uniform numbers is nearly normal, with variance 1.
    double sum = -6;
    for (std::uint64_t i = 0; i < 12; ++i) {
      sum += HashToFraction(of_run, run + kNoiseSalt + i);
    }
    factor *= std::exp(kind.noise * sum);
  }
  plan.duration_us =
      std::llround(static_cast<double>(plan.duration_us) * factor);
  plan.writes_checkpoints = kind.checkpoints > 0;
  plan.restore_us = std::llround(pattern_.restore_ms * kMillisecond);
  if (const auto it = rack_steps_.find(task.step); it != rack_steps_.end()) {
    plan.remote_factor = pattern_.remote_factor;
    plan.data_rack = it->second;
  }
  plan.fails =
      HashToFraction(base + std::uint64_t{task.index} * 7, run) < kind.failing;
  return plan;
}

KindOutcome& Experiment::OutcomeOf(const SubmittedJob& job) {
  return job.at_us - kWarmUp >= std::llround(options_.counted_from_s * kSecond)
             ? outcome_.kinds[job.kind]
             : uncounted_;
}

void Experiment::RunAsOwner(const char* what, std::function<void()> work) {
  if (has_owner_costs() && owner_busy_until_us_ > timeline_.now_us()) {
    timeline_.After(owner_busy_until_us_ - timeline_.now_us(),
                    [this, what, work = std::move(work)]() mutable {
                      RunAsOwner(what, std::move(work));
                    });
    return;
  }
  modelled_us_ = options_.costs ? options_.costs->message_received_us : 0;
  const auto begun = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begun;
  outcome_.cpu_s[what] += spent.count();
  if (has_owner_costs()) {
    owner_busy_until_us_ = timeline_.now_us() + CostOf(spent.count());
  }
}

std::int64_t Experiment::CostOf(double measured_s) {
  const double at_s =
      static_cast<double>(timeline_.now_us() - kWarmUp) / kSecond;
  const SlowTime& slow = options_.slow_time;
  const double factor =
      at_s >= slow.at_s && at_s < slow.at_s + slow.for_s ? slow.factor : 1;
  return std::llround(
      factor * (options_.costs ? modelled_us_
                               : measured_s * kSecond / options_.cpu_share));
}

void Experiment::SchedulePass() {
  const auto wait = pass_pacer_.Request(timeline_.Now(),
                                        std::chrono::microseconds(kPassDelay));
  if (wait) {
    timeline_.After(*wait / std::chrono::microseconds(1),
                    [this] { RunPass(); });
  }
}

void Experiment::RunPass() {
  RunAsOwner("pass", [this] {
    pass_pacer_.OnBegun();
    const auto begun = std::chrono::steady_clock::now();
    scheduler_.RunPass(timeline_.Now());
    const std::chrono::duration<double> spent =
        std::chrono::steady_clock::now() - begun;
    if (options_.costs) {
      const core::scheduler::PassEffort effort = scheduler_.TakePassEffort();
      modelled_us_ = options_.costs->pass_us +
                     options_.costs->step_ranked_us *
                         static_cast<double>(effort.steps_ranked) +
                     options_.costs->step_tried_us *
                         static_cast<double>(effort.steps_tried);
    }
    if (has_owner_costs()) {
      pass_pacer_.OnEnded(
          timeline_.Now(),
          timeline_.Now() + std::chrono::microseconds(CostOf(spent.count())));
    }
    CarryOut();
    WriteIfDue();
  });
}

void Experiment::Tick() {
  RunAsOwner("tick", [this] {
    gate_.Update(std::chrono::microseconds(timeline_.now_us() - last_tick_us_ -
                                           kTickPeriod),
                 {scheduler_.TakeJobsBegun(), scheduler_.jobs_in_preparation()},
                 timeline_.Now());
    last_tick_us_ = timeline_.now_us();
    scheduler_.set_poll_stretch(gate_.stretch());
    scheduler_.Tick(timeline_.Now(), timeline_.Now(), 0);
    CarryOut();
    WriteIfDue();
  });
  if (scheduler_.IsPassDue(timeline_.Now())) {
    SchedulePass();
  }
  double used = 0;
  for (const auto& [id, worker] : scheduler_.fleet().workers()) {
    used += static_cast<double>(worker.reserved().cpu.value()) / kMillicores;
  }
  if (timeline_.now_us() > kWarmUp &&
      timeline_.now_us() < kWarmUp + std::llround(pattern_.seconds * kSecond)) {
    used_core_s_ += used * kTickPeriod / kSecond;
  }
  timeline_.After(kTickPeriod, [this] { Tick(); });
}

void Experiment::CarryOut() {
  for (const core::scheduler::Action& action : scheduler_.TakeActions()) {
    modelled_us_ += options_.costs ? options_.costs->message_sent_us : 0;
    CarryOut(action);
  }
}

void Experiment::CarryOut(const core::scheduler::Action& action) {
  std::visit(
      base::Overloaded{
          [this](const core::scheduler::StartTask& order) {
            timeline_.After(kRoundTrip / 2, [this, order] {
              fleet_.Start(order);
              timeline_.After(kRoundTrip / 2, [this, order] {
                RunAsOwner("started", [this, order] {
                  scheduler_.OnStarted(order, CommandOutcome::kDone,
                                       fleet_.ClockMillis(), timeline_.Now());
                  SchedulePass();
                });
              });
            });
          },
          [this](const core::scheduler::StopTask& order) {
            timeline_.After(kRoundTrip, [this, order] {
              fleet_.Stop(order);
              RunAsOwner("stopped", [this, order] {
                scheduler_.OnStopped(order, CommandOutcome::kDone,
                                     fleet_.ClockMillis(), timeline_.Now());
                SchedulePass();
              });
            });
          },
          [this](const core::scheduler::PollWorker& order) {
            timeline_.After(kRoundTrip / 2, [this, order] {
              fleet_.Look(order,
                          [this, order](const core::scheduler::PollResult& r) {
                            timeline_.After(kRoundTrip / 2, [this, order, r] {
                              RunAsOwner("looked", [this, order, r] {
                                scheduler_.OnPolled(order, r, timeline_.Now());
                                SchedulePass();
                              });
                            });
                          });
            });
          },
          [this](const core::scheduler::RequestAdvice& call) {
            AnswerAdviceRequest(call);
          }},
      action);
}

void Experiment::AnswerAdviceRequest(
    const core::scheduler::RequestAdvice& call) {
  ++outcome_.advice_calls;
  const Kind& kind = pattern_.kinds[kind_of_job_[call.step.job]];
  std::int64_t& free_us = advisor_free_us_[call.client.value()];
  const double cost_ms =
      kind.decision_ms +
      kind.per_worker_ms * static_cast<double>(call.workers.size());
  free_us = std::max(free_us, timeline_.now_us() + kRoundTrip) +
            std::llround(cost_ms * kMillisecond);
  AdviceResult result;
  result.outcome = AdviceResult::Outcome::kAnswered;
  result.ticket_validity =
      std::chrono::milliseconds(std::llround(kind.valid_ms));
  const std::uint64_t step = call.step.job.value() * 64 + call.step.step;
  for (const base::BackendId& worker : call.workers) {
    if (HashToFraction(step, std::hash<std::string>()(worker.value())) <
        kind.allowed) {
      result.allowed.push_back({worker, "ticket"});
    }
  }
  timeline_.After(free_us + kRoundTrip - timeline_.now_us(),
                  [this, call, result = std::move(result)] {
                    RunAsOwner("advice", [this, call, result] {
                      scheduler_.OnAdvice(call, result, timeline_.Now());
                      SchedulePass();
                    });
                  });
}

void Experiment::WriteIfDue() {
  if (is_writing_ || !scheduler_.has_changes()) {
    return;
  }
  const std::int64_t due = last_write_us_ + kMinWriteInterval;
  if (timeline_.now_us() < due) {
    timeline_.After(due - timeline_.now_us(), [this] { WriteIfDue(); });
    return;
  }
  is_writing_ = true;
  last_write_us_ = timeline_.now_us();
  ++outcome_.batches;
  const auto batch = std::make_shared<const core::scheduler::RecordBatch>(
      scheduler_.TakeBatch(timeline_.Now()));
  timeline_.After(kTransaction, [this, batch] {
    is_writing_ = false;
    RunAsOwner("stored", [this, batch] {
      scheduler_.OnStored(*batch, timeline_.Now());
      SchedulePass();
    });
    RecordFinishedJobs();
    WriteIfDue();
  });
}

void Experiment::RecordFinishedJobs() {
  for (auto it = open_jobs_.begin(); it != open_jobs_.end();) {
    const auto state = scheduler_.StateOf(it->first);
    if (!state || !core::jobs::IsFinal(*state)) {
      ++it;
      continue;
    }
    const SubmittedJob& job = it->second;
    KindOutcome& outcome = OutcomeOf(job);
    double earned = 0;
    const auto taken = static_cast<double>(timeline_.now_us() - job.at_us);
    outcome.completion_ms.push_back(taken / kMillisecond);
    if (*state == core::jobs::JobState::kCompleted &&
        taken <= job.objective_us) {
      ++outcome.on_time;
      earned = pattern_.kinds[job.kind].value;
      outcome.work_on_time += job.work;
    } else {
      ++outcome.late;
      if (*state == core::jobs::JobState::kCompleted &&
          taken <= kExpiryFactor * job.objective_us) {
        earned = kLateFraction * pattern_.kinds[job.kind].value;
      }
    }
    outcome.earned += earned;
    organisations_.AddEarned(job.organisation, earned);
    it = open_jobs_.erase(it);
  }
}

Outcome Experiment::Run() {
  std::vector<core::desired::Queue> queues;
  for (const Kind& kind : pattern_.kinds) {
    queues.push_back(QueueOf(kind));
  }
  scheduler_.SetDesired(std::make_shared<core::desired::DesiredState>(
      base::ConfigVersion(1), std::move(queues), organisations_.Configured(),
      std::vector<core::desired::Service>{
          {base::ServiceId(kService), false, false}},
      core::desired::CallLimits()));
  scheduler_.BeginTerm(core::scheduler::FencingToken(1), timeline_.Now());
  std::vector<base::EntryId> advice_clients;
  advice_clients.reserve(pattern_.askers);
  for (int i = 0; i < pattern_.askers; ++i) {
    advice_clients.emplace_back("entry-" + std::to_string(i));
  }
  scheduler_.SetAdviceClients(advice_clients, advice_clients.size());
  AddWorkers();
  if (options_.knows_speeds) {
    RestoreSpeeds();
  }
  ScheduleSubmissions();
  if (pattern_.spells.per_s > 0) {
    BeginSlowSpell();
  }
  Tick();
  for (const int at_s : {3, 5, 10, 20, 30}) {
    timeline_.After(kWarmUp + at_s * kSecond, [this] { CheckSpeeds(); });
  }
  timeline_.RunUntil(kWarmUp + std::llround(pattern_.seconds * kSecond) +
                     kDrain);
  for (const auto& [key, job] : open_jobs_) {
    ++OutcomeOf(job).unfinished;
  }
  for (const auto& [key, value] : counters_.values()) {
    if (key.first.starts_with("locality")) {
      outcome_.locality[key.first + "/" + key.second] = value;
    }
  }
  outcome_.earned_fractions = organisations_.EarnedFractions(false);
  outcome_.steady_fractions = organisations_.EarnedFractions(true);
  outcome_.starts = fleet_.starts();
  outcome_.looks = fleet_.looks();
  for (const auto& [key, count] : counters_.values()) {
    if (key.first == "runs_preempted" || key.first == "preemptions_refused") {
      outcome_.preemptions[key.first + " " + key.second] = count;
    }
  }
  outcome_.packing =
      used_core_s_ / (pattern_.seconds * pattern_.workers * pattern_.cores);
  return outcome_;
}

}  // namespace dotterelbarrow::bench
