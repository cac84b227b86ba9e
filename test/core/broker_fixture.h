// A test fixture for InteractiveBroker: uses the real controllers with a fake
// runner and fake peers, in virtual time.
#ifndef DOTTERELBARROW_TEST_CORE_BROKER_FIXTURE_H_
#define DOTTERELBARROW_TEST_CORE_BROKER_FIXTURE_H_

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/core/interactive_broker.h"
#include "dotterelbarrow/core/partitions.h"

namespace dotterelbarrow::core {

class BrokerFixture {
 public:
  // Creates one runner of service "seats" with `slots` slots, owned by this
  // entry host (none if `slots` is 0), and a peer with 8 free slots for each
  // name in `peers`.
  explicit BrokerFixture(int slots, const std::vector<std::string>& peers = {})
      : settings(MakeSettings(peers)),
        outbox(settings.incarnation),
        membership(&settings, &outbox, now),
        config(&settings, &outbox, &counters, &membership, now),
        owner(&settings, &outbox, &counters, &membership, 1, now),
        broker(&settings, &outbox, &counters, &membership, &config, &owner, 2,
               now) {
    membership.changed().connect([this](base::TimePoint at) {
      owner.OnMembershipChanged(at);
      broker.OnMembershipChanged(at);
    });
    for (const std::string& peer : peers) {
      MemberRecord& record = peer_records[base::EntryId(peer)];
      record.entry = base::EntryId(peer);
      record.incarnation = base::Incarnation(5);
      record.room.free_slots = base::Slots(8);
      record.room.total_slots = base::Slots(8);
    }
    Configure(R"({"kind":"team","name":"ovens","state":{"organisation":"o"}},
                 {"kind":"team","name":"pastry","state":{"organisation":"o"}})");
    Run(std::chrono::seconds(1));
    if (slots > 0) {
      AddRunner(slots);
    }
  }

  // Applies a new configuration version that changes `objects`.
  void Configure(const std::string& objects) {
    const std::string number = std::to_string(++version);
    const ConfigChange change{
        base::ConfigVersion(version),
        R"({"ticket":)" + number + R"(,"objects":[)" + objects + "]}"};
    config.OnPush(base::EntryId("peer"), ConfigPush{{change}}, now);
    REQUIRE(config.catalogue().version() == base::ConfigVersion(version));
  }

  void Run(base::Duration time) {
    const base::TimePoint end = now + time;
    while (now < end) {
      now += std::chrono::milliseconds(10);
      membership.CheckLease(now);
      for (auto& [entry, record] : peer_records) {
        if (!unresponsive_peers.contains(entry)) {
          ++record.counter;
          membership.OnHeartbeat(entry, record.incarnation,
                                 Heartbeat{record.counter, false, {record}},
                                 now);
        }
      }
      membership.Tick(now);
      owner.Tick(now);
      broker.Tick(now);
      Collect();
    }
  }

  // Takes the outputs of the outbox. Answers heartbeats and the runner's syncs,
  // and records all other outputs.
  void Collect() {
    for (Output& output : outbox.Take()) {
      std::visit([this](const auto& message) { HandleOutput(message); },
                 output);
    }
  }

  void Submit(const std::string& id, WorkRequest request = {}) {
    request.id = base::RequestId(id);
    request.service = base::ServiceId("seats");
    request.demand.slots = base::Slots(1);
    if (request.team.empty()) {
      request.team = base::TeamId("ovens");
    }
    if (request.deadline == base::Duration(0)) {
      request.deadline = std::chrono::seconds(10);
    }
    tokens[id] = CallerToken(tokens.size() + 1);
    broker.Submit(tokens[id], request, now);
    Collect();
  }

  void Forward(std::uint64_t call, WorkRequest request = {}) {
    request.id = base::RequestId("f" + std::to_string(call));
    request.service = base::ServiceId("seats");
    request.team = base::TeamId("ovens");
    request.demand.slots = base::Slots(1);
    broker.OnForward(base::EntryId("p1"),
                     ForwardRequest{base::CallId(call), settings.incarnation,
                                    request, std::chrono::seconds(10)},
                     now);
    Collect();
  }

  // Reports the result of the run at `index` in `runs`.
  void End(std::size_t index, RunStatus status = RunStatus::kDone) {
    const RunCommand& run = runs.at(index);
    broker.OnRunResult({run.backend, run.call, status, "r"}, now);
    Collect();
  }

  // Answers the forward at `index` in the order of sending.
  void Reply(std::size_t index, Outcome outcome, Reason reason) {
    const ForwardRequest forward = Sent<ForwardRequest>().at(index);
    Answer answer;
    answer.id = forward.request.id;
    answer.outcome = outcome;
    answer.reason = reason;
    broker.OnForwardReply({forward.call, answer}, now);
    Collect();
  }

  void Claimed(std::size_t index, ClaimStatus status,
               const Answer& answer = {}) {
    broker.OnClaimReply({Sent<ClaimKey>().at(index).call, status, answer}, now);
    Collect();
  }

