// A shard owner with fake backend servers and fake peers, in virtual time.
#ifndef DOTTERELBARROW_TEST_CORE_OWNER_FIXTURE_H_
#define DOTTERELBARROW_TEST_CORE_OWNER_FIXTURE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/core/shard_owner.h"

namespace dotterelbarrow::core {

inline base::Resources Size(std::int64_t cores, std::int64_t gib) {
  return {base::Millicores(cores * 1000), base::Mebibytes(gib * 1024), {}, {}};
}

// A fake backend server that follows the owner's protocol: epochs, lease tokens
// and reports.
class FakeBackend {
 public:
  explicit FakeBackend(const HostRecord& host) : host_(host) {
    capacity = host.capacity;
  }

  BackendReport Sync(const BackendSync& sync, base::TimePoint now) {
    ExpireLease(now);
    if (sync.epoch > epoch) {
      epoch = sync.epoch;
    } else if (sync.epoch == epoch && sync.lease_token >= newest_token_) {
      newest_token_ = sync.lease_token;
      ApplyCommands(sync, now);
    }
    return Report(now);
  }

  BackendReport Report(base::TimePoint now) {
    ExpireLease(now);
    BackendReport report;
    report.backend = host_.backend;
    report.incarnation = incarnation;
    report.epoch = epoch;
    report.sequence = ++sequence_;
    report.lease_token = NextToken(now);
    report.lease_valid = now < lease_end;
    report.capacity = capacity;
    for (const auto& [id, task] : tasks) {
      report.tasks.push_back(task);
    }
    return report;
  }

  // Ends a task without a stop command.
  void Finish(const base::TaskId& task, TaskState state) {
    tasks.at(task).state = state;
  }
  void Run(const TaskSpec& spec) { tasks[spec.id] = {spec.id, spec, {}, {}}; }
  void Restart(base::TimePoint now) {
    incarnation = incarnation.next();
    epoch = {};
    tasks.clear();
    // Tokens of the previous incarnation are void.
    newest_token_ = NextToken(now);
    lease_end = {};
  }
  bool IsRunning(const base::TaskId& task) const {
    const auto it = tasks.find(task);
    return it != tasks.end() && it->second.state == TaskState::kRunning;
  }
  base::Resources used() const {
    base::Resources sum;
    for (const auto& [id, task] : tasks) {
      if (task.state == TaskState::kRunning) {
        sum += task.spec.demand;
      }
    }
    return sum;
  }

  base::Epoch epoch;
  base::Incarnation incarnation{1};
  base::TimePoint lease_end;
  base::Resources capacity;
  std::map<base::TaskId, TaskReport> tasks;
  // How often each task was started.
  std::map<base::TaskId, int> starts;
  bool reachable = true;
  bool slow_to_stop = false;

 private:
  // The clock of the backend server in nanoseconds; increases with each call.
  std::uint64_t NextToken(base::TimePoint now) {
    const auto time =
        static_cast<std::uint64_t>(now.time_since_epoch().count()) * 1000;
    return last_token_ = std::max(last_token_ + 1, time);
  }

  void ExpireLease(base::TimePoint now) {
    if (now < lease_end) {
      return;
    }
    for (auto& [id, task] : tasks) {
      if (task.state == TaskState::kRunning) {
        task.state = TaskState::kLeaseExpired;
      }
    }
  }

  void ApplyCommands(const BackendSync& sync, base::TimePoint now) {
    const base::TimePoint token_time(
        base::Duration(static_cast<std::int64_t>(sync.lease_token / 1000)));
    lease_end = std::max(lease_end, token_time + sync.lease_duration);
    for (const TaskSpec& spec : sync.start) {
      if (tasks.contains(spec.id) || now >= lease_end) {
        continue;
      }
      Run(spec);
      ++starts[spec.id];
    }
    for (const base::TaskId& id : sync.stop) {
      if (IsRunning(id) && !slow_to_stop) {
        tasks.at(id).state = TaskState::kStopped;
      }
    }
    for (const base::TaskId& id : sync.acknowledged) {
      if (!IsRunning(id)) {
        tasks.erase(id);
      }
    }
  }

