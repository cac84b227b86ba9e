// Simulates a whole cell in virtual time: the core of every entry runs against
// fakes of the network, the platform and the backend servers.
//
// Each message takes a short random time. Faults delay, lose, duplicate or
// reorder messages, kill, freeze or disconnect entries, and make the platform
// or a backend server misbehave. The same seed and the same calls replay a run
// exactly.
#ifndef DOTTERELBARROW_TEST_FUZZ_CELL_H_
#define DOTTERELBARROW_TEST_FUZZ_CELL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/node.h"
#include "src/standins/backends/backend_model.h"
#include "src/standins/backends/run_ledger.h"
#include "src/standins/platform/table_model.h"
#include "test/fuzz/config_watch.h"
#include "test/fuzz/oracle.h"

namespace dotterelbarrow::fuzz {

struct CellSize {
  int entries = 5;
  int workers = 6;
  int runners = 4;
  int per_shard = 2;
  std::uint32_t partitions = 4;
  base::Resources worker = {
      base::Millicores(4000), base::Mebibytes(8192), {}, {}};
  base::Slots slots = base::Slots(2);
};

// The number of messages of one kind, and their size as JSON without HTTP
// headers.
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// The resources that one entry's core has used since StartMeter().
struct Cost {
  // Processor time spent in the core: the total in seconds, and that of each
  // call in microseconds.
  double seconds = 0;
  std::vector<float> handle_us;
  // Messages sent to peers and to backend servers, by method name.
  std::map<std::string, Traffic> to_peers;
  std::map<std::string, Traffic> to_backends;
  // Reports received from backend servers.
  Traffic reports;
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
};

// The behaviour of the network between entries and backend servers.
struct NetworkConditions {
  base::Duration longest_delay = std::chrono::milliseconds(2);
  int lost_percent = 0;
  int doubled_percent = 0;
};

enum class PlatformFault { kNone, kDown, kSilent, kAnswerLost };

class Cell {
 public:
  Cell(const CellSize& size, std::uint64_t seed);
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  base::TimePoint now() const { return now_; }
  int entries() const { return static_cast<int>(entries_.size()); }
  int backends() const { return static_cast<int>(backends_.size()); }

  // Advances virtual time by `time`.
  void Run(base::Duration time);
  // Advances virtual time until `done` returns true, by `bound` at most.
  // Returns whether `done` returned true in that time.
  bool RunUntil(base::Duration bound, const std::function<bool()>& done);

  // Calls of callers and operators to an entry. A call to a dead entry is lost.
  core::CallerToken Ask(int entry, const core::WorkRequest& request);
  core::CallerToken SendJobCommand(int entry, core::CallerJobCommand::Verb verb,
                                   const base::ApiKey& key,
                                   const base::RequestId& request);
  core::CallerToken SubmitTicket(int entry, const std::string& ticket);
  const core::Answer* AnswerTo(core::CallerToken token) const;
  const core::TicketAnswer* TicketAnswerTo(core::CallerToken token) const;

  // The functions below inject and repair faults.
  void Kill(int entry);
  // Restarts a dead entry as a new process, with a new incarnation.
  void Start(int entry);
  void Freeze(int entry);
  void Thaw(int entry);
  bool is_alive(int entry) const { return entries_[entry].node != nullptr; }
  bool is_frozen(int entry) const { return entries_[entry].frozen; }
  void BeginShutdown(int entry);
  // Whether the entry was asked to shut down and has not finished doing so.
  bool is_stopping(int entry) const {
    return is_alive(entry) && entries_[entry].stopping;
  }
  bool has_shut_down(int entry) const { return entries_[entry].shut_down; }
  // Drops all messages from one entry to another, in this direction only.
  void Cut(int from, int to) { cuts_.insert({from, to}); }
  // Drops all messages between an entry and a backend server, both ways.
  void CutBackend(int entry, int backend) {
    backend_cuts_.insert({entry, backend});
  }
  // Disconnects an entry from the platform.
  void CutPlatform(int entry) { platform_cuts_.insert(entry); }
  void RestoreLinks();
  void set_network_conditions(const NetworkConditions& weather) {
    network_conditions_ = weather;
  }
  void set_platform_fault(PlatformFault fault) { platform_fault_ = fault; }
  void SetBackendFault(int backend, standins::BackendFault fault);
  // Sets whether the host list marks a backend server as leaving.
  void SetLeaving(int backend, bool leaving);
  // Ends all faults: also restarts dead entries and thaws frozen ones.
  void EndAllFaults();

