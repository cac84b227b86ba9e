// Implements the entries, faults and callers of the simulated cell.
#include "test/fuzz/cell.h"

#include <algorithm>

namespace dotterelbarrow::fuzz {
namespace {

constexpr base::Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr int kZones = 3;

}  // namespace

Cell::Cell(const CellSize& size, std::uint64_t seed)
    : random_(seed),
      config_watch_(base::TeamId("parts"),
                    {base::ApiKey("key-ovens"), base::ApiKey("key-parts")}) {
  std::vector<core::EntryRecord> records;
  records.reserve(size.entries);
  for (int i = 0; i < size.entries; ++i) {
    records.push_back(
        {EntryName(i), "10.0.0." + std::to_string(i) + ":1",
         base::AvailabilityZone("az" + std::to_string(i % kZones)),
         base::RegionId("r")});
  }
  for (int i = 0; i < size.workers + size.runners; ++i) {
    const bool worker = i < size.workers;
    core::HostRecord host;
    host.backend = base::BackendId((worker ? "w" : "r") + std::to_string(i));
    host.kind =
        worker ? core::BackendKind::kWorker : core::BackendKind::kRunner;
    host.address = host.backend.value();
    host.shard = base::ShardId((worker ? "rack" : "runners") +
                               std::to_string(i / size.per_shard));
    host.availability_zone =
        base::AvailabilityZone("az" + std::to_string(i % kZones));
    host.capacity =
        worker ? size.worker : base::Resources{{}, {}, {}, size.slots};
    backend_index_[host.backend] = i;
    host.service = base::ServiceId(worker ? "" : "seats");
    hosts_.push_back(host);
    standins::BackendTraits traits;
    traits.backend = host.backend;
    traits.kind = host.kind;
    traits.capacity = host.capacity;
    backends_.push_back(
        std::make_unique<standins::BackendModel>(traits, &ledger_, now_));
  }
  entries_.resize(size.entries);
  for (int i = 0; i < size.entries; ++i) {
    entries_[i].settings.self = EntryName(i);
    entries_[i].settings.entries = records;
    entries_[i].settings.partition_count = size.partitions;
    Start(i);
  }
}

base::EntryId Cell::EntryName(int i) {
  return base::EntryId("e" + std::to_string(i));
}

int Cell::BackendIndex(const base::BackendId& id) const {
  return backend_index_.at(id);
}

void Cell::After(base::Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++order_, std::move(action)});
}

base::Duration Cell::Delay() {
  return base::Duration(100 +
                        random_() % network_conditions_.longest_delay.count());
}

bool Cell::Chance(int percent) {
  return percent > 0 && static_cast<int>(random_() % 100) < percent;
}

void Cell::Run(base::Duration time) {
  RunUntil(time, [] { return false; });
}

bool Cell::RunUntil(base::Duration bound, const std::function<bool()>& done) {
  const base::TimePoint end = now_ + bound;
  while (now_ < end) {
    if (done()) {
      return true;
    }
    StepTo(std::min(end, next_tick_));
    if (now_ >= next_tick_) {
      next_tick_ = now_ + kTickPeriod;
      TickAll();
    }
  }
  return done();
}

void Cell::StepTo(base::TimePoint at) {
  while (!events_.empty() && events_.top().at <= at) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.action();
  }
  now_ = std::max(now_, at);
}

void Cell::TickAll() {
  RecordConfigs();
  CheckLimits();
  for (int i = 0; i < backends(); ++i) {
    backends_[i]->Advance(now_);
    CollectRuns(i);
    SendUnsolicitedReport(i);
  }
  for (int i = 0; i < entries(); ++i) {
    Entry& entry = entries_[i];
    if (entry.node == nullptr || entry.frozen) {
      continue;
    }
    Charge(i, [&] { entry.node->Tick(now_); });
    CarryOut(i);
    if (entry.node == nullptr) {
      continue;
    }
    const base::ConfigVersion version = entry.node->catalogue().version();
    if (version < entry.config_version) {
      broken_ = "the configuration reverted at " + EntryName(i).value();
    }
    entry.config_version = version;
  }
  RecordConfigs();
}

void Cell::RecordConfigs() {
  for (const Entry& entry : entries_) {
    if (entry.node != nullptr && !entry.frozen) {
      config_watch_.OnInForce(entry.node->catalogue(), now_);
    }
  }
}

void Cell::Give(int i, base::Incarnation incarnation,
                const core::Input& input) {
  Entry& entry = entries_[i];
  if (entry.node == nullptr || entry.settings.incarnation != incarnation) {
    return;
  }
  if (entry.frozen) {
    entry.inbox.push_back(input);
    return;
  }
  if (metered_) {
    Count(i, input);
  }
  Charge(i, [&] { entry.node->Handle(input, now_); });
  CarryOut(i);
}

void Cell::CarryOut(int i) {
  for (const core::Output& output : entries_[i].node->TakeOutputs()) {
    if (metered_) {
      Count(i, output);
    }
    std::visit([&](const auto& each) { Do(i, each); }, output);
  }
  if (entries_[i].shut_down) {
    entries_[i].node.reset();
  }
}

core::CallerToken Cell::Ask(int i, const core::WorkRequest& request) {
  const core::CallerToken token(++tokens_);
  Entry& entry = entries_[i];
  if (entry.node == nullptr) {
    return token;
  }
  core::WorkRequest expected = request;
  expected.team = base::TeamId(
      request.key == base::ApiKey("key-parts") ? "parts" : "ovens");
  oracle_.OnAsked(token, expected, now_,
                  config_watch_.IsLongRevoked(request.key, now_));
  entry.open.push_back(token);
  Give(i, entry.settings.incarnation, core::CallerRequest{token, request});
  return token;
}

