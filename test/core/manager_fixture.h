// A test fixture: a job manager that is the only member of its cell, with a
// fake table and a virtual clock.
#ifndef DOTTERELBARROW_TEST_CORE_MANAGER_FIXTURE_H_
#define DOTTERELBARROW_TEST_CORE_MANAGER_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dotterelbarrow/core/host_index.h"
#include "dotterelbarrow/core/job_manager.h"
#include "test/core/fake_table.h"

namespace dotterelbarrow::core {

class Manager {
 public:
  Manager()
      : settings(MakeSettings()),
        membership(&settings, &outbox, now),
        config(&settings, &outbox, &counters, &membership, now),
        manager({&settings, &outbox, &counters, &membership, &config, &hosts},
                1) {
    membership.CheckLease(now);
    manager.OnMembershipChanged(now);
    Run(100);
  }

  // Sends a claim of the key "k" of team "t", without advancing the clock.
  void Claim(const char* entry, std::uint64_t call) {
    manager.OnClaim(base::EntryId(entry),
                    ClaimKey{base::CallId(call), base::TeamId("t"),
                             base::IdempotencyKey("k"), base::RequestId("r")},
                    now);
  }
  // Sends the outcome of the claimed request, and runs half a second.
  void Resolve(const char* entry, std::uint64_t call, Outcome outcome) {
    ResolveKey resolve{
        base::CallId(call), base::TeamId("t"), base::IdempotencyKey("k"), {}};
    resolve.answer.outcome = outcome;
    manager.OnResolve(base::EntryId(entry), resolve, now);
    Run(50);
  }
  // Sends a claim, and returns the status of each reply that arrives within
  // half a second.
  std::vector<ClaimStatus> ClaimAndRun(const char* entry, std::uint64_t call) {
    replies.clear();
    Claim(entry, call);
    Run(50);
    return replies;
  }

  // Submits a batch job of team "t" with one task, without advancing the clock.
  void Submit(const char* entry, std::uint64_t call, const char* id) {
    SubmitJob submit{base::CallId(call), {}};
    submit.request.team = base::TeamId("t");
    submit.request.id = base::RequestId(id);
    submit.request.kind = WorkKind::kBatch;
    submit.request.demand.cpu = base::Millicores(1000);
    manager.OnSubmit(base::EntryId(entry), submit, now);
  }
  // Queries a job of team "t", and returns the answer of the next step, or an
  // empty one.
  Answer Ask(const char* id) {
    answers.clear();
    manager.OnQuery(
        base::EntryId("asker"),
        {base::CallId(9999), {base::TeamId("t"), base::RequestId(id)}}, now);
    Run(1);
    return answers.empty() ? Answer() : answers.back();
  }
  // Applies `ticket` as the next version of the configuration.
  void PutInForce(const std::string& ticket) {
    const ConfigChange change{config.catalogue().version().next(), ticket};
    config.OnPush(base::EntryId("peer"), ConfigPush{{change}}, now);
    manager.OnConfigChanged(now);
  }

  // Runs `steps` steps of 10 ms, each with a tick and the delivery of all
  // output.
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(10);
      membership.CheckLease(now);
      membership.Tick(now);
      manager.Tick(now);
      for (const Output& output : outbox.Take()) {
        Carry(output);
      }
    }
  }

  FakeTable table;
  // The answers to submissions and queries, and the statuses of claim replies,
  // in order of arrival.
  std::vector<Answer> answers;
  std::vector<ClaimStatus> replies;

 private:
  static NodeSettings MakeSettings() {
    NodeSettings settings;
    settings.self = base::EntryId("m");
    settings.entries = {{settings.self, "", {}, {}}};
    settings.partition_count = 1;
    return settings;
  }

  void Carry(const Output& output) {
    if (const auto* transaction = std::get_if<TableTransaction>(&output)) {
      manager.OnTableResult(table.Handle(*transaction), now);
    } else if (const auto* read = std::get_if<TableRead>(&output)) {
      manager.OnTableRows(table.Handle(*read), now);
    } else if (const auto* object = std::get_if<ObjectRead>(&output)) {
      manager.OnObjectResult({object->call, TableStatus::kConflict, ""}, now);
    } else if (const auto* to_peer = std::get_if<ToPeer>(&output)) {
      CarryToPeer(to_peer->message);
    }
  }
  void CarryToPeer(const PeerMessage& message) {
    if (const auto* reply = std::get_if<ClaimReply>(&message)) {
      replies.push_back(reply->status);
    } else if (const auto* answer = std::get_if<JobReply>(&message)) {
      answers.push_back(answer->answer);
    }
  }

  base::TimePoint now = base::TimePoint(std::chrono::hours(1));
  NodeSettings settings;
  Outbox outbox;
  Counters counters;
  Membership membership;
  ConfigController config;
  HostIndex hosts;
  JobManager manager;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_TEST_CORE_MANAGER_FIXTURE_H_
