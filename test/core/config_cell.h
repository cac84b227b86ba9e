// Several configuration controllers over one fake table and a virtual clock.
#ifndef DOTTERELBARROW_TEST_CORE_CONFIG_CELL_H_
#define DOTTERELBARROW_TEST_CORE_CONFIG_CELL_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/config_controller.h"
#include "test/core/fake_table.h"

namespace dotterelbarrow::core {

// One entry and its outputs that have not been executed yet.
struct ConfigEntry {
  // With `lease`, the entry is the only one in its membership and forms a
  // majority by itself. Otherwise two further members exist that never answer.
  ConfigEntry(const std::string& name, bool lease, base::TimePoint now) {
    settings.self = base::EntryId(name);
    settings.entries = {{settings.self, "", {}, {}}};
    if (!lease) {
      settings.entries.push_back({base::EntryId("silent1"), "", {}, {}});
      settings.entries.push_back({base::EntryId("silent2"), "", {}, {}});
    }
    membership = std::make_unique<Membership>(&settings, &outbox, now);
    config = std::make_unique<ConfigController>(&settings, &outbox, &counters,
                                                membership.get(), now);
    membership->CheckLease(now);
  }

  NodeSettings settings;
  Outbox outbox;
  Counters counters;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ConfigController> config;
  std::vector<Output> pending;
  std::map<std::uint64_t, TicketAnswer> answers;
  // Whether the entry can't reach the table: reads fail, and the outcome of
  // writes is unknown.
  bool is_cut_off = false;
};

class ConfigCell {
 public:
  FakeTable table;
  base::TimePoint now;
  std::vector<std::unique_ptr<ConfigEntry>> entries;

  ConfigEntry& Add(bool lease = true) {
    const std::string name = "e" + std::to_string(entries.size());
    entries.push_back(std::make_unique<ConfigEntry>(name, lease, now));
    return *entries.back();
  }

  void Submit(ConfigEntry& entry, std::uint64_t token,
              const std::string& ticket) {
    entry.config->OnTicket({CallerToken(token), ticket}, now);
    Collect(entry);
  }
  // Submits a ticket and executes all outputs. Returns the answer, if there is
  // one by then.
  TicketAnswer SubmitAndRunUntilIdle(ConfigEntry& entry,
                                     const std::string& ticket) {
    const std::uint64_t token = ++last_token_ + 1'000'000;
    Submit(entry, token, ticket);
    Settle();
    return entry.answers[token];
  }

  // Executes the oldest output of `entry`. Returns false if there is none.
  bool Step(ConfigEntry& entry) {
    Collect(entry);
    if (entry.pending.empty()) {
      return false;
    }
    const Output output = entry.pending.front();
    entry.pending.erase(entry.pending.begin());
    std::visit([&](const auto& message) { Execute(entry, message); }, output);
    Collect(entry);
    return true;
  }
  void Settle() {
    bool stepped = true;
    while (stepped) {
      stepped = false;
      for (auto& entry : entries) {
        stepped = Step(*entry) || stepped;
      }
    }
  }
  void Run(base::Duration time) {
    const base::TimePoint end = now + time;
    while (now < end) {
      now += std::chrono::milliseconds(50);
      for (auto& entry : entries) {
        entry->membership->CheckLease(now);
        entry->config->Tick(now);
      }
      Settle();
    }
  }

 private:
  void Collect(ConfigEntry& entry) {
    for (Output& output : entry.outbox.Take()) {
      entry.pending.push_back(std::move(output));
    }
  }
  void Execute(ConfigEntry& entry, const TableTransaction& transaction) {
    TableResult result{transaction.call, TableStatus::kUnknown};
    if (!entry.is_cut_off) {
      result = table.Handle(transaction);
    }
    entry.config->OnTableResult(result, now);
  }
  void Execute(ConfigEntry& entry, const TableRead& read) {
    TableRows rows;
    rows.call = read.call;
    if (!entry.is_cut_off) {
      rows = table.Handle(read);
    }
    entry.config->OnTableRows(rows, now);
  }
  void Execute(ConfigEntry& entry, const TicketAnswer& answer) {
    entry.answers[answer.token.value()] = answer;
  }
  void Execute(ConfigEntry& entry, const ToPeer& message) {
    for (auto& peer : entries) {
      if (peer->settings.self != message.to) {
        continue;
      }
      const base::EntryId& from = entry.settings.self;
      if (const auto* pull = std::get_if<ConfigPull>(&message.message)) {
        peer->config->OnPull(from, *pull, now);
      }
      if (const auto* push = std::get_if<ConfigPush>(&message.message)) {
        peer->config->OnPush(from, *push, now);
      }
    }
  }
  template <typename Other>
  void Execute(ConfigEntry& /*entry*/, const Other& /*output*/) {}

  std::uint64_t last_token_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_TEST_CORE_CONFIG_CELL_H_
