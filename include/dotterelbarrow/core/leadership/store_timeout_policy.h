// How long the owner waits for an answer of the store to a write before it
// offers the cell to other hosts, and before it refuses new work.
//
// Load pattern: the store rejects the owner's calls, breaks its connections or
// doesn't answer it, while it serves other hosts. Until another host owns the
// cell, no caller is served. Alternatively, the store is slow for all hosts, up
// to sixty times as slow as usual; then a change of the owner would only add to
// the delay. A read sent while the write is in flight tells the two cases
// apart: a slow store still answers it.
#ifndef DOTTERELBARROW_CORE_LEADERSHIP_STORE_TIMEOUT_POLICY_H_
#define DOTTERELBARROW_CORE_LEADERSHIP_STORE_TIMEOUT_POLICY_H_

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::leadership {

// The owner's observations of the store while a write is in flight.
struct StoreHealth {
  // Time since the last bytes of the write were first sent.
  base::Duration write_age{0};
  // Whether some attempt of the write was rejected, couldn't be sent or lost
  // its connection.
  bool has_failed = false;
  // Latency of the last answered read.
  base::Duration read_latency{0};
  // Time since the oldest unanswered read was sent; zero if there is none.
  base::Duration oldest_read{0};
};

class StoreTimeoutPolicy {
 public:
  // Timeout of a write with a failed attempt. Allows several attempts and is
  // many times the usual duration of a write.
  static constexpr base::Duration kFailedWriteTimeout =
      std::chrono::milliseconds(150);
  // A read unanswered for this long shows that the store doesn't answer this
  // host: a store sixty times as slow as usual answers a read within half a
  // second.
  static constexpr base::Duration kUnansweredReadTimeout =
      std::chrono::milliseconds(700);
  // Timeout of a write to a slow store, as a multiple of the read latency and
  // within the bounds below. In such a store a write takes about three times as
  // long as a read, and as long again while it waits for the write before it.
  static constexpr int kReadLatencyFactor = 10;
  static constexpr base::Duration kMinSlowWriteTimeout =
      std::chrono::milliseconds(1000);
  static constexpr base::Duration kMaxSlowWriteTimeout =
      std::chrono::milliseconds(2000);
  // New work is refused only this long after the cell was offered: the next
  // owner may be able to accept it.
  static constexpr base::Duration kRefusalDelay =
      std::chrono::milliseconds(250);

  // Returns whether the owner should offer the cell to a host that the store
  // still serves.
  static bool ShouldOfferHandOver(const StoreHealth& signs);
  // Returns whether the owner should refuse new work because it couldn't be
  // stored in time.
  static bool ShouldRefuseNewWork(const StoreHealth& signs);
};

}  // namespace dotterelbarrow::core::leadership

#endif  // DOTTERELBARROW_CORE_LEADERSHIP_STORE_TIMEOUT_POLICY_H_