  // Starts to measure the cost of each entry.
  void StartMeter();
  const std::vector<Cost>& costs() const { return costs_; }

  core::Node& node(int entry) { return *entries_[entry].node; }
  const standins::RunLedger& ledger() const { return ledger_; }
  const Oracle& oracle() const { return oracle_; }
  // Describes the first violation, or returns nothing: a violation of the
  // oracle's rules, a limit that was exceeded, or a configuration that reverted
  // to an earlier version at some entry.
  std::optional<std::string> FirstViolation() const;

 private:
  struct Entry {
    core::NodeSettings settings;
    std::unique_ptr<core::Node> node;
    bool frozen = false;
    bool stopping = false;
    bool shut_down = false;
    // Inputs that arrived while the entry was frozen.
    std::vector<core::Input> inbox;
    std::vector<core::CallerToken> open;
    base::ConfigVersion config_version;
  };
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    friend bool operator>(const Event& a, const Event& b) {
      return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
  };
  // The entry that receives the result of an interactive request.
  struct RunOrigin {
    int entry;
    base::Incarnation incarnation;
  };

  static base::EntryId EntryName(int i);
  void Count(int entry, const core::Output& output);
  void Count(int entry, const core::Input& input);
  // Calls `work` and adds its processor time to the entry's cost.
  void Charge(int entry, const std::function<void()>& work);
  void After(base::Duration delay, std::function<void()> action);
  base::Duration Delay();
  bool Chance(int percent);
  void StepTo(base::TimePoint at);
  void TickAll();
  // Records the configuration that each running entry has in force.
  void RecordConfigs();
  void CheckLimits();
  void Give(int entry, base::Incarnation incarnation, const core::Input& input);
  void CarryOut(int entry);
  void Do(int entry, const core::ToPeer& output);
  void Do(int entry, const core::ToBackend& output);
  void Do(int entry, const core::TableTransaction& output);
  void Do(int entry, const core::TableRead& output);
  void Do(int entry, const core::ObjectWrite& output);
  void Do(int entry, const core::ObjectRead& output);
  void Do(int entry, const core::HostListRead& output);
  void Do(int entry, const core::CallerAnswer& output);
  void Do(int entry, const core::TicketAnswer& output);
  void Do(int entry, const core::ShutdownComplete& output);
  void Send(int entry, const core::BackendSync& sync);
  void Send(int entry, const core::RunCommand& command);
  void CollectRuns(int backend);
  void SendUnsolicitedReport(int backend);
  bool CanReachPlatform(int entry) const;
  int BackendIndex(const base::BackendId& id) const;

  std::mt19937_64 random_;
  base::TimePoint now_;
  base::TimePoint next_tick_;
  std::uint64_t order_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t tokens_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;

  std::vector<Entry> entries_;
  bool metered_ = false;
  std::vector<Cost> costs_;
  std::unordered_map<base::BackendId, int> backend_index_;
  std::vector<core::HostRecord> hosts_;
  standins::RunLedger ledger_;
  std::vector<std::unique_ptr<standins::BackendModel>> backends_;
  std::map<std::pair<int, std::uint64_t>, RunOrigin> runs_;
  standins::TableModel table_;
  Oracle oracle_;
  ConfigWatch config_watch_;
  std::map<core::CallerToken, core::TicketAnswer> ticket_answers_;
  std::map<core::CallerToken, core::Answer> answers_;
  // The first violation that was found while time advanced.
  std::optional<std::string> broken_;

  NetworkConditions network_conditions_;
  PlatformFault platform_fault_ = PlatformFault::kNone;
  std::set<std::pair<int, int>> cuts_;
  std::set<std::pair<int, int>> backend_cuts_;
  std::set<int> platform_cuts_;
};

// The initial ticket (see SetupTicket) creates the teams "ovens" and "parts"
// with the keys "key-ovens" and "key-parts", a service "seats" for all teams
// and an open service "open". It limits "parts" to `kPartsLimit` cores and as
// many slots in use.
inline constexpr int kPartsLimit = 3;
std::string SetupTicket(int number);
// Returns a ticket that sets the limit of "parts" to `limit` cores and slots.
std::string LimitTicket(int number, int limit);
// Returns a ticket that assigns "key-TEAM" to `team`, or revokes it if `give`
// is false.
std::string KeyTicket(int number, const std::string& team, bool give);

}  // namespace dotterelbarrow::fuzz

#endif  // DOTTERELBARROW_TEST_FUZZ_CELL_H_
