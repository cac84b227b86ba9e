// A simulated worker or runner: a state machine without I/O, on virtual time,
// with epochs, a lease, tasks and requests. The stand-in program serves it over
// HTTP; the fuzzer uses it as a fake.
//
// The caller passes the current time to each call; it must never decrease.
// next_event() returns when Advance must be called next.
#ifndef DOTTERELBARROW_STANDINS_BACKENDS_BACKEND_MODEL_H_
#define DOTTERELBARROW_STANDINS_BACKENDS_BACKEND_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"
#include "src/standins/backends/run_ledger.h"

namespace dotterelbarrow::standins {

// A fault of a backend server, set by a test.
enum class BackendFault {
  kNone,
  // The server answers nothing and its tasks make no progress. The lease still
  // runs out.
  kFrozen,
  // Commands are lost and nothing is answered; tasks continue.
  kSilent,
  // Commands take effect, but nothing is answered; tasks continue.
  kAnswerLost,
  // Every task fails soon after its start.
  kFailsEverything,
  // The process has died and its state is lost. When the fault ends, the server
  // starts again as a new incarnation.
  kDead,
};

// Returns the fault's name in the control protocol, in snake_case.
const char* ToString(BackendFault fault);
std::optional<BackendFault> ParseBackendFault(const std::string& name);

struct BackendTraits {
  base::BackendId backend;
  core::BackendKind kind = core::BackendKind::kWorker;
  base::Resources capacity;
  // How old the reported usage may be: usage is sampled at this interval.
  base::Duration usage_lag = std::chrono::seconds(5);
};

// No answer is sent, because of a fault.
struct NoAnswer {};
// The request was started; its FinishedRun will carry this number.
struct RunAccepted {
  std::uint64_t execution = 0;
};
using RunReply = std::variant<core::RunResult, RunAccepted, NoAnswer>;

struct FinishedRun {
  std::uint64_t execution = 0;
  core::RunResult result;
};

class BackendModel {
 public:
  // `ledger` must outlive this object.
  BackendModel(BackendTraits traits, RunLedger* ledger, base::TimePoint now);

  // Processes one sync and returns the answer, or nothing while a fault
  // suppresses answers. A sync with a lower epoch has no effect. From a sync
  // with a higher epoch, the model adopts the epoch and the report address and
  // ignores the rest. Commands are applied only if the sync's own lease token
  // still gives a lease, so that a sync delayed in the network starts nothing.
  std::optional<core::BackendReport> Sync(const core::BackendSync& sync,
                                          base::TimePoint now);

  // Starts a request, or refuses it if the epoch differs or there is no valid
  // lease.
  RunReply Run(const core::RunCommand& command, base::TimePoint now);

  // Ends the tasks and requests that are due by `now`, then the lease if it has
  // expired; expiry ends all remaining work.
  void Advance(base::TimePoint now);
  // When Advance must be called next; absent if no event is scheduled.
  std::optional<base::TimePoint> next_event() const;

  // Returns the requests that have ended since the last call. The results of
  // requests that ended while a fault suppressed answers are lost.
  std::vector<FinishedRun> TakeFinishedRuns();
  // Returns a report if a task has ended since the last report, an owner's
  // address is known, and no fault suppresses answers.
  std::optional<core::BackendReport> TakeUnsolicitedReport(base::TimePoint now);

  void SetFault(BackendFault fault, base::TimePoint now);
  BackendFault fault() const { return fault_; }

  const BackendTraits& traits() const { return traits_; }
  // "ip:port" of the owner whose sync was last accepted; empty before the
  // first.
  const std::string& report_to() const { return report_to_; }
  const base::Epoch& epoch() const { return epoch_; }
  bool lease_valid() const { return lease_valid_; }
  // Sum of the demands of all running tasks and requests.
  base::Resources in_use() const;

 private:
  // A running task or request. Invariant: the ledger has it as running.
  struct Running {
    core::TaskSpec spec;
    // Absent for a task that runs until it is stopped.
    std::optional<base::TimePoint> ends_at;
    core::TaskState end = core::TaskState::kSucceeded;
    std::string result;
  };
  struct RunningRequest {
    base::CallId call;
    Running run;
  };

  // Returns the lease token of a report made at `now`. The token encodes the
  // time, so that RenewLease can measure the lease from it.
  std::uint64_t TokenAt(base::TimePoint now) const;
  bool MayAnswer() const;
  void AdoptEpoch(const base::Epoch& epoch, base::TimePoint now);
  // Renews the lease from the token of `sync`. Returns whether that token gives
  // a lease at `now`.
  bool RenewLease(const core::BackendSync& sync, base::TimePoint now);
  void ApplyCommands(const core::BackendSync& sync, base::TimePoint now);
  void StartTask(const core::TaskSpec& task, base::TimePoint now);
  void StopTask(const base::TaskId& task, base::TimePoint now);
  Running Begin(const core::TaskSpec& task, base::TimePoint now);
  void EndTask(const base::TaskId& task, core::TaskState state,
               std::string result);
  void EndRequest(std::uint64_t execution, core::TaskState state,
                  std::string result);
  void EndDueWork(base::TimePoint until);
  void EndAllWork(core::TaskState state);
  void SampleUsage(base::TimePoint now);
  // Records that the task must not be started (again).
  void AddTombstone(const base::TaskId& task, base::TimePoint now);
  void Die();
  void Restart();
  void Thaw(base::TimePoint now);
  core::BackendReport MakeReport(base::TimePoint now);

  BackendTraits traits_;
  RunLedger* ledger_;
  BackendFault fault_ = BackendFault::kNone;
  // When the server froze. Invariant: set exactly while fault_ is kFrozen.
  std::optional<base::TimePoint> frozen_since_;

  base::Incarnation incarnation_{1};
  base::Epoch epoch_;
  // The token of the first report under epoch_. Older tokens give no lease.
  std::uint64_t first_token_ = 0;
  // Whether a sync has echoed a token of this epoch. If so, the owner has
  // received a report with the specifications of all tasks that ran then, and
  // it started all later tasks itself; reports then omit the specifications.
  bool owner_knows_tasks_ = false;
  bool lease_valid_ = false;
  base::TimePoint lease_until_;
  std::string report_to_;
  std::uint64_t sequence_ = 0;

  // Invariant: both are empty while lease_valid_ is false.
  std::map<base::TaskId, Running> tasks_;
  std::map<std::uint64_t, RunningRequest> requests_;
  std::uint64_t last_execution_ = 0;

  // Ended tasks that the owner has not yet acknowledged.
  std::map<base::TaskId, core::TaskReport> ended_;
  // Tasks whose end was acknowledged, or that were stopped before their start
  // arrived, and when. A start of one of these, delayed in the network, has no
  // effect.
  std::map<base::TaskId, base::TimePoint> tombstones_;
  std::vector<FinishedRun> finished_runs_;
  bool report_is_due_ = false;

  base::Resources usage_;
  base::TimePoint usage_sampled_;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_BACKENDS_BACKEND_MODEL_H_
