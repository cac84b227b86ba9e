// Reads the platform's list of workers, again and again, and hands each list
// over whole.
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
  // Takes a list and when its first page was asked for: the store answered with
  // what held then or later.
  using OnList = std::function<void(std::vector<core::workers::Listing>,
                                    base::TimePoint asked_at)>;

  // Reads `period` after the last list came, once begun. All must outlive this.
  ListingReader(const wire::EventLoop& loop, platform::StoreClient* store,
                core::Counters* counters, base::Duration period,
                OnList on_list);
  ListingReader(const ListingReader&) = delete;
  ListingReader& operator=(const ListingReader&) = delete;

  // Asks for the first page of a new list.
  void Read();

 private:
  // A list that is coming in, page by page.
  struct Incoming {
    base::TimePoint asked_at;
    std::vector<core::workers::Listing> listings;
  };

  void ReadPage(const std::string& from);
  void OnPage(const platform::ReadResult& result);
  void Take(const platform::Row& row);

  platform::StoreClient* store_;
  core::Counters* counters_;
  base::Duration period_;
  OnList on_list_;
  Incoming incoming_;
  // Calls under way hear by it that this is gone.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  wire::Timer timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_LISTING_READER_H_
