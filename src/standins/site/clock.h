// The stand-in's monotonic clock, in milliseconds since it was first read.
#ifndef DOTTERELBARROW_STANDINS_SITE_CLOCK_H_
#define DOTTERELBARROW_STANDINS_SITE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace dotterelbarrow::standins::site {

inline std::int64_t NowMillis() {
  static const auto start = std::chrono::steady_clock::now();
  // Starts at 1, because 0 means that a time is not set.
  return 1 + std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::steady_clock::now() - start)
                 .count();
}

// The store's clock, and the time of day. Their origins differ from that of
// the workers' clocks.
inline std::int64_t StoreMillis() { return NowMillis() + 7'000'000; }
inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_CLOCK_H_