core::CallerToken Cell::SendJobCommand(int i, core::CallerJobCommand::Verb verb,
                                       const base::ApiKey& key,
                                       const base::RequestId& request) {
  const core::CallerToken token(++tokens_);
  Give(i, entries_[i].settings.incarnation,
       core::CallerJobCommand{token, verb, key, request});
  return token;
}

core::CallerToken Cell::SubmitTicket(int i, const std::string& ticket) {
  const core::CallerToken token(++tokens_);
  Give(i, entries_[i].settings.incarnation,
       core::OperatorTicket{token, ticket});
  return token;
}

const core::Answer* Cell::AnswerTo(core::CallerToken token) const {
  const auto it = answers_.find(token);
  return it == answers_.end() ? nullptr : &it->second;
}

const core::TicketAnswer* Cell::TicketAnswerTo(core::CallerToken token) const {
  const auto it = ticket_answers_.find(token);
  return it == ticket_answers_.end() ? nullptr : &it->second;
}

void Cell::Kill(int i) {
  Entry& entry = entries_[i];
  if (entry.node == nullptr) {
    return;
  }
  entry.node.reset();
  entry.frozen = false;
  entry.inbox.clear();
  oracle_.OnEntryDied(std::exchange(entry.open, {}));
}

void Cell::Start(int i) {
  Entry& entry = entries_[i];
  if (entry.node != nullptr) {
    return;
  }
  entry.settings.incarnation = base::Incarnation(++incarnations_);
  entry.stopping = false;
  entry.shut_down = false;
  entry.config_version = {};
  entry.node = std::make_unique<core::Node>(entry.settings, random_(), now_);
}

void Cell::Freeze(int i) { entries_[i].frozen = is_alive(i); }

void Cell::Thaw(int i) {
  Entry& entry = entries_[i];
  if (!entry.frozen) {
    return;
  }
  entry.frozen = false;
  for (const core::Input& input : std::exchange(entry.inbox, {})) {
    Give(i, entry.settings.incarnation, input);
  }
}

void Cell::BeginShutdown(int i) {
  entries_[i].stopping = is_alive(i);
  Give(i, entries_[i].settings.incarnation, core::BeginShutdown{});
}

void Cell::RestoreLinks() {
  cuts_.clear();
  backend_cuts_.clear();
  platform_cuts_.clear();
}

void Cell::SetBackendFault(int backend, standins::BackendFault fault) {
  backends_[backend]->SetFault(fault, now_);
}

void Cell::SetLeaving(int backend, bool leaving) {
  hosts_[backend].leaving = leaving;
}

void Cell::EndAllFaults() {
  RestoreLinks();
  network_conditions_ = NetworkConditions();
  platform_fault_ = PlatformFault::kNone;
  for (int i = 0; i < backends(); ++i) {
    SetBackendFault(i, standins::BackendFault::kNone);
    SetLeaving(i, false);
  }
  for (int i = 0; i < entries(); ++i) {
    Thaw(i);
    Start(i);
  }
}

void Cell::CheckLimits() {
  const base::TeamId parts("parts");
  const auto limit = config_watch_.HighestLimit(now_);
  if (!limit) {
    return;
  }
  const auto check_limit = [this](const char* what, std::int64_t running,
                                  std::int64_t most) {
    if (running > most && !broken_) {
      broken_ = "team parts had " + std::to_string(running) + " " + what +
                " running, more than its upper limit of " +
                std::to_string(most);
    }
  };
  check_limit("tasks", ledger_.RunningOf(parts, false),
              limit->cpu.value() / 1000);
  check_limit("requests", ledger_.RunningOf(parts, true), limit->slots.value());
}

std::optional<std::string> Cell::FirstViolation() const {
  return broken_ ? broken_ : oracle_.FirstViolation(ledger_);
}

std::string SetupTicket(int number) {
  return R"({"ticket":)" + std::to_string(number) + R"(,"objects":[
    {"kind":"team","name":"ovens","state":{"organisation":"school"}},
    {"kind":"team","name":"parts","state":{"organisation":"franchise"}},
    {"kind":"key","name":"key-ovens","state":{"team":"ovens"}},
    {"kind":"key","name":"key-parts","state":{"team":"parts"}},
    {"kind":"limit","name":"parts","state":{"cpu_millicores":3000,"slots":3}},
    {"kind":"service","name":"seats","state":{"open":false}},
    {"kind":"service","name":"open","state":
      {"open":true,"open_team":"ovens"}}]})";
}

std::string LimitTicket(int number, int limit) {
  return R"({"ticket":)" + std::to_string(number) +
         R"(,"objects":[{"kind":"limit","name":"parts","state":
         {"cpu_millicores":)" +
         std::to_string(limit * 1000) + R"(,"slots":)" + std::to_string(limit) +
         "}}]}";
}

std::string KeyTicket(int number, const std::string& team, bool give) {
  const std::string state =
      give ? R"({"team":")" + team + R"("})" : std::string("null");
  return R"({"ticket":)" + std::to_string(number) +
         R"(,"objects":[{"kind":"key","name":"key-)" + team + R"(","state":)" +
         state + "}]}";
}

}  // namespace dotterelbarrow::fuzz
