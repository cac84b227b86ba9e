// Reads the pages of the list in key order.
#include "src/member/listing_reader.h"

#include <chrono>
#include <utility>

#include "platform/operator_records.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

constexpr base::Duration kReadTimeout = std::chrono::milliseconds(1000);
constexpr base::Duration kReadRetryDelay = std::chrono::milliseconds(100);

}  // namespace

ListingReader::ListingReader(const wire::EventLoop& loop,
                             platform::StoreClient* store,
                             core::Counters* counters, base::Duration period,
                             OnList on_list)
    : store_(store),
      counters_(counters),
      period_(period),
      on_list_(std::move(on_list)),
      timer_(loop, [this] { Read(); }) {}

void ListingReader::Read() {
  incoming_ = {Now(), {}};
  ReadPage("");
}

void ListingReader::ReadPage(const std::string& from) {
  platform::RowRange range = platform::RegistrationRows();
  range.from = from;
  store_->Read(range, kReadTimeout,
               [this, alive = std::weak_ptr<int>(alive_)](
                   const platform::ReadResult& result) {
                 if (!alive.expired()) {
                   OnPage(result);
                 }
               });
}

void ListingReader::OnPage(const platform::ReadResult& result) {
  if (result.outcome != platform::StoreOutcome::kDone) {
    timer_.StartOnce(kReadRetryDelay);
    return;
  }
  for (const platform::Row& row : result.rows) {
    AddListing(row);
  }
  if (result.has_more && !result.rows.empty()) {
    ReadPage(platform::KeyAfter(result.rows.back().key.key));
    return;
  }
  timer_.StartOnce(period_);
  on_list_(std::move(incoming_.listings), incoming_.requested_at);
}

void ListingReader::AddListing(const platform::Row& row) {
  base::Failure reason;
  auto listing = platform::ReadListing(row.key.key, row.value, &reason);
  if (!listing) {
    counters_->Increment("registrations_unreadable",
                         base::ToString(reason.code));
    return;
  }
  listing->revision = row.version.value();
  incoming_.listings.push_back(std::move(*listing));
}

}  // namespace dotterelbarrow::member
