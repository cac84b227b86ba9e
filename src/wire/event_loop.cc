// Wraps libevent's event base, timers and signal events.
#include "dotterelbarrow/wire/event_loop.h"

#include <time.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace dotterelbarrow::wire {
namespace {

constexpr base::Duration kSecond = std::chrono::seconds(1);

event_base* NewBase() {
  // Only one thread uses the loop, so libevent needs no locks.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  // An exchange enables and disables events of its socket several times in one
  // turn. This makes one system call of them. It is safe as long as no
  // descriptor is duplicated.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

base::TimePoint MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  const auto elapsed =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(elapsed));
}

EventLoop::EventLoop() : base_(NewBase()) {}

void EventLoop::Run() { event_base_dispatch(base_.get()); }

void EventLoop::RunUntil(const std::function<bool()>& done) {
  while (!done()) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
  }
}

void EventLoop::Stop() { event_base_loopbreak(base_.get()); }

Timer::Timer(const EventLoop& loop, std::function<void()> function)
    : function_(
          std::make_shared<const std::function<void()>>(std::move(function))),
      event_(event_new(
          loop.base(), -1, 0,
          [](auto /*fd*/, auto /*events*/, void* self) {
            const auto function = static_cast<Timer*>(self)->function_;
            (*function)();
          },
          this)) {}

void Timer::StartOnce(base::Duration delay) {
  const base::Duration bounded = std::max(delay, base::Duration(0));
  timeval value{};
  value.tv_sec = bounded / kSecond;
  value.tv_usec = (bounded % kSecond).count();
  event_add(event_.get(), &value);
}

void Timer::RunSoon() { event_active(event_.get(), EV_TIMEOUT, 0); }

void Timer::Cancel() { event_del(event_.get()); }

PeriodicTimer::PeriodicTimer(const EventLoop& loop, base::Duration period,
                             std::function<void()> function)
    : period_(period), function_(std::move(function)), timer_(loop, [this] {
        timer_.StartOnce(period_);
        function_();
      }) {
  timer_.StartOnce(period_);
}

SignalWatch::SignalWatch(const EventLoop& loop, int signal,
                         std::function<void()> function)
    : function_(std::move(function)),
      event_(evsignal_new(
          loop.base(), signal,
          [](auto /*signal*/, auto /*events*/, void* self) {
            static_cast<SignalWatch*>(self)->function_();
          },
          this)) {
  event_add(event_.get(), nullptr);
}

}  // namespace dotterelbarrow::wire
