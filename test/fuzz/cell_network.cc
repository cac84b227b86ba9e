// Implements the fakes of the network, the platform and the backend servers.
#include <variant>

#include "test/fuzz/cell.h"

namespace dotterelbarrow::fuzz {
namespace {

constexpr base::Duration kSyncTimeout = std::chrono::seconds(1);
constexpr base::Duration kPlatformTimeout = std::chrono::seconds(1);
constexpr base::Duration kPlatformDelay = std::chrono::milliseconds(2);

}  // namespace

void Cell::Do(int from, const core::ToPeer& output) {
  int to = -1;
  for (int i = 0; i < entries(); ++i) {
    to = EntryName(i) == output.to ? i : to;
  }
  if (to < 0) {
    return;
  }
  const core::FromPeer input{
      EntryName(from), entries_[from].settings.incarnation, output.message};
  const int copies = Chance(network_conditions_.doubled_percent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (cuts_.contains({from, to}) ||
        Chance(network_conditions_.lost_percent)) {
      continue;
    }
    After(Delay(), [this, to, input] {
      Give(to, entries_[to].settings.incarnation, input);
    });
  }
}

void Cell::Do(int entry, const core::ToBackend& output) {
  std::visit([&](const auto& command) { Send(entry, command); },
             output.command);
}

void Cell::Send(int entry, const core::BackendSync& sync) {
  const int backend = BackendIndex(sync.backend);
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  After(Delay(), [this, entry, incarnation, backend, sync] {
    const bool cut = backend_cuts_.contains({entry, backend}) ||
                     Chance(network_conditions_.lost_percent);
    const auto report =
        cut ? std::nullopt : backends_[backend]->Sync(sync, now_);
    if (report) {
      After(Delay(), [this, entry, incarnation, report = *report] {
        Give(entry, incarnation, report);
      });
    } else {
      After(kSyncTimeout, [this, entry, incarnation, id = sync.backend] {
        Give(entry, incarnation, core::BackendUnreachable{id});
      });
    }
  });
}

void Cell::Send(int entry, const core::RunCommand& command) {
  const int backend = BackendIndex(command.backend);
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  if (backend_cuts_.contains({entry, backend})) {
    After(Delay(), [this, entry, incarnation, command] {
      Give(entry, incarnation,
           core::RunResult{command.backend, command.call,
                           core::RunStatus::kNotSent, ""});
    });
    return;
  }
  After(Delay(), [this, entry, incarnation, backend, command] {
    const standins::RunReply reply = backends_[backend]->Run(command, now_);
    if (const auto* result = std::get_if<core::RunResult>(&reply)) {
      After(Delay(), [this, entry, incarnation, result = *result] {
        Give(entry, incarnation, result);
      });
      return;
    }
    if (const auto* accepted = std::get_if<standins::RunAccepted>(&reply)) {
      runs_[{backend, accepted->execution}] = {entry, incarnation};
    }
    // The core ignores any input that arrives after this point.
    After(command.time_left, [this, entry, incarnation, command] {
      Give(entry, incarnation,
           core::RunResult{command.backend, command.call,
                           core::RunStatus::kLost, ""});
    });
  });
}

void Cell::CollectRuns(int backend) {
  for (const standins::FinishedRun& run :
       backends_[backend]->TakeFinishedRuns()) {
    const auto origin = runs_.find({backend, run.execution});
    if (origin == runs_.end()) {
      continue;
    }
    const RunOrigin to = origin->second;
    runs_.erase(origin);
    if (backend_cuts_.contains({to.entry, backend})) {
      continue;
    }
    After(Delay(), [this, to, result = run.result] {
      Give(to.entry, to.incarnation, result);
    });
  }
}

void Cell::SendUnsolicitedReport(int backend) {
  const auto report = backends_[backend]->TakeUnsolicitedReport(now_);
  if (!report) {
    return;
  }
  for (int entry = 0; entry < entries(); ++entry) {
    const bool owner = EntryName(entry) == report->epoch.holder;
    if (owner && !backend_cuts_.contains({entry, backend})) {
      After(Delay(), [this, entry, report = *report] {
        Give(entry, entries_[entry].settings.incarnation, report);
      });
    }
  }
}

bool Cell::CanReachPlatform(int entry) const {
  return platform_fault_ != PlatformFault::kDown &&
         platform_fault_ != PlatformFault::kSilent &&
         !platform_cuts_.contains(entry);
}

void Cell::Do(int entry, const core::TableTransaction& output) {
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  After(kPlatformDelay, [this, entry, incarnation, output] {
    core::TableResult result{output.call, core::TableStatus::kUnavailable};
    base::Duration delay = kPlatformDelay;
    if (CanReachPlatform(entry)) {
      result.status = table_.Transact(output);
      if (platform_fault_ == PlatformFault::kAnswerLost) {
        result.status = core::TableStatus::kUnknown;
        delay = kPlatformTimeout;
      }
    } else if (platform_fault_ != PlatformFault::kDown) {
      result.status = core::TableStatus::kUnknown;
      delay = kPlatformTimeout;
    }
    After(delay, [this, entry, incarnation, result] {
      Give(entry, incarnation, result);
    });
  });
}

void Cell::Do(int entry, const core::TableRead& output) {
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  After(kPlatformDelay, [this, entry, incarnation, output] {
    core::TableRows rows;
    rows.call = output.call;
    const bool answered = CanReachPlatform(entry);
    if (answered) {
      rows = table_.Read(output);
    }
    After(answered ? kPlatformDelay : kPlatformTimeout,
          [this, entry, incarnation, rows] { Give(entry, incarnation, rows); });
  });
}

void Cell::Do(int entry, const core::ObjectWrite& output) {
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  const bool answered = CanReachPlatform(entry);
  core::ObjectResult result;
  result.call = output.call;
  if (answered) {
    if (output.value.empty()) {
      table_.DeleteObject(output.key);
    } else {
      table_.PutObject(output.key, output.value);
    }
    result.status = core::TableStatus::kCommitted;
  }
  After(
      answered ? kPlatformDelay : kPlatformTimeout,
      [this, entry, incarnation, result] { Give(entry, incarnation, result); });
}

void Cell::Do(int entry, const core::ObjectRead& output) {
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  core::ObjectResult result;
  result.call = output.call;
  if (CanReachPlatform(entry)) {
    const auto value = table_.FindObject(output.key);
    result.status =
        value ? core::TableStatus::kCommitted : core::TableStatus::kConflict;
    result.value = value.value_or("");
  }
  After(kPlatformDelay, [this, entry, incarnation, result] {
    Give(entry, incarnation, result);
  });
}

void Cell::Do(int entry, const core::HostListRead& /*output*/) {
  const base::Incarnation incarnation = entries_[entry].settings.incarnation;
  core::HostList list;
  list.available = CanReachPlatform(entry);
  if (list.available) {
    list.hosts = hosts_;
  }
  After(kPlatformDelay,
        [this, entry, incarnation, list] { Give(entry, incarnation, list); });
}

void Cell::Do(int entry, const core::CallerAnswer& output) {
  std::erase(entries_[entry].open, output.token);
  answers_[output.token] = output.answer;
  if (oracle_.asked().contains(output.token)) {
    oracle_.OnAnswer(output.token, output.answer, now_);
  }
}

void Cell::Do(int /*entry*/, const core::TicketAnswer& output) {
  ticket_answers_[output.token] = output;
}

void Cell::Do(int entry, const core::ShutdownComplete& /*output*/) {
  entries_[entry].shut_down = true;
}

}  // namespace dotterelbarrow::fuzz
