// Runs an event loop until a condition holds, for tests over sockets.
#ifndef DOTTERELBARROW_TEST_MEMBER_RUN_UNTIL_H_
#define DOTTERELBARROW_TEST_MEMBER_RUN_UNTIL_H_

#include <functional>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::member {

// Returns whether `done` held within `timeout`.
inline bool RunLoopUntil(wire::EventLoop* loop,
                         const std::function<bool()>& done,
                         base::Duration timeout) {
  const base::TimePoint begun = wire::MonotonicNow();
  bool is_done = false;
  loop->RunUntil([&] {
    is_done = done();
    return is_done || wire::MonotonicNow() - begun > timeout;
  });
  return is_done;
}

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_TEST_MEMBER_RUN_UNTIL_H_
