// Strong types for quantities: time and resources.
//
// The core never reads a clock: its driver passes the current time to it as a
// `TimePoint`.
#ifndef DOTTERELBARROW_BASE_UNITS_H_
#define DOTTERELBARROW_BASE_UNITS_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

namespace dotterelbarrow::base {

using Duration = std::chrono::microseconds;

// The monotonic clock of one process's driver, with an arbitrary epoch. Time
// points of different processes must not be compared.
struct DriverClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<DriverClock>;
  static constexpr bool is_steady = true;  // NOLINT: a standard name.
};
using TimePoint = DriverClock::time_point;

// A signed amount of one resource. `Tag` identifies the resource and its unit.
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
// Requests that a runner can serve concurrently.
using Slots = Quantity<struct SlotsTag>;

using Bytes = Quantity<struct BytesTag>;
using BytesPerSecond = Quantity<struct BytesPerSecondTag>;

// The resources that a backend server has, or that a task needs.
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
  // Returns each dimension of `a` multiplied by `count`.
  friend constexpr Resources operator*(const Resources& a, std::int64_t count) {
    return {Millicores(a.cpu.value() * count),
            Mebibytes(a.memory.value() * count),
            Accelerators(a.accelerators.value() * count),
            Slots(a.slots.value() * count)};
  }
  friend constexpr bool operator==(const Resources&,
                                   const Resources&) = default;

  // Returns whether no dimension of this exceeds that of `available`.
  constexpr bool FitsIn(const Resources& available) const {
    return cpu <= available.cpu && memory <= available.memory &&
           accelerators <= available.accelerators && slots <= available.slots;
  }
  // Returns whether any dimension is below zero.
  constexpr bool AnyNegative() const {
    return cpu.value() < 0 || memory.value() < 0 || accelerators.value() < 0 ||
           slots.value() < 0;
  }
};

// Returns the lesser of both in each dimension.
constexpr Resources LesserOf(const Resources& a, const Resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.memory, b.memory),
          std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots)};
}

// Returns the greater of both in each dimension.
constexpr Resources GreaterOf(const Resources& a, const Resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

// Returns the dominant share of `part`: the largest of its fractions of the
// dimensions of `whole`. Dimensions in which `whole` is zero are skipped. The
// result is at least 0, and above 1 where `part` exceeds `whole`.
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
