// One term as the owner: reads what former owners stored, then drives the
// scheduler, carries out its actions and stores its batches.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_TERM_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_TERM_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "src/member/calls.h"
#include "src/member/head_writer.h"
#include "src/member/listing_reader.h"
#include "src/member/owner_times.h"

namespace dotterelbarrow::member {

class OwnerTerm {
 public:
  // Asks the advisor through another entry host, or this one.
  using Advise = std::function<void(const core::scheduler::RequestAdvice&,
                                    const platform::WorkerClient::AdviceDone&)>;

  struct Parts {
    wire::EventLoop* loop = nullptr;
    platform::StoreClient* store = nullptr;
    platform::WorkerClient* workers = nullptr;
    HeadWriter* writer = nullptr;
    core::leadership::Leadership* leadership = nullptr;
    core::scheduler::Telemetry telemetry;
    // How often the platform's list of workers is read.
    base::Duration listings_period{0};
    Advise advise;
    // The term is over: another owner was seen. Destroys the term, later.
    std::function<void()> ended;
    // The store has kept failing the write under way.
    std::function<void()> store_fails;
  };

  OwnerTerm(Parts parts, const core::scheduler::SchedulerSettings& settings,
            std::int64_t store_now_ms);
  // Lets all that wait hear that the outcome is unknown.
  ~OwnerTerm();
  OwnerTerm(const OwnerTerm&) = delete;
  OwnerTerm& operator=(const OwnerTerm&) = delete;

  void SetDesired(std::shared_ptr<const core::desired::DesiredState> desired);
  void SetAdviceClients(const std::vector<base::EntryId>& entries);
  // The owner before this one surely commands no worker any more.
  void OnPreviousOwnerStopped();
  // Answers now or once the outcome is stored.
  void Handle(const OwnerCall& call, const OwnerReply& reply);
  // Gives the cell up with the next write.
  void Resign();
  // Another host said that it owns the cell by now.
  void NoteReplaced() { EndTerm("replaced_by_peer"); }

  bool is_ready() const { return is_loaded_; }
  const core::scheduler::Scheduler& scheduler() const { return scheduler_; }

 private:
  // One pass serves all that happened in this time.
  static constexpr base::Duration kPassDelay = std::chrono::milliseconds(3);

  // Rows of the tables, by their keys.
  using Loading = std::map<core::scheduler::RecordTable,
                           std::map<std::string, std::string>>;

  void Load(core::scheduler::RecordTable table, const std::string& from);
  void OnLoaded(core::scheduler::RecordTable table, const std::string& from,
                const platform::ReadResult& result);
  void BeginScheduling();

  void Tick();
  // Lets what just happened lead to placements and writes, a little later, so
  // that one pass serves many events.
  void Wake() { WakeIn(kPassDelay); }
  void WakeIn(base::Duration delay);
  void Pass();
  // Takes in how late a pass began.
  void LearnLag(base::Duration lag);
  void CarryOut();
  void CarryOut(const core::scheduler::Action& action);
  void WriteIfDue();
  void OnWritten(HeadWriteEnd end, std::int64_t store_now_ms,
                 const core::scheduler::RecordBatch& batch);
  void ReplyTo(const std::vector<core::scheduler::WaiterId>& waiters,
               const OwnerAnswer& answer);
  core::scheduler::WaiterId AddWaiter(const OwnerReply& reply);
  std::int64_t StoreNowMillis() const;
  bool IsStoreAway() const;
  // Refuses what waits for a store that is away, while that is still true.
  void RefuseUnwritten();
  void EndTerm(const char* why);

  // Wraps a callback so that it does nothing once the term is gone.
  template <typename Function>
  auto Guarded(Function function) {
    return [alive = std::weak_ptr<int>(alive_),
            function = std::move(function)](auto&&... arguments) {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

  Parts parts_;
  core::scheduler::Scheduler scheduler_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  core::scheduler::FencingToken token_;
  bool is_loaded_ = false;
  bool is_former_owner_gone_ = false;
  bool is_resigning_ = false;
  bool is_over_ = false;
  int tables_loading_ = 0;
  Loading loading_;
  // The store's clock less ours, at the last answer.
  std::int64_t store_clock_offset_ms_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::unordered_map<core::scheduler::WaiterId, OwnerReply> waiters_;
  // Those who asked for a job that isn't known here. They hear so once a write
  // begun after they asked shows that this host still owns the cell: the next
  // owner may have taken the job while this one was paused.
  std::vector<core::scheduler::WaiterId> unknown_waiters_;
  base::TimePoint last_write_begun_;
  std::map<core::desired::QueueId, std::uint64_t> pending_;
  base::TimePoint pending_counted_at_;
  ListingReader listings_;
  wire::Timer pass_timer_;
  bool is_pass_armed_ = false;
  base::TimePoint next_pass_;
  base::TimePoint pass_due_;
  base::Duration usual_lag_{0};
  OwnerTimes times_;
  wire::PeriodicTimer tick_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_TERM_H_
