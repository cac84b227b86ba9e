// The rows of the table of settings.
#include "src/settings/setting_table.h"

namespace dotterelbarrow::settings {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;

// Node returns a member of NodeSettings, Daemon one of DaemonSettings.
template <auto Member>
auto& Node(DaemonSettings& settings) {
  return settings.node.*Member;
}
template <auto Member>
auto& Daemon(DaemonSettings& settings) {
  return settings.*Member;
}

template <auto Member>
Field NodeDuration(std::int64_t min_ms, std::int64_t max_ms) {
  return DurationField{&Node<Member>, min_ms, max_ms};
}
template <auto Member>
Field NodeCount(std::uint32_t min, std::uint32_t max) {
  return CountField{&Node<Member>, min, max};
}

using N = core::NodeSettings;
using D = DaemonSettings;

std::vector<SettingRow> DaemonRows() {
  return {
      {"daemon", "name", EntryNameField{&Node<&N::self>}, "",
       "This entry host; one of the [entry NAME] sections.", "e1"},
      {"daemon", "listen", AddressField{&Daemon<&D::listen_address>}, "",
       "Address on which this process serves the other entry hosts, backend "
       "servers, operators and callers.",
       "127.0.0.1:7101"},
      {"daemon", "callers", OptionalAddressField{&Daemon<&D::callers_address>},
       "",
       "A second address that serves callers only: requests, jobs and health "
       "pages. If callers are not trusted, let them reach only this address."},
      {"daemon", "platform", AddressField{&Daemon<&D::platform_address>}, "",
       "The platform's table service, object store and host list.",
       "127.0.0.1:7001"},
      {"daemon", "log_level", LogLevelField{&Daemon<&D::log_level>}, "",
       "Minimum severity of messages that are logged."},
      {"daemon", "request_body",
       CountField{&Daemon<&D::max_request_body_bytes>, 1024, 64U << 20},
       "bytes",
       "Maximum request body size; longer requests of callers and operators "
       "are "
       "rejected."},
      {"daemon", "connections",
       CountField{&Daemon<&D::max_connections>, 0, 1U << 20}, "connections",
       "Maximum number of connections at each address; 0 for a quarter of the "
       "process's limit on open files. Beyond it, the connection that was idle "
       "for longest is closed."},
      {"daemon", "connection_bytes",
       CountField{&Daemon<&D::max_connection_bytes>, 1U << 20, 1U << 30},
       "bytes",
       "Maximum memory for requests that are arriving and replies that are not "
       "read yet, of all clients together; the address for callers has half as "
       "much of its own. Beyond it, the slowest connections are closed."},
      {"daemon", "call_timeout", NodeDuration<&N::call_timeout>(50, kMinuteMs),
       "ms", "Timeout of a call to the platform or to another entry host."},
      {"daemon", "shutdown_bound",
       NodeDuration<&N::shutdown_bound>(1000, kHourMs), "ms",
       "Maximum duration of a graceful shutdown."},
  };
}

std::vector<SettingRow> MembershipRows() {
  return {
      {"membership", "heartbeat_period",
       NodeDuration<&N::heartbeat_period>(10, 10'000), "ms",
       "Interval between two rounds of heartbeats."},
      {"membership", "heartbeat_fanout", NodeCount<&N::heartbeat_fanout>(1, 64),
       "entry hosts",
       "Number of peers that are sent a heartbeat in one round."},
      {"membership", "member_timeout",
       NodeDuration<&N::member_timeout>(100, kMinuteMs), "ms",
       "A member that has not been heard from for this long is considered "
       "failed, and its work is taken over."},
      {"membership", "member_lease",
       NodeDuration<&N::member_lease>(500, kMinuteMs), "ms",
       "How long a member may grant leases after acknowledgements from a "
       "majority."},
      {"membership", "partition_count", NodeCount<&N::partition_count>(1, 4096),
       "partitions",
       "Number of partitions that teams are distributed over; must be the same "
       "on all entry hosts."},
  };
}

std::vector<SettingRow> BackendRows() {
  return {
      {"backends", "sync_period",
       NodeDuration<&N::backend_sync_period>(50, kMinuteMs), "ms",
       "Interval between two renewals of a backend server's lease."},
      {"backends", "lease",
       NodeDuration<&N::backend_lease>(500, 10 * kMinuteMs), "ms",
       "A backend server stops its tasks if its lease has not been renewed for "
       "this long."},
      {"backends", "clock_drift", NodeCount<&N::clock_drift_permille>(0, 200),
       "thousandths", "Allowance for clocks that run at different rates."},
      {"backends", "host_list_period",
       NodeDuration<&N::host_list_period>(100, kMinuteMs), "ms",
       "Interval between two reads of the platform's host list."},
      {"backends", "quarantine_failures",
       NodeCount<&N::quarantine_failures>(1, 1000), "failures",
       "Consecutive failures after which a backend server is quarantined."},
      {"backends", "quarantine_period",
       NodeDuration<&N::quarantine_period>(100, kHourMs), "ms",
       "A quarantined backend server is probed after this time."},
      {"backends", "packing_weight",
       FractionField{&Node<&N::packing_weight>, 0, 1}, "",
       "0 spreads tasks over the workers, 1 packs them onto few."},
  };
}

std::vector<SettingRow> ConfigurationRows() {
  return {
      {"configuration", "read_period",
       NodeDuration<&N::config_read_period>(50, kMinuteMs), "ms",
       "Interval between two checks for newly accepted tickets."},
      {"configuration", "trust", NodeDuration<&N::config_trust>(100, kHourMs),
       "ms",
       "Keys are no longer trusted if the configuration has not been confirmed "
       "as current for this long."},
  };
}

std::vector<SettingRow> JobRows() {
  return {
      {"jobs", "journal_flush_period",
       NodeDuration<&N::journal_flush_period>(1, 10'000), "ms",
       "Journal records are buffered for this long before they are written."},
      {"jobs", "journal_records_per_snapshot",
       NodeCount<&N::journal_records_per_snapshot>(10, 1'000'000), "records",
       "A partition's journal starts from a new snapshot after this many "
       "records."},
      {"jobs", "place_patience", NodeDuration<&N::place_patience>(1, kMinuteMs),
       "ms",
       "How long a task may wait for placement at one owner before it is "
       "offered again."},
      {"jobs", "place_window", NodeCount<&N::place_window>(1, 100'000), "tasks",
       "Maximum number of tasks of one team that wait for placement at one "
       "owner at a time."},
      {"jobs", "task_attempts", NodeCount<&N::task_attempts>(1, 1000),
       "attempts",
       "Maximum number of attempts of one task before its job fails."},
      {"jobs", "distinct_backend_failures",
       NodeCount<&N::distinct_backend_failures>(1, 1000), "backend servers",
       "A job that has failed on this many different backend servers is "
       "ended."},
      {"jobs", "hold_time", NodeDuration<&N::hold_time>(10, kMinuteMs), "ms",
       "How long resources are reserved for a job whose tasks must start "
       "together."},
      {"jobs", "jobs_per_team", NodeCount<&N::jobs_per_team>(1, 10'000'000),
       "jobs", "Maximum number of jobs of one team that are kept at a time."},
      {"interactive", "queue_length",
       NodeCount<&N::interactive_queue_length>(0, 1'000'000), "requests",
       "Maximum number of requests that wait at this entry host for a slot."},
  };
}

}  // namespace

const std::vector<SettingRow>& SettingTable() {
  static const auto* const table = [] {
    auto* rows = new std::vector<SettingRow>();
    for (const auto& part : {DaemonRows(), MembershipRows(), BackendRows(),
                             ConfigurationRows(), JobRows()}) {
      rows->insert(rows->end(), part.begin(), part.end());
    }
    return rows;
  }();
  return *table;
}

}  // namespace dotterelbarrow::settings
