// Reads the pages of the list in key order, then the feed of its changes.
#include "src/member/listing_reader.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "platform/operator_records.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

constexpr base::Duration kReadTimeout = std::chrono::milliseconds(1000);
constexpr base::Duration kReadRetryDelay = std::chrono::milliseconds(100);
// Time between two reads of the feed when it has changes, so that many changes
// in a row take few calls. Small against the seconds for which a draining
// worker still accepts work.
constexpr base::Duration kMinFeedInterval = std::chrono::milliseconds(60);

}  // namespace

ListingReader::ListingReader(const wire::EventLoop& loop,
                             platform::StoreClient* store,
                             core::Counters* counters, base::Duration period,
                             OnList on_list, OnChanges on_changes)
    : store_(store),
      counters_(counters),
      period_(period),
      on_list_(std::move(on_list)),
      on_changes_(std::move(on_changes)),
      page_timer_(loop, [this] { Read(); }),
      feed_timer_(loop, [this] { ReadChanges(); }) {}

void ListingReader::Read() {
  ++reading_;
  feed_timer_.Cancel();
  incoming_ = {
      .requested_at = Now(), .version = {}, .listings = {}, .unreadable = {}};
  ReadPage("");
}

void ListingReader::ReadPage(const std::string& from) {
  platform::RowRange range = platform::RegistrationRows();
  range.from = from;
  store_->Read(
      range, kReadTimeout,
      Guarded([this](const platform::ReadResult& result) { OnPage(result); }));
}

void ListingReader::OnPage(const platform::ReadResult& result) {
  if (result.outcome != platform::StoreOutcome::kDone) {
    page_timer_.StartOnce(kReadRetryDelay);
    return;
  }
  if (incoming_.version == base::RowVersion()) {
    incoming_.version = result.version;
  }
  for (const platform::Row& row : result.rows) {
    if (auto listing = ReadEntry(row)) {
      incoming_.listings.push_back(std::move(*listing));
    } else {
      incoming_.unreadable.emplace_back(row.key.key);
    }
  }
  if (result.has_more && !result.rows.empty()) {
    ReadPage(platform::KeyAfter(result.rows.back().key.key));
    return;
  }
  // Changes between the first page and the last one are delivered by the feed;
  // some of them may be in the list already.
  version_ = incoming_.version;
  feed_timer_.StartOnce(kMinFeedInterval);
  on_list_(std::move(incoming_.listings), std::move(incoming_.unreadable),
           incoming_.requested_at);
}

void ListingReader::ReadChanges() {
  store_->ReadFeed(
      platform::RegistrationRows().table, version_, period_, kReadTimeout,
      Guarded([this, sent_at = Now()](const platform::FeedResult& result) {
        OnFeed(result, sent_at);
      }));
}

void ListingReader::OnFeed(const platform::FeedResult& result,
                           base::TimePoint sent_at) {
  if (result.outcome == platform::StoreOutcome::kHistoryGone) {
    // Not more often than once a period, in case the store keeps no history.
    const base::Duration since_read = Now() - incoming_.requested_at;
    page_timer_.StartOnce(std::max(base::Duration(0), period_ - since_read));
    return;
  }
  if (result.outcome != platform::StoreOutcome::kDone) {
    feed_timer_.StartOnce(kReadRetryDelay);
    return;
  }
  version_ = result.version;
  core::scheduler::ListingChanges changes;
  // Only the last change of each row counts.
  std::set<std::string> seen;
  for (auto change = result.changes.rbegin(); change != result.changes.rend();
       ++change) {
    const platform::RowKey& key = change->row.key;
    if (!key.part.empty() || !seen.insert(key.key).second) {
      continue;
    }
    if (change->is_deleted) {
      changes.removed.emplace_back(key.key);
    } else if (auto listing = ReadEntry(change->row)) {
      changes.listed.push_back(std::move(*listing));
    } else {
      changes.unusable.emplace_back(key.key);
    }
  }
  feed_timer_.StartOnce(result.changes.empty() ? base::Duration(0)
                                               : kMinFeedInterval);
  on_changes_(std::move(changes), sent_at);
}

std::optional<core::workers::Listing> ListingReader::ReadEntry(
    const platform::Row& row) {
  base::Failure reason;
  auto listing = platform::ReadListing(row.key.key, row.value, &reason);
  if (!listing) {
    counters_->Increment("registrations_unreadable",
                         base::ToString(reason.code));
    return std::nullopt;
  }
  listing->revision = row.version.value();
  return listing;
}

}  // namespace dotterelbarrow::member
