// Follows the platform's list of workers: reads it as a whole once, then only
// what changes.
//
// Load pattern: over a thousand workers of which a few change in a second. To
// read and decode the whole list twice a second would cost the owner more than
// placing the tasks of these workers.
#ifndef DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_
#define DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/workers/worker.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

class ListingReader {
 public:
  // Receives a complete list, the workers whose entries can't be read, and the
  // time at which its first page was requested. The list shows the workers as
  // they were at that time or later.
  using OnList = std::function<void(std::vector<core::workers::Listing>,
                                    std::vector<base::BackendId> unreadable,
                                    base::TimePoint requested_at)>;
  // Receives all changes since the last list or changes. Called at least once
  // per period while the store answers, also if nothing has changed.
  using OnChanges = std::function<void(core::scheduler::ListingChanges,
                                       base::TimePoint requested_at)>;

  // All arguments must outlive this.
  ListingReader(const wire::EventLoop& loop, platform::StoreClient* store,
                core::Counters* counters, base::Duration period, OnList on_list,
                OnChanges on_changes);
  ListingReader(const ListingReader&) = delete;
  ListingReader& operator=(const ListingReader&) = delete;

  // Reads the whole list, and from then on its changes. Reads the whole list
  // again if the store has dropped its history of changes.
  void Read();

 private:
  // A list of which only some pages may have arrived.
  struct Incoming {
    base::TimePoint requested_at;
    // The store's version before the first page was read.
    base::RowVersion version;
    std::vector<core::workers::Listing> listings;
    std::vector<base::BackendId> unreadable;
  };

  // Wraps a callback so that it does nothing after this object's destruction,
  // or once another call of Read has begun.
  template <typename Function>
  auto Guarded(Function function) {
    return [alive = std::weak_ptr<int>(alive_), this, reading = reading_,
            function = std::move(function)](const auto& result) {
      if (!alive.expired() && reading == reading_) {
        function(result);
      }
    };
  }

  void ReadPage(const std::string& from);
  void OnPage(const platform::ReadResult& result);
  void ReadChanges();
  void OnFeed(const platform::FeedResult& result, base::TimePoint sent_at);
  // Returns nullopt, and counts the entry, if it can't be read.
  std::optional<core::workers::Listing> ReadEntry(const platform::Row& row);

  platform::StoreClient* store_;
  core::Counters* counters_;
  base::Duration period_;
  OnList on_list_;
  OnChanges on_changes_;
  Incoming incoming_;
  // The number of calls of Read.
  std::uint64_t reading_ = 0;
  // All changes up to this version were delivered.
  base::RowVersion version_;
  // Expires with this object.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  wire::Timer page_timer_;
  wire::Timer feed_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_
