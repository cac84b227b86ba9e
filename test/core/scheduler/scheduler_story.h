// A scheduler beside workers that do what they are told at once, an advisor
// that answers when the story says so, and a store that keeps what it is
// given.
#ifndef DOTTERELBARROW_TEST_CORE_SCHEDULER_SCHEDULER_STORY_H_
#define DOTTERELBARROW_TEST_CORE_SCHEDULER_SCHEDULER_STORY_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {

class NoLog : public DecisionLog {
 public:
  void Write(std::string_view /*event*/,
             std::initializer_list<LogField> /*fields*/) override {}
};

// Queues "plain" and "advised", and one organisation, "school".
class SchedulerStory {
 public:
  static constexpr base::Duration kTicketValidity =
      std::chrono::milliseconds(1500);
  static constexpr std::uint32_t kMaxAttempts = 3;
  static const base::OrganisationId kSchool;

  SchedulerStory();

  // Before the first pass: workers of four cores, and what the organisation
  // may have running, in cores.
  void AddWorkers(int count);
  void SetCap(int cores);
  // Tells the scheduler of a desired state without the queue.
  void DropQueue(const std::string& name);

  // A step of tasks that take a core each.
  static jobs::StepSpec Step(std::uint32_t tasks);
  static jobs::StepSpec Gang(std::uint32_t tasks);
  SubmitAnswer Submit(std::uint64_t key, const std::string& queue,
                      std::vector<jobs::StepSpec> steps);
  // Writes all that waits for the store; returns who heard of it.
  std::vector<WaiterId> Store();
  // Submits and stores.
  void Accept(std::uint64_t key, const std::string& queue,
              std::vector<jobs::StepSpec> steps);

  void Advance(base::Duration duration) { now_ += duration; }
  // Ticks, makes one pass and lets workers carry out what it led to.
  void Pass();
  // Lets that many passes follow each other, 100 ms apart.
  void Passes(int count);
  // The advisor allows these workers for the call, of those it was asked for.
  void Advise(const AskAdvice& call, const std::set<std::string>& allowed);
  // Workers end the run that they have of the task.
  void End(const jobs::TaskRef& task, jobs::RunEnd end);
  // Workers refuse the tickets of starts that come now.
  bool refuses_tickets = false;
  // Workers that no order reaches, and that answer nothing.
  std::set<std::string> silent_workers;

  // Throws the owner away; the next one begins with what is stored.
  void TakeOver();

  Scheduler& scheduler() { return *scheduler_; }
  base::TimePoint now() const { return now_; }
  // Return what was ordered since they were last called.
  std::vector<StartTask> TakeStarts() { return std::exchange(starts_, {}); }
  std::vector<AskAdvice> TakeCalls() { return std::exchange(calls_, {}); }
  // Workers to which a look granted a lease since this was last called.
  std::set<std::string> TakeRenewed() { return std::exchange(renewed_, {}); }

 private:
  struct Worker {
    workers::Listing listing;
    std::map<jobs::TaskRef, jobs::Attempt> running;
    std::vector<ListedEnd> ended;
    std::uint64_t last_end = 0;
  };

  void BeginTerm();
  void CarryOut();
  void CarryOut(const Action& action);
  bool IsSilent(const WorkerAddress& worker) const {
    return silent_workers.contains(worker.id.value());
  }
  std::int64_t NowMillis() const {
    return now_.time_since_epoch() / std::chrono::milliseconds(1);
  }

  NoLog log_;
  Counters counters_;
  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(100));
  std::uint64_t token_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::vector<desired::Queue> queues_;
  desired::Organisation organisation_;
  std::map<base::BackendId, Worker> workers_;
  std::unique_ptr<Scheduler> scheduler_;
  std::map<RecordTable, std::map<std::string, std::string>> rows_;
  std::vector<StartTask> starts_;
  std::vector<AskAdvice> calls_;
  std::set<std::string> renewed_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_TEST_CORE_SCHEDULER_SCHEDULER_STORY_H_
