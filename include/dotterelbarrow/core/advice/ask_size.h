// About how many workers the advisor is asked for one step.
//
// Load pattern: gangs whose calls take half a second and more, each worker that
// is named adds to it, and many steps want advice at once. A call names as many
// of the workers with most room as should hold the step, by the part of those
// asked about that were allowed before.
#ifndef DOTTERELBARROW_CORE_ADVICE_ASK_SIZE_H_
#define DOTTERELBARROW_CORE_ADVICE_ASK_SIZE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace dotterelbarrow::core::advice {

// Learns which part of the workers asked about the steps of a queue may use.
class AllowedShare {
 public:
  // Before anything is known: the usual lies between a quarter and two thirds.
  static constexpr double kUnknown = 0.4;
  // Workers of past answers that the estimate is made of, about; a few calls.
  static constexpr double kWindow = 300;
  static constexpr double kLeast = 0.05;

  void Learn(std::size_t asked, std::size_t allowed) {
    const double weight = std::min(1.0, static_cast<double>(asked) / kWindow);
    if (asked > 0) {
      const double seen =
          static_cast<double>(allowed) / static_cast<double>(asked);
      share_ += (seen - share_) * weight;
    }
  }
  double value() const { return std::max(kLeast, share_); }

 private:
  double share_ = kUnknown;
};

// Counts workers, those with most room first, until they should hold a step.
class AskSize {
 public:
  // The allowed ones may be the fuller ones.
  static constexpr double kMargin = 1.5;
  // A call's fixed part outweighs these.
  static constexpr std::size_t kLeast = 12;

  AskSize(std::uint32_t tasks, double share)
      : wanted_(static_cast<double>(tasks) * kMargin), share_(share) {}

  // Takes a worker with room for `slots` tasks; returns whether more are
  // needed.
  bool Take(std::int64_t slots) {
    ++workers_;
    expected_ += share_ * static_cast<double>(slots);
    return workers_ < kLeast || expected_ < wanted_;
  }

 private:
  double wanted_;
  double share_;
  std::size_t workers_ = 0;
  double expected_ = 0;
};

}  // namespace dotterelbarrow::core::advice

#endif  // DOTTERELBARROW_CORE_ADVICE_ASK_SIZE_H_
