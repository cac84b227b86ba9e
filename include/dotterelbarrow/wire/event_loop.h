// The libevent loop of a process, with its timers, signal handlers and clock. A
// process has one loop, used by one thread.
#ifndef DOTTERELBARROW_WIRE_EVENT_LOOP_H_
#define DOTTERELBARROW_WIRE_EVENT_LOOP_H_

#include <event2/event.h>

#include <functional>
#include <memory>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::wire {

// Returns the current time of CLOCK_MONOTONIC.
base::TimePoint MonotonicNow();

// Owns the event base. Objects that use a loop must be destroyed before it.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_.get(); }

  // Handles events until Stop is called.
  void Run();
  // Handles events until `done()` returns true. `done` is called before each
  // turn of the loop.
  void RunUntil(const std::function<bool()>& done);
  // Makes Run return after the current event.
  void Stop();

 private:
  struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  std::unique_ptr<event_base, BaseDeleter> base_;
};

// Calls a function on the loop: once after a delay, periodically, or later in
// the same turn. The destructor cancels a pending call. The function may
// destroy the timer.
class Timer {
 public:
  Timer(const EventLoop& loop, std::function<void()> function);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Schedules a call after `delay`, replacing any call already scheduled. A
  // negative delay counts as zero.
  void StartOnce(base::Duration delay);
  // Schedules a call after all events that are already due. Further calls of
  // RunSoon before the function runs have no effect.
  void RunSoon();
  void Cancel();

 private:
  struct EventDeleter {
    void operator()(event* event) const { event_free(event); }
  };

  // Shared with the running call, because the function may destroy the timer.
  std::shared_ptr<const std::function<void()>> function_;
  std::unique_ptr<event, EventDeleter> event_;
};

// Calls a function once every period until the timer is destroyed. The function
// must not destroy the timer.
class PeriodicTimer {
 public:
  PeriodicTimer(const EventLoop& loop, base::Duration period,
                std::function<void()> function);

 private:
  base::Duration period_;
  std::function<void()> function_;
  Timer timer_;
};

// Calls a function on the loop whenever the process receives a signal.
class SignalWatch {
 public:
  SignalWatch(const EventLoop& loop, int signal,
              std::function<void()> function);
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  struct EventDeleter {
    void operator()(event* event) const { event_free(event); }
  };

  std::function<void()> function_;
  std::unique_ptr<event, EventDeleter> event_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_EVENT_LOOP_H_
