// Strong types for quantities: time and resources.
//
// All times of the core are `TimePoint`s that a driver passes in; the core
// never reads a clock.
#ifndef DOTTERELBARROW_BASE_UNITS_H_
#define DOTTERELBARROW_BASE_UNITS_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

namespace dotterelbarrow::base {

using Duration = std::chrono::microseconds;

// The clock of one process's driver: monotonic, from an arbitrary origin. Two
// processes' time points are never compared.
struct DriverClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<DriverClock>;
  static constexpr bool is_steady = true;  // NOLINT: the standard names it.
};
using TimePoint = DriverClock::time_point;

// A signed amount of one kind of resource. `Tag` names kind and unit.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t value) : value_(value) {}

  constexpr std::int64_t value() const { return value_; }

  constexpr Quantity& operator+=(Quantity other) {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend constexpr auto operator<=>(Quantity, Quantity) = default;

 private:
  std::int64_t value_ = 0;
};

// Thousandths of a processor core.
using Millicores = Quantity<struct MillicoresTag>;
// Units of 2^20 bytes.
using Mebibytes = Quantity<struct MebibytesTag>;
// Whole accelerators.
using Accelerators = Quantity<struct AcceleratorsTag>;
// Requests that a runner serves at a time.
using Slots = Quantity<struct SlotsTag>;

// What a backend server holds, or what a task needs of it.
struct Resources {
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  Slots slots;

  constexpr Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) {
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
  friend constexpr Resources operator+(Resources a, const Resources& b) {
    return a += b;
  }
  friend constexpr Resources operator-(Resources a, const Resources& b) {
    return a -= b;
  }
  // Returns what `count` times as much is.
  friend constexpr Resources operator*(const Resources& a, std::int64_t count) {
    return {Millicores(a.cpu.value() * count),
            Mebibytes(a.memory.value() * count),
            Accelerators(a.accelerators.value() * count),
            Slots(a.slots.value() * count)};
  }
  friend constexpr bool operator==(const Resources&,
                                   const Resources&) = default;

  // Returns whether every dimension of this is at most that of `room`.
  constexpr bool FitsIn(const Resources& room) const {
    return cpu <= room.cpu && memory <= room.memory &&
           accelerators <= room.accelerators && slots <= room.slots;
  }
  // Returns whether any dimension is below zero.
  constexpr bool AnyNegative() const {
    return cpu.value() < 0 || memory.value() < 0 || accelerators.value() < 0 ||
           slots.value() < 0;
  }
};

// Returns the largest fraction that `part` takes of any dimension of `whole`;
// dimensions of which `whole` has none are passed over. Between 0 and, where
// `part` exceeds `whole`, more than 1.
constexpr double DominantFraction(const Resources& part,
                                  const Resources& whole) {
  const auto fraction = [](std::int64_t a, std::int64_t b) {
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
  };
  const double compute =
      std::max(fraction(part.cpu.value(), whole.cpu.value()),
               fraction(part.memory.value(), whole.memory.value()));
  const double other =
      std::max(fraction(part.accelerators.value(), whole.accelerators.value()),
               fraction(part.slots.value(), whole.slots.value()));
  return std::max(compute, other);
}

}  // namespace dotterelbarrow::base

#endif  // DOTTERELBARROW_BASE_UNITS_H_
