// Limits large transfers to other hosts to a part of this host's link.
//
// Load pattern: the store stops serving many entry hosts, and the desired state
// changes. All of them request its text from the owner at the same time, each
// with a link that carries it in about a second. Without a limit the texts fill
// the owner's link: its heartbeats, commands and writes are late, it is
// replaced, and its successor gets the same requests.
#ifndef DOTTERELBARROW_CORE_ADMISSION_TRANSFER_BUDGET_H_
#define DOTTERELBARROW_CORE_ADMISSION_TRANSFER_BUDGET_H_

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::admission {

class TransferBudget {
 public:
  // The part of a link that large transfers may use. The rest carries control
  // traffic, which must not wait behind them.
  static constexpr double kLinkShare = 0.5;

  // `link` must be positive.
  explicit TransferBudget(base::BytesPerSecond link) : link_(link) {}

  // Returns whether a transfer of `size` may begin, and counts it if so. A
  // refused one may be tried again at any time.
  bool TryAcquire(base::Bytes size, base::TimePoint now);

 private:
  base::BytesPerSecond link_;
  // When the transfers that have begun are over, if they use exactly
  // `kLinkShare` of the link.
  base::TimePoint free_at_{};
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_TRANSFER_BUDGET_H_
