// A test harness: a scheduler with simulated workers that execute commands at
// once, an advisor that answers when the test has it answer, and a store that
// keeps what is written to it.
#ifndef DOTTERELBARROW_TEST_CORE_SCHEDULER_SCHEDULER_SCENARIO_H_
#define DOTTERELBARROW_TEST_CORE_SCHEDULER_SCHEDULER_SCENARIO_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/core/scheduler/scheduler.h"
#include "test/core/scheduler/null_log.h"

namespace dotterelbarrow::core::scheduler {

// Keeps the names of the events.
class EventLog : public DecisionLog {
 public:
  void Write(std::string_view event,
             std::initializer_list<LogField> /*fields*/) override {
    events.emplace_back(event);
  }
  std::vector<std::string> events;
};

// Has the queues "plain", without placement advice, "advised", and "urgent",
// whose jobs have half a second of slack, all of priority 0, "gangs" of
// priority 1 and "batch" of priority 2, and the organisations "school" and
// "club". Only the cap of "school" can be set.
class SchedulerScenario {
 public:
  static constexpr base::Duration kTicketValidity =
      std::chrono::milliseconds(1500);
  static constexpr std::uint32_t kMaxAttempts = 3;
  static const base::OrganisationId kSchool;
  static const base::OrganisationId kClub;

  explicit SchedulerScenario(const SchedulerSettings& settings = {});

  // Adds workers of four cores each on a rack, runs a pass and stores its
  // changes.
  void AddWorkers(int count, const std::string& rack = "");
  // Adds workers of which the owner hasn't heard yet.
  void AddUnlistedWorkers(int count, const std::string& rack = "");
  // The worker is listed as draining from now on.
  void DrainWorker(const std::string& name);
  // Sets the availability zone that a worker lists from now on.
  void SetZone(const std::string& name, const std::string& zone);
  // Sets the evacuated zones, now and for owners that take over later.
  void Evacuate(const std::set<std::string>& zones);
  // Sets the capacity that a worker lists from now on.
  void ResizeWorker(const std::string& name, int cores);
  // Sets the labels that a worker lists from now on.
  void SetLabels(const std::string& name, std::vector<std::string> labels);
  // Sets the cap of "school", in cores and MiB; 0 for no limit.
  void SetCap(int cores, int memory = 0);
  // Replaces the configuration by one whose only service is `name`, to which
  // all queues lead. Workers that are added later belong to it.
  void ReplaceService(const std::string& name);
  // Sets what a call for advice of the queue "advised" is expected to take, and
  // the hosts that can make one, now and for owners that take over later.
  void SetAdvice(base::Duration decision, base::Duration per_worker, int hosts);
  // Removes the queue from the configuration.
  void DropQueue(const std::string& name);

  // Returns a step whose tasks need one core each.
  static jobs::StepSpec Step(std::uint32_t tasks);
  // Returns a gang whose tasks need a whole worker each.
  static jobs::StepSpec Gang(std::uint32_t tasks);
  SubmitResult Submit(std::uint64_t key, const std::string& queue,
                      std::vector<jobs::StepSpec> steps,
                      const base::OrganisationId& organisation = kSchool);
  // Submits a job that begins `count` times, first now by the owner's wall
  // clock and then after each interval, and stores its acceptance.
  void SubmitRepeatedAndStore(std::uint64_t key, const std::string& queue,
                              std::vector<jobs::StepSpec> steps,
                              std::uint32_t count, base::Duration interval);
  // How far the wall clock of the present owner's host is ahead.
  base::Duration wall_clock_error{0};
  // Writes all pending changes to the store; returns the waiters that are
  // notified.
  std::vector<WaiterId> Store();
  // Submits a job and stores its acceptance.
  void SubmitAndStore(std::uint64_t key, const std::string& queue,
                      std::vector<jobs::StepSpec> steps,
                      const base::OrganisationId& organisation = kSchool);

