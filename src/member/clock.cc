// Reads the system clocks.
#include "src/member/clock.h"

#include <chrono>
#include <ctime>

namespace dotterelbarrow::member {

base::TimePoint Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dotterelbarrow::member
