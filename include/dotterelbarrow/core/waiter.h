// A peer's call that is answered once a record has become durable.
#ifndef DOTTERELBARROW_CORE_WAITER_H_
#define DOTTERELBARROW_CORE_WAITER_H_

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

// Identifies the call to answer: the entry host that made it and its call id
// there.
struct Waiter {
  base::EntryId from;
  base::CallId call;

  friend bool operator==(const Waiter&, const Waiter&) = default;
  friend auto operator<=>(const Waiter&, const Waiter&) = default;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_WAITER_H_
