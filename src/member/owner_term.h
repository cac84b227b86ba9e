// One term of this host as the owner of a shard of the cell: loads what
// previous owners stored, then drives the scheduler, carries out its actions
// and stores its changes.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_TERM_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_TERM_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/core/admission/saturation_gate.h"
#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/core/scheduler/pass_pacer.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"
#include "dotterelbarrow/core/shards/division_trigger.h"
#include "dotterelbarrow/core/shards/shard_plan.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "src/member/calls.h"
#include "src/member/clock.h"
#include "src/member/listing_reader.h"
#include "src/member/owner_times.h"
#include "src/member/ownership_writer.h"

namespace dotterelbarrow::member {

class OwnerTerm {
 public:
  // Requests placement advice from the advisor, through this entry host or
  // another one.
  using Advise = std::function<void(const core::scheduler::RequestAdvice&,
                                    const platform::WorkerClient::AdviceDone&)>;

  struct Parts {
    wire::EventLoop* loop = nullptr;
    platform::StoreClient* store = nullptr;
    platform::WorkerClient* workers = nullptr;
    OwnershipWriter* writer = nullptr;
    core::leadership::Leadership* leadership = nullptr;
    core::scheduler::Telemetry telemetry;
    core::shards::ShardNumber shard{};
    // The plan under which this host claimed the shard.
    std::shared_ptr<const core::shards::ShardPlan> plan =
        std::make_shared<const core::shards::ShardPlan>();
    core::shards::ShardPlannerSettings planner{};
    // Returns whether the other hosts can follow the owners of several shards.
    std::function<bool()> can_divide_cell = [] { return false; };
    // How often the platform's list of workers is read.
    base::Duration listings_period{0};
    Advise advise;
    // Reads the evacuated availability zones, as of this call or later, and
    // calls `done` with them.
    std::function<void(const std::function<void(
                           const std::set<base::AvailabilityZone>&)>& done)>
        read_evacuations;
    // Called when the term is over: another owner was seen, a worker rejected
    // its fencing token, or this owner resigned. Must destroy the term, but
    // only after returning.
    std::function<void()> ended;
    // Called repeatedly while the store keeps failing the current write.
    std::function<void()> on_store_failing;
  };

  OwnerTerm(Parts parts, const core::scheduler::SchedulerSettings& settings,
            std::int64_t store_now_ms);
  // Answers all waiting callers that the outcome of their call is unknown.
  ~OwnerTerm();
  OwnerTerm(const OwnerTerm&) = delete;
  OwnerTerm& operator=(const OwnerTerm&) = delete;

  void SetDesired(std::shared_ptr<const core::desired::DesiredState> desired);
  void SetEvacuatedZones(const std::set<base::AvailabilityZone>& zones);
  void SetAdviceClients(const std::vector<base::EntryId>& entries,
                        std::size_t entry_host_count);
  // The previous owner is guaranteed to send no more commands to workers.
  void OnPreviousOwnerStopped();
  // Calls `reply` at once, or later when the outcome is stored.
  void Handle(const OwnerCall& call, const OwnerReply& reply);
  // Gives up ownership of the shard with the next write.
  void Resign();
  // Another host has answered that it owns the shard now.
  void OnReplaced() { EndTerm("replaced_by_peer"); }

  bool is_ready() const { return is_loaded_; }
  const core::scheduler::Scheduler& scheduler() const { return scheduler_; }
  const core::shards::ShardPlan& plan() const { return *parts_.plan; }

 private:
  // A scheduling pass handles all events of this time.
  static constexpr base::Duration kPassDelay = std::chrono::milliseconds(3);

  // Values of the rows of each table, by key.
  using Loading = std::map<core::scheduler::RecordTable,
                           std::map<std::string, std::string>>;

  // Reads all records and the evacuations.
  void LoadAll();
  void Load(core::scheduler::RecordTable table, const std::string& from);
  void OnLoaded(core::scheduler::RecordTable table, const std::string& from,
                const platform::ReadResult& result);
  // Begins to schedule once all records and the evacuations are read.
  void OnPartLoaded();
  void BeginScheduling();

  void Tick();
  // Divides an undivided cell into shards, if its fleet calls for several and
  // no job is known: stores the plan together with the resignation.
  void DivideCellIfIdle(base::TimePoint now);
  // Schedules a pass, which places tasks and writes changes, a little later, so
  // that one pass handles many events.
  void SchedulePass() { SchedulePassIn(kPassDelay); }
  void SchedulePassIn(base::Duration delay);
  void Pass();
  // Updates the usual lag with the lag at which a pass began, and tells the
  // scheduler whether the processor is saturated.
  void UpdateUsualLag(base::Duration lag);
  void Execute();
  void Execute(const core::scheduler::Action& action);
  void LogIfDue();
  void OnWritten(OwnershipWriteOutcome end, std::int64_t store_now_ms,
                 const core::scheduler::RecordBatch& batch);
  void ReplyTo(const std::vector<core::scheduler::WaiterId>& waiters,
               const OwnerAnswer& answer);
  OwnerAnswer StateAnswerFor(core::jobs::JobKey key) const;
  core::scheduler::WaiterId AddWaiter(const OwnerReply& reply);
  std::int64_t StoreNowMillis() const;
  bool IsStoreUnavailable() const;
  // Refuses the submissions that wait for an unavailable store and that no
  // write has included yet. Once a write includes them, they can no longer be
  // refused.
  void RefuseUnwrittenJobs();
  void EndTerm(const char* why);

  // Wraps a callback that handles this kind of input so that its time is
  // recorded, and so that it does nothing after the term's destruction.
  template <typename Function>
  auto Guarded(OwnerInput input, Function function) {
    return [this, input, alive = std::weak_ptr<int>(alive_),
            function = std::move(function)](auto&&... arguments) {
      if (alive.expired()) {
        return;
      }
      const base::TimePoint begun = Now();
      function(std::forward<decltype(arguments)>(arguments)...);
      if (!alive.expired()) {
        times_.RecordInput(input, Now() - begun);
      }
    };
  }

  Parts parts_;
  core::scheduler::Scheduler scheduler_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  core::scheduler::FencingToken token_;
  bool is_loaded_ = false;
  bool is_previous_owner_stopped_ = false;
  bool is_resigning_ = false;
  bool is_over_ = false;
  // Tables whose records are being read, and one for the evacuations.
  int parts_loading_ = 0;
  Loading loading_;
  // The store's clock minus the clock of this host, at the store's last answer.
  std::int64_t store_clock_offset_ms_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::unordered_map<core::scheduler::WaiterId, OwnerReply> waiters_;
  struct StateWaiter {
    core::scheduler::WaiterId id;
    core::jobs::JobKey key;
  };
  // Callers that asked for the state of a job that was not known here. They are
  // answered with what is known once a write that began after their call
  // confirms that this host still owns the cell: another owner may have
  // accepted the job while this process was paused.
  std::vector<StateWaiter> state_waiters_;
  base::TimePoint last_write_begun_;
  std::map<core::desired::QueueId, std::uint64_t> pending_;
  base::TimePoint pending_counted_at_;
  ListingReader listings_;
  wire::Timer pass_timer_;
  core::scheduler::PassPacer pass_pacer_;
  base::Duration usual_lag_{0};
  OwnerTimes times_;
  core::admission::SaturationGate saturation_gate_;
  base::TimePoint last_tick_;
  core::shards::DivisionTrigger division_trigger_;
  // Stored with the resignation.
  std::optional<core::shards::ShardPlan> next_plan_;
  wire::PeriodicTimer tick_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_TERM_H_
