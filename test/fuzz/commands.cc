// Implements how each command is generated, run and printed.
#include "test/fuzz/commands.h"

#include <algorithm>

namespace dotterelbarrow::fuzz {
namespace {

using core::WorkKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 5;
constexpr int kBackends = 10;
// The number of entries that may be dead or frozen at once, so that a majority
// of them stays up.
constexpr int kMaxDown = 2;
// Ticket 1 set up the cell.
constexpr int kFirstTicket = 2;
constexpr int kMaxLimit = 5;

int CountEntriesDown(const Cell& cell) {
  int down = 0;
  for (int i = 0; i < cell.entries(); ++i) {
    down += !cell.is_alive(i) || cell.is_frozen(i) ? 1 : 0;
  }
  return down;
}

core::WorkRequest GenerateRequest(int number) {
  core::WorkRequest request;
  request.id = base::RequestId("q" + std::to_string(number));
  request.key =
      base::ApiKey(*rc::gen::element<std::string>("key-ovens", "key-parts"));
  request.service = base::ServiceId("seats");
  request.kind =
      *rc::gen::weightedElement<WorkKind>({{4, WorkKind::kInteractive},
                                           {3, WorkKind::kBatch},
                                           {2, WorkKind::kAllAtOnce}});
  request.idempotent = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
  const int run_ms = *rc::gen::inRange(1, 4000);
  const bool fails = *rc::gen::inRange(0, 8) == 0;
  request.payload = "{\"run_ms\":" + std::to_string(run_ms) +
                    ",\"fail_times\":" + (fails ? "1" : "0") + "}";
  if (request.kind == WorkKind::kInteractive) {
    request.demand.slots = base::Slots(1);
    request.deadline = milliseconds(*rc::gen::inRange(500, 8000));
    if (!request.idempotent && *rc::gen::arbitrary<bool>()) {
      request.idempotency_key =
          base::IdempotencyKey("k" + std::to_string(number));
    }
    return request;
  }
  request.task_count = *rc::gen::inRange(1, 7);
  request.demand.cpu = base::Millicores(1000);
  request.demand.memory = base::Mebibytes(*rc::gen::inRange(1, 4000));
  request.urgent = *rc::gen::inRange(0, 6) == 0;
  return request;
}

void Ask(Cell* cell, int entry, const core::WorkRequest& request) {
  const core::CallerToken token = cell->Ask(entry, request);
  const auto asked = cell->oracle().asked().find(token);
  if (asked != cell->oracle().asked().end() && asked->second.key_revoked) {
    ++RevokedKeyRequests();
  }
}

}  // namespace

int& CommandsRun() {
  static int commands = 0;
  return commands;
}

int& RevokedKeyRequests() {
  static int shown = 0;
  return shown;
}

void PassTime(Cell* cell, base::Duration time) {
  ++CommandsRun();
  cell->Run(time);
  if (const auto violation = cell->FirstViolation()) {
    RC_FAIL(*violation);
  }
}

SubmitWork::SubmitWork(const Model& model)
    : number_(model.requests),
      entry_(*rc::gen::inRange(0, kEntries)),
      request_(GenerateRequest(number_)) {}

void SubmitWork::run(const Model& /*model*/, Cell& cell) const {
  Ask(&cell, entry_, request_);
  PassTime(&cell, milliseconds(20));
}

void SubmitWork::show(std::ostream& out) const {
  out << "Ask e" << entry_ << " " << request_.id.value() << " "
      << request_.key.value() << " " << core::ToString(request_.kind) << " x"
      << request_.task_count << (request_.idempotent ? "" : " non-idempotent")
      << (request_.urgent ? " urgent" : "") << " " << request_.payload;
}

SubmitBurst::SubmitBurst(const Model& model)
    : number_(model.requests),
      parts_(*rc::gen::weightedElement<bool>({{3, true}, {1, false}})),
      run_ms_(*rc::gen::inRange(1, 4000)) {}

void SubmitBurst::run(const Model& /*model*/, Cell& cell) const {
  for (int i = 0; i < kRequests; ++i) {
    core::WorkRequest request;
    request.id = base::RequestId("q" + std::to_string(number_ + i));
    request.key = base::ApiKey(parts_ ? "key-parts" : "key-ovens");
    request.service = base::ServiceId("seats");
    request.demand.slots = base::Slots(1);
    request.deadline = seconds(6);
    request.payload = "{\"run_ms\":" + std::to_string(run_ms_) + "}";
    Ask(&cell, i % kEntries, request);
  }
  PassTime(&cell, milliseconds(200));
}

void SubmitBurst::show(std::ostream& out) const {
  out << "Burst q" << number_ << " to q" << number_ + kRequests - 1 << " of "
      << (parts_ ? "parts" : "ovens") << ", " << run_ms_ << " ms";
}

CancelWork::CancelWork(const Model& model)
    : entry_(*rc::gen::inRange(0, kEntries)),
      number_(*rc::gen::inRange(0, model.requests + 1)),
      parts_(*rc::gen::arbitrary<bool>()) {}

void CancelWork::run(const Model& /*model*/, Cell& cell) const {
  cell.SendJobCommand(entry_, core::CallerJobCommand::Verb::kCancel,
                      base::ApiKey(parts_ ? "key-parts" : "key-ovens"),
                      base::RequestId("q" + std::to_string(number_)));
  PassTime(&cell, milliseconds(20));
}

void CancelWork::show(std::ostream& out) const {
  out << "Cancel e" << entry_ << " q" << number_
      << (parts_ ? " as parts" : " as ovens");
}

ChangeConfig::ChangeConfig(const Model& model)
    : entry_(*rc::gen::inRange(0, kEntries)),
      wait_(milliseconds(*rc::gen::element(100, 100, 7500))) {
  const int number = kFirstTicket + model.tickets;
  if (*rc::gen::inRange(0, 2) == 0) {
    ticket_ = LimitTicket(number, *rc::gen::inRange(1, kMaxLimit + 1));
    return;
  }
  const auto team = *rc::gen::element<std::string>("ovens", "parts");
  const bool give = *rc::gen::weightedElement<bool>({{3, true}, {2, false}});
  ticket_ = KeyTicket(number, team, give);
}

void ChangeConfig::run(const Model& /*model*/, Cell& cell) const {
  cell.SubmitTicket(entry_, ticket_);
  PassTime(&cell, wait_);
}

void ChangeConfig::show(std::ostream& out) const {
  out << "Ticket e" << entry_ << " " << ticket_ << ", then "
      << wait_.count() / 1000 << " ms";
}

DisturbEntry::DisturbEntry()
    : kind_(static_cast<Kind>(*rc::gen::inRange(0, 9))),
      entry_(*rc::gen::inRange(0, kEntries)),
      other_(*rc::gen::inRange(0, kEntries)) {}

void DisturbEntry::run(const Model& /*model*/, Cell& cell) const {
  const bool may_go_down = CountEntriesDown(cell) < kMaxDown;
  switch (kind_) {
    case Kind::kKill:
      if (may_go_down || cell.is_frozen(entry_)) {
        cell.Kill(entry_);
      }
      break;
    case Kind::kStart:
      cell.Start(entry_);
      break;
    case Kind::kFreeze:
      if (may_go_down) {
        cell.Freeze(entry_);
      }
      break;
    case Kind::kThaw:
      cell.Thaw(entry_);
      break;
    case Kind::kCutOneWay:
      cell.Cut(entry_, other_);
      break;
    case Kind::kCutOff:
      for (int i = 0; i < kEntries; ++i) {
        cell.Cut(entry_, i);
        cell.Cut(i, entry_);
      }
      break;
    case Kind::kCutPlatform:
      cell.CutPlatform(entry_);
      break;
    case Kind::kShutdown:
      if (may_go_down) {
        cell.BeginShutdown(entry_);
      }
      break;
    case Kind::kRestoreLinks:
      cell.RestoreLinks();
      break;
  }
  PassTime(&cell, milliseconds(100));
}

void DisturbEntry::show(std::ostream& out) const {
  static const char* const names[] = {"Kill",        "Start",     "Freeze",
                                      "Thaw",        "CutOneWay", "CutOff",
                                      "CutPlatform", "Shutdown",  "MendCuts"};
  out << names[static_cast<int>(kind_)] << " e" << entry_;
  if (kind_ == Kind::kCutOneWay) {
    out << " to e" << other_;
  }
}

DisturbBackend::DisturbBackend()
    : backend_(*rc::gen::inRange(0, kBackends)),
      entry_(*rc::gen::inRange(0, kEntries)),
      kind_(*rc::gen::inRange(0, 9)) {}

void DisturbBackend::run(const Model& /*model*/, Cell& cell) const {
  if (kind_ < 6) {
    cell.SetBackendFault(backend_, static_cast<standins::BackendFault>(kind_));
  } else if (kind_ == 6) {
    cell.SetBackendFault(backend_, standins::BackendFault::kNone);
  } else if (kind_ == 7) {
    cell.CutBackend(entry_, backend_);
  } else {
    cell.SetLeaving(backend_, entry_ % 2 == 0);
  }
  PassTime(&cell, milliseconds(100));
}

void DisturbBackend::show(std::ostream& out) const {
  if (kind_ <= 6) {
    out << "Fault "
        << standins::ToString(static_cast<standins::BackendFault>(kind_ % 6))
        << " on backend " << backend_;
  } else if (kind_ == 7) {
    out << "CutBackend e" << entry_ << " " << backend_;
  } else {
    out << "Leaving " << backend_ << (entry_ % 2 == 0 ? " on" : " off");
  }
}

DisturbPlatform::DisturbPlatform()
    : fault_(static_cast<PlatformFault>(*rc::gen::inRange(0, 4))) {
  network_conditions_.longest_delay =
      milliseconds(*rc::gen::element(2, 2, 200, 1500));
  network_conditions_.lost_percent = *rc::gen::element(0, 0, 5, 30);
  network_conditions_.doubled_percent = *rc::gen::element(0, 0, 10);
}

void DisturbPlatform::run(const Model& /*model*/, Cell& cell) const {
  cell.set_platform_fault(fault_);
  cell.set_network_conditions(network_conditions_);
  PassTime(&cell, milliseconds(100));
}

void DisturbPlatform::show(std::ostream& out) const {
  static const char* const names[] = {"up", "down", "silent", "answer lost"};
  out << "Platform " << names[static_cast<int>(fault_)] << ", delays to "
      << network_conditions_.longest_delay.count() << " us, lost "
      << network_conditions_.lost_percent << "%, doubled "
      << network_conditions_.doubled_percent << "%";
}

Wait::Wait() : time_(milliseconds(*rc::gen::inRange(50, 6000))) {}

void Wait::run(const Model& /*model*/, Cell& cell) const {
  PassTime(&cell, time_);
}

void Wait::show(std::ostream& out) const {
  out << "Wait " << time_.count() / 1000 << " ms";
}

}  // namespace dotterelbarrow::fuzz
