// How long the owner waits for the store before it offers the cell to others,
// and before it refuses new work.
//
// Load pattern: the store turns the owner away, breaks its connections or is
// silent to it alone, while other hosts are served: each moment until the cell
// changes hands is lost to all callers. Or the store is slow for everyone,
// sixty times as slow as usual: then a change would only cost more. What tells
// the two apart is a read beside the write: a slow store answers it.
#ifndef DOTTERELBARROW_CORE_LEADERSHIP_STORE_PATIENCE_H_
#define DOTTERELBARROW_CORE_LEADERSHIP_STORE_PATIENCE_H_

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::leadership {

// What an owner sees of the store while a write is under way.
struct StoreSigns {
  // Since the write was first sent.
  base::Duration write_age{0};
  // Some copy of the write was refused, couldn't be sent or met a connection
  // that broke.
  bool has_failed = false;
  // What the last read that was answered took.
  base::Duration read_latency{0};
  // Since the oldest read that isn't answered yet was sent; zero without one.
  base::Duration oldest_read{0};
};

class StorePatience {
 public:
  // Several tries, and many times what a write takes.
  static constexpr base::Duration kFailing = std::chrono::milliseconds(150);
  // A store that is sixty times as slow as usual answers a read within half a
  // second.
  static constexpr base::Duration kSilentRead = std::chrono::milliseconds(700);
  // A write of such a store takes about three times as long as a read, and as
  // long again behind the one before.
  static constexpr int kReadsPerWrite = 10;
  static constexpr base::Duration kSlowLeast = std::chrono::milliseconds(1000);
  static constexpr base::Duration kSlowMost = std::chrono::milliseconds(2000);
  // New work is refused this much later: the next owner may take it.
  static constexpr base::Duration kBeforeRefusal =
      std::chrono::milliseconds(250);

  // Whether the cell should go to a host that the store serves.
  static bool ShouldOffer(const StoreSigns& signs);
  // Whether new work couldn't be stored in time.
  static bool ShouldRefuse(const StoreSigns& signs);
};

}  // namespace dotterelbarrow::core::leadership

#endif  // DOTTERELBARROW_CORE_LEADERSHIP_STORE_PATIENCE_H_