  HostRecord host_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_token_ = 0;
  // Commands with an older token are ignored.
  std::uint64_t newest_token_ = 0;
};

// Entry "e0" is under test and also acts as the manager. It owns every shard
// while its fake peers are silent or, as AnswerHeartbeat() reports them,
// leaving.
class OwnerFixture {
 public:
  explicit OwnerFixture(int entries = 1, double packing_weight = 1.0) {
    for (int i = 0; i < entries; ++i) {
      settings.entries.push_back(
          {Entry(i), "10.0.0." + std::to_string(i) + ":1", Zone(), {}});
    }
    settings.self = Entry(0);
    settings.incarnation = base::Incarnation(7);
    settings.packing_weight = packing_weight;
    membership = std::make_unique<Membership>(&settings, &outbox, now);
    owner = std::make_unique<ShardOwner>(&settings, &outbox, &counters,
                                         membership.get(), 1, now);
    membership->changed().connect(
        [this](base::TimePoint t) { owner->OnMembershipChanged(t); });
  }

  static base::EntryId Entry(int i) {
    return base::EntryId("e" + std::to_string(i));
  }
  static base::AvailabilityZone Zone() { return base::AvailabilityZone("az"); }
  static base::Epoch Manager(std::uint64_t counter = 1) {
    return {counter, Entry(0)};
  }

  FakeBackend& Add(const std::string& name, const base::Resources& capacity,
                   const std::string& shard = "rack") {
    HostRecord host;
    host.backend = base::BackendId(name);
    host.address = name + ":1";
    host.shard = base::ShardId(shard);
    host.availability_zone = Zone();
    host.capacity = capacity;
    if (capacity.slots.value() > 0) {
      host.kind = BackendKind::kRunner;
      host.service = base::ServiceId("seats");
    }
    hosts.hosts.push_back(host);
    hosts.available = true;
    return *(backends[name] = std::make_unique<FakeBackend>(host));
  }
  FakeBackend& at(const std::string& name) { return *backends.at(name); }
  HostRecord& Host(std::size_t i) { return hosts.hosts.at(i); }

  static TaskSpec Task(std::uint32_t index, const base::Resources& demand,
                       const std::string& job = "job",
                       const std::string& team = "ovens") {
    TaskSpec spec;
    spec.id = {{base::TeamId(team), base::RequestId(job)}, index, 0};
    spec.partition = base::PartitionId(3);
    spec.manager_epoch = Manager();
    spec.demand = demand;
    return spec;
  }
  PlaceTask Request(const TaskSpec& spec, double position = 0) const {
    return {spec,     settings.incarnation,    membership->lease_term(),
            position, settings.place_patience, false};
  }
  void Place(const TaskSpec& spec, double position = 0) {
    owner->OnPlace(Entry(0), Request(spec, position), now);
  }
  void Hold(const TaskSpec& spec) {
    PlaceTask place = Request(spec);
    place.hold = true;
    owner->OnPlace(Entry(0), place, now);
  }
  void Remove(const TaskSpec& spec) {
    owner->OnRemove(Entry(0), {spec.id, spec.partition, spec.manager_epoch},
                    now);
  }
  void Commit(const TaskSpec& spec) {
    owner->OnCommitHold(Entry(0), {spec.id, spec.partition, spec.manager_epoch},
                        now);
  }
  InventoryReply Inventory(std::uint64_t counter = 1) {
    owner->OnInventory(Entry(0), {base::PartitionId(3), Manager(counter), 1},
                       now);
    Deliver();
    return inventories.back();
  }

  // Advances the clock by `time` in steps of 10 ms, the longest tick period,
  // and calls Tick() at each step.
  void Run(base::Duration time) {
    const base::TimePoint end = now + time;
    while (now < end) {
      now += std::chrono::milliseconds(10);
      membership->CheckLease(now);
      if (now >= next_list_) {
        next_list_ = now + settings.host_list_period;
        owner->OnHostList(hosts, now);
      }
      membership->Tick(now);
      owner->Tick(now);
      Deliver();
      if (check) {
        check();
      }
    }
  }

