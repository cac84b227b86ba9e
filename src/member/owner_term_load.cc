// Loads the stored records and the evacuations before a new owner starts to
// schedule.
#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "src/member/clock.h"
#include "src/member/owner_term.h"
#include "src/member/store_layout.h"

namespace dotterelbarrow::member {
namespace {

using core::scheduler::RecordTable;

constexpr base::Duration kReadTimeout = std::chrono::milliseconds(1000);

constexpr std::array kTables = {RecordTable::kLivePages,
                                RecordTable::kEndedPages, RecordTable::kWorkers,
                                RecordTable::kRunTimes};

}  // namespace

void OwnerTerm::LoadAll() {
  for (const RecordTable table : kTables) {
    ++parts_loading_;
    Load(table, "");
  }
  ++parts_loading_;
  parts_.read_evacuations(
      Guarded(OwnerInput::kLoading,
              [this](const std::set<base::AvailabilityZone>& zones) {
                SetEvacuatedZones(zones);
                OnPartLoaded();
              }));
}

void OwnerTerm::SetEvacuatedZones(
    const std::set<base::AvailabilityZone>& zones) {
  scheduler_.SetEvacuatedZones(zones, Now());
  SchedulePass();
}

void OwnerTerm::Load(RecordTable table, const std::string& from) {
  parts_.store->Read(
      RowsFrom(table, parts_.shard, from), kReadTimeout,
      Guarded(OwnerInput::kLoading,
              [this, table, from](const platform::ReadResult& result) {
                OnLoaded(table, from, result);
              }));
}

void OwnerTerm::OnLoaded(RecordTable table, const std::string& from,
                         const platform::ReadResult& result) {
  if (is_over_) {
    return;
  }
  if (result.outcome != platform::StoreOutcome::kDone) {
    Load(table, from);
    return;
  }
  auto& rows = loading_[table];
  for (const platform::Row& row : result.rows) {
    rows[row.key.key] = row.value;
  }
  if (result.has_more && !result.rows.empty()) {
    Load(table, platform::KeyAfter(result.rows.back().key.key));
    return;
  }
  OnPartLoaded();
}

void OwnerTerm::OnPartLoaded() {
  if (!is_over_ && --parts_loading_ == 0) {
    BeginScheduling();
  }
}

void OwnerTerm::BeginScheduling() {
  const base::TimePoint now = Now();
  for (const RecordTable table :
       {RecordTable::kLivePages, RecordTable::kEndedPages}) {
    for (const auto& [key, text] : loading_[table]) {
      scheduler_.RestorePage(table, key, text, now);
    }
  }
  scheduler_.RestoreJobs(now, StoreNowMillis());
  if (const auto* previous = parts_.leadership->previous_owner()) {
    scheduler_.SetEarlierOwnersUntil(previous->earlier_owners_until_ms,
                                     StoreNowMillis(), now);
  }
  for (const auto& [id, record] : loading_[RecordTable::kWorkers]) {
    scheduler_.AddInheritedWorker(base::BackendId(id), record, StoreNowMillis(),
                                  now);
  }
  for (const auto& [key, text] : loading_[RecordTable::kRunTimes]) {
    scheduler_.RestoreRunTimes(key, text, now);
  }
  is_previous_owner_stopped_ = is_previous_owner_stopped_ ||
                               parts_.leadership->has_previous_owner_stopped();
  parts_.telemetry.log->Write(
      "term_loaded",
      {{"shard", static_cast<std::int64_t>(parts_.shard.value())},
       {"jobs", static_cast<std::int64_t>(scheduler_.live_jobs())},
       {"workers",
        static_cast<std::int64_t>(loading_[RecordTable::kWorkers].size())},
       {"previous_stopped", is_previous_owner_stopped_ ? "yes" : "no"}});
  loading_.clear();
  is_loaded_ = true;
  if (is_previous_owner_stopped_) {
    scheduler_.OnPreviousOwnerStopped(now);
  }
  listings_.Read();
}

}  // namespace dotterelbarrow::member