  void Advance(base::Duration duration) { now_ += duration; }
  // Calls Tick and runs one scheduling pass; the workers execute the resulting
  // commands.
  void RunPass();
  // Runs `count` passes, each 100 ms after the one before.
  void RunPasses(int count);
  // Answers an advice request: of the workers that it names, those in `allowed`
  // are allowed.
  void AnswerAdviceRequest(const RequestAdvice& request,
                           const std::set<std::string>& allowed);
  // Fails an advice request: the advisor doesn't answer.
  void FailAdviceRequest(const RequestAdvice& request);
  // Ends the active run of the task, wherever it is, with this result.
  void EndRun(const jobs::TaskRef& task, jobs::RunEnd end);
  // Ends the active run of the task on this worker with this result.
  void EndRunOn(const std::string& worker, const jobs::TaskRef& task,
                jobs::RunEnd end);
  // Returns the workers on which the task runs.
  std::set<std::string> WorkersOf(const jobs::TaskRef& task) const;
  // Returns the cores that runs use on the worker.
  int UsedCores(const std::string& worker) const;
  // Returns the number of run ends that the worker lists.
  std::size_t UnacknowledgedEnds(const std::string& worker) const;
  // Crashes the worker on which the task runs; its next incarnation is there at
  // once. Returns false if the task runs nowhere.
  bool CrashWorkerOf(const jobs::TaskRef& task);
  // Replaces the worker's process by its next incarnation.
  void RestartWorker(const std::string& name);
  // The same, but the next incarnation has another id. It has the address of
  // the first one, where commands to that are refused. Returns the new id.
  std::string RestartWorkerRenamed(const std::string& name);
  // Returns the worker on which the task runs; empty if it runs nowhere.
  std::string WorkerOf(const jobs::TaskRef& task) const;
  // Whether workers refuse the ticket of each start.
  bool refuses_tickets = false;
  // A worker that refuses each start.
  std::string refused_on;
  // Whether start commands are executed without an answer, and whether they are
  // lost.
  bool loses_start_answers = false;
  bool loses_starts = false;
  // Whether polls that are sent beside the regular ones get no answer.
  bool loses_immediate_polls = false;
  // The checkpoints that workers list for active runs.
  std::map<jobs::TaskRef, std::string> checkpoints;
  // Has the present incarnation of its worker carry out a start command that
  // was lost before.
  void CarryOutLate(const StartTask& command);
  // How many of the next starts can't be sent to their workers.
  int unsent_starts = 0;
  // Workers that receive no command and answer nothing.
  std::set<std::string> unresponsive_workers;
  // Workers whose leases another owner renews.
  std::set<std::string> renewed_by_other_owner;
  // Workers that the platform's list doesn't name.
  std::set<std::string> unlisted_workers;

  // How long a run continues after a stop command.
  base::Duration stop_duration{0};
  // Whether stop commands are lost, and whether only their answers are.
  bool loses_stops = false;
  bool loses_stop_answers = false;
  // Whether workers report a checkpoint of each run that they list, and save
  // one when they stop it.
  bool writes_checkpoints = false;

  // Replaces the owner: a new scheduler begins its term with what is stored.
  void TakeOver();
  // Owners that take over from now on own only the workers of this rack.
  void set_own_rack(const std::string& rack) { own_rack_ = rack; }
  // Returns the workers whose records the store holds.
  std::set<std::string> RecordedWorkers() const {
    std::set<std::string> workers;
    if (const auto it = rows_.find(RecordTable::kWorkers); it != rows_.end()) {
      for (const auto& [id, record] : it->second) {
        workers.insert(id);
      }
    }
    return workers;
  }
  // Replaces the record of a worker by one of an earlier version, without its
  // rack.
  void ForgetRackInRecord(const std::string& worker);