  // Processes all outputs, and the outputs that result from them.
  void Deliver() {
    for (auto outputs = outbox.Take(); !outputs.empty();
         outputs = outbox.Take()) {
      for (const Output& output : outputs) {
        if (const auto* to_backend = std::get_if<ToBackend>(&output)) {
          DeliverSync(std::get<BackendSync>(to_backend->command));
        } else if (const auto* to_peer = std::get_if<ToPeer>(&output)) {
          DeliverPeer(*to_peer);
        }
      }
    }
  }

  void DeliverSync(const BackendSync& sync) {
    syncs.push_back(sync);
    if (syncs.size() > 4096) {
      syncs.pop_front();
    }
    FakeBackend& backend = at(sync.backend.value());
    if (carry && !carry(sync)) {
      return;
    }
    if (backend.reachable) {
      owner->OnReport(backend.Sync(sync, now), now);
    } else {
      owner->OnUnreachable({sync.backend}, now);
    }
  }

  void DeliverPeer(const ToPeer& to_peer) {
    if (const auto* reply = std::get_if<PlaceReply>(&to_peer.message)) {
      replies[reply->task].push_back(*reply);
    } else if (const auto* update = std::get_if<TaskUpdate>(&to_peer.message)) {
      updates[update->task].push_back(*update);
      if (acknowledge_updates) {
        owner->OnUpdateAck({update->task});
      }
    } else if (const auto* list =
                   std::get_if<InventoryReply>(&to_peer.message)) {
      inventories.push_back(*list);
    } else if (const auto* beat = std::get_if<Heartbeat>(&to_peer.message)) {
      AnswerHeartbeat(to_peer.to, *beat);
    }
  }

  // Answers as a fake peer, if it is in `up`: sends a heartbeat, which makes it
  // live, and acknowledges `beat` with votes for `outvoted`.
  void AnswerHeartbeat(const base::EntryId& peer, const Heartbeat& beat) {
    if (!up.contains(peer)) {
      return;
    }
    MemberRecord record;
    record.entry = peer;
    record.incarnation = base::Incarnation(1);
    record.counter = ++peer_counter_;
    record.leaving = true;  // So that it owns nothing.
    membership->OnHeartbeat(peer, record.incarnation, {1, false, {record}},
                            now);
    membership->OnHeartbeatAck(
        peer, {beat.sequence, settings.incarnation, {}, outvoted}, now);
  }

  std::optional<PlaceStatus> Status(const TaskSpec& spec) const {
    const auto it = replies.find(spec.id);
    return it == replies.end() ? std::nullopt
                               : std::optional(it->second.back().status);
  }
  std::optional<TaskEnd> EndOf(const TaskSpec& spec) const {
    const auto it = updates.find(spec.id);
    return it == updates.end() ? std::nullopt
                               : std::optional(it->second.back().end);
  }

  NodeSettings settings;
  Outbox outbox;
  Counters counters;
  base::TimePoint now{std::chrono::seconds(1000)};
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ShardOwner> owner;
  HostList hosts;
  std::map<std::string, std::unique_ptr<FakeBackend>> backends;
  std::set<base::EntryId> up;
  std::vector<base::EntryId> outvoted;
  bool acknowledge_updates = true;
  // Called after each step to check the state.
  std::function<void()> check;
  // Called for each sync; returns whether to deliver it as usual.
  std::function<bool(const BackendSync&)> carry;

  std::deque<BackendSync> syncs;
  std::map<base::TaskId, std::vector<PlaceReply>> replies;
  std::map<base::TaskId, std::vector<TaskUpdate>> updates;
  std::vector<InventoryReply> inventories;

 private:
  base::TimePoint next_list_;
  std::uint64_t peer_counter_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_TEST_CORE_OWNER_FIXTURE_H_
