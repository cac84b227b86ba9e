// The stand-in's steady clock, in milliseconds since its start.
#ifndef DOTTERELBARROW_STANDINS_SITE_CLOCK_H_
#define DOTTERELBARROW_STANDINS_SITE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace dotterelbarrow::standins::site {

inline std::int64_t NowMillis() {
  static const auto begun = std::chrono::steady_clock::now();
  // Not 0: that is no time of anything.
  return 1 + std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::steady_clock::now() - begun)
                 .count();
}

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_CLOCK_H_