  Scheduler& scheduler() { return *scheduler_; }
  const Counters& counters() const { return counters_; }
  // Returns the events that were logged since the last call.
  std::vector<std::string> TakeLoggedEvents() {
    return std::exchange(log_.events, {});
  }
  base::TimePoint now() const { return now_; }
  // From now on, no write of the owner is confirmed: another host may own the
  // cell.
  void StopConfirmingOwnership() { confirmed_at_ = now_; }
  void ResumeConfirmingOwnership() { confirmed_at_.reset(); }
  // Returns the tasks that run on the worker, those being stopped included.
  std::set<jobs::TaskRef> RunningOn(const std::string& worker) const;
  const std::string& RackOf(const base::BackendId& worker) const {
    return workers_.at(worker).listing.rack;
  }
  // Return the actions of this kind since the last call.
  std::vector<StartTask> TakeStarts() { return std::exchange(starts_, {}); }
  std::vector<StopTask> TakeStops() { return std::exchange(stops_, {}); }
  std::vector<RequestAdvice> TakeAdviceRequests() {
    return std::exchange(advice_requests_, {});
  }
  // Returns the workers whose lease a poll renewed since the last call.
  std::set<std::string> TakeRenewedWorkers() {
    return std::exchange(renewed_, {});
  }

 private:
  struct Worker {
    workers::Listing listing;
    std::map<jobs::TaskRef, jobs::Attempt> running;
    // When the runs end that are being stopped.
    std::map<jobs::TaskRef, base::TimePoint> stopping;
    std::vector<ListedEnd> ended;
    std::uint64_t last_end = 0;
    // The end of its leases by its own clock. What runs then ends.
    std::int64_t lease_until_ms = 0;
  };

  void BeginTerm();
  void SetAdviceClients();
  void CarryOut();
  void CarryOut(const Action& action);
  void CarryOut(const StopTask& command);
  void EndStoppedRuns();
  // Ends the runs of workers whose leases have expired.
  void EndLapsedRuns();
  std::string CheckpointOf(jobs::Attempt attempt) const {
    return writes_checkpoints
               ? "checkpoint of attempt " + std::to_string(attempt.value())
               : "";
  }
  // Whether the worker doesn't answer. Another one may have its address.
  bool IsUnresponsive(const WorkerAddress& worker) const {
    return unresponsive_workers.contains(worker.id.value()) ||
           !workers_.contains(worker.id);
  }
  // How a command to an unresponsive worker ends.
  CommandOutcome OutcomeWithoutAnswer(const WorkerAddress& worker) const;
  // The workers' own clocks, the store's, and the time of day have origins of
  // their own.
  std::int64_t NowMillis() const {
    return now_.time_since_epoch() / std::chrono::milliseconds(1);
  }
  std::int64_t StoreMillis() const { return NowMillis() + 7'000'000; }
  std::int64_t UnixMillis() const { return NowMillis() + 1'790'000'000'000; }
  std::int64_t OwnersUnixMillis() const {
    return UnixMillis() + wall_clock_error / std::chrono::milliseconds(1);
  }

  SchedulerSettings settings_;
  EventLog log_;
  Counters counters_;
  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(100));
  // When the last write was confirmed; nullopt if each is at once.
  std::optional<base::TimePoint> confirmed_at_;
  std::optional<std::string> own_rack_;
  std::uint64_t token_ = 0;
  std::set<base::AvailabilityZone> evacuated_;
  int advice_hosts_ = 2;
  std::uint64_t last_waiter_ = 0;
  std::vector<desired::Queue> queues_;
  base::ServiceId service_;
  desired::Organisation school_;
  std::map<base::BackendId, Worker> workers_;
  std::unique_ptr<Scheduler> scheduler_;
  std::map<RecordTable, std::map<std::string, std::string>> rows_;
  std::vector<StartTask> starts_;
  std::vector<StopTask> stops_;
  std::vector<RequestAdvice> advice_requests_;
  std::set<std::string> renewed_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_TEST_CORE_SCHEDULER_SCHEDULER_SCENARIO_H_
