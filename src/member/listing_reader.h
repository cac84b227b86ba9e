// Reads the platform's list of workers periodically, and delivers each list as
// a whole.
#ifndef DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_
#define DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/workers/worker.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

class ListingReader {
 public:
  // Receives a complete list and the time at which its first page was
  // requested. The list shows the workers as they were at that time or later.
  using OnList = std::function<void(std::vector<core::workers::Listing>,
                                    base::TimePoint requested_at)>;

  // After the first Read, reads again `period` after each complete list. All
  // arguments must outlive this.
  ListingReader(const wire::EventLoop& loop, platform::StoreClient* store,
                core::Counters* counters, base::Duration period,
                OnList on_list);
  ListingReader(const ListingReader&) = delete;
  ListingReader& operator=(const ListingReader&) = delete;

  // Starts to read a new list from its first page.
  void Read();

 private:
  // A list of which only some pages may have arrived.
  struct Incoming {
    base::TimePoint requested_at;
    std::vector<core::workers::Listing> listings;
  };

  void ReadPage(const std::string& from);
  void OnPage(const platform::ReadResult& result);
  void AddListing(const platform::Row& row);

  platform::StoreClient* store_;
  core::Counters* counters_;
  base::Duration period_;
  OnList on_list_;
  Incoming incoming_;
  // Expires with this object, so that callbacks of pending reads do nothing
  // afterwards.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  wire::Timer timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_