  // Grants the latest SliceRequest, of whichever team.
  void Grant(std::int64_t slots, std::uint64_t epoch = 1) {
    const SliceRequest request = Sent<SliceRequest>().back();
    broker.OnSliceGrant(base::EntryId("m"), GrantFor(request, slots, epoch),
                        now);
    Collect();
  }
  SliceGrant GrantFor(const SliceRequest& request, std::int64_t slots,
                      std::uint64_t epoch) const {
    return {request.team, PartitionOf(request.team, settings.partition_count),
            base::Epoch{epoch, base::EntryId("m")}, request.sequence,
            base::Slots(slots)};
  }

  // Returns the answers sent to the caller of `id`.
  std::vector<Answer> Answers(const std::string& id) const {
    std::vector<Answer> found;
    for (const CallerAnswer& answer : answers) {
      if (answer.token == tokens.at(id)) {
        found.push_back(answer.answer);
      }
    }
    return found;
  }
  // Expects that the caller of `id` was sent exactly one answer, with that id.
  void CheckAnswer(const std::string& id, Outcome outcome, Reason reason) {
    const std::vector<Answer> found = Answers(id);
    REQUIRE(found.size() == 1);
    CHECK(found[0].id == base::RequestId(id));
    CHECK(ToString(found[0].outcome) == std::string(ToString(outcome)));
    CHECK(ToString(found[0].reason) == std::string(ToString(reason)));
  }

  // Moves the runner to a shard owned by `peer`.
  void MoveRunnerTo(const std::string& peer) {
    ListRunnerAt(base::EntryId(peer));
    Collect();
  }

  template <typename Message>
  std::vector<Message> Sent() const {
    std::vector<Message> found;
    for (const ToPeer& each : sent) {
      if (const auto* message = std::get_if<Message>(&each.message)) {
        found.push_back(*message);
      }
    }
    return found;
  }
  // Returns the request ids of the runs, in the order in which they were
  // started.
  std::vector<std::string> RunIds() const {
    std::vector<std::string> ids;
    for (const RunCommand& run : runs) {
      ids.push_back(run.task.id.job.request.value());
    }
    return ids;
  }

  NodeSettings settings;
  base::TimePoint now = base::TimePoint(std::chrono::hours(1));
  Outbox outbox;
  Counters counters;
  Membership membership;
  ConfigController config;
  ShardOwner owner;
  InteractiveBroker broker;

  std::map<base::EntryId, MemberRecord> peer_records;
  std::set<base::EntryId> unresponsive_peers;
  std::vector<RunCommand> runs;
  // The tasks that the runner reports as running.
  std::vector<TaskSpec> on_runner;
  bool runner_reports = true;
  std::vector<CallerAnswer> answers;
  std::vector<ToPeer> sent;

 private:
  static NodeSettings MakeSettings(const std::vector<std::string>& peers) {
    NodeSettings settings;
    settings.self = base::EntryId("e0");
    settings.incarnation = base::Incarnation(3);
    settings.entries = {{settings.self, "", {}, {}}};
    for (const std::string& peer : peers) {
      settings.entries.push_back({base::EntryId(peer), "", {}, {}});
    }
    return settings;
  }

  // Sends a host list in which the runner is in a shard owned by `entry`.
  void ListRunnerAt(const base::EntryId& entry) {
    HostRecord host;
    host.backend = base::BackendId("runner");
    host.kind = BackendKind::kRunner;
    host.capacity = capacity;
    host.service = base::ServiceId("seats");
    for (int i = 0; host.shard.empty(); ++i) {
      const std::string shard = "rack" + std::to_string(i);
      if (membership.OwnerOf(shard) == entry) {
        host.shard = base::ShardId(shard);
      }
    }
    owner.OnHostList(HostList{true, {host}}, now);
  }

  void AddRunner(int slots) {
    capacity.slots = base::Slots(slots);
    ListRunnerAt(settings.self);
    Run(std::chrono::seconds(3));
    REQUIRE(owner.FreeSlots(base::ServiceId("seats")) == base::Slots(slots));
  }

  void HandleOutput(const ToPeer& message) {
    const auto* heartbeat = std::get_if<Heartbeat>(&message.message);
    if (heartbeat == nullptr) {
      sent.push_back(message);
    } else if (!unresponsive_peers.contains(message.to)) {
      membership.OnHeartbeatAck(
          message.to,
          HeartbeatAck{heartbeat->sequence, settings.incarnation, {}, {}}, now);
    }
  }
  void HandleOutput(const ToBackend& message) {
    if (const auto* run = std::get_if<RunCommand>(&message.command)) {
      runs.push_back(*run);
      return;
    }
    if (!runner_reports) {
      return;
    }
    const auto& sync = std::get<BackendSync>(message.command);
    BackendReport report;
    report.backend = sync.backend;
    report.epoch = sync.epoch;
    report.sequence = ++report_sequence;
    report.lease_token = report_sequence;
    report.lease_valid = sync.lease_token != 0;
    report.capacity = capacity;
    for (const TaskSpec& task : on_runner) {
      report.tasks.push_back({task.id, task, TaskState::kRunning, ""});
    }
    owner.OnReport(report, now);
    Collect();
  }
  void HandleOutput(const CallerAnswer& answer) { answers.push_back(answer); }
  template <typename Other>
  void HandleOutput(const Other& /*output*/) {}

  std::map<std::string, CallerToken> tokens;
  base::Resources capacity;
  std::uint64_t version = 0;
  std::uint64_t report_sequence = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_TEST_CORE_BROKER_FIXTURE_H_
