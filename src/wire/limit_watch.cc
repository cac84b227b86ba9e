// Compares the counts of each server with those already reported.
#include "dotterelbarrow/wire/limit_watch.h"

#include <chrono>
#include <utility>

namespace dotterelbarrow::wire {
namespace {

constexpr base::Duration kPeriod = std::chrono::seconds(1);

}  // namespace

LimitWatch::LimitWatch(const EventLoop& loop, Report report)
    : report_(std::move(report)), timer_(loop, kPeriod, [this] { Check(); }) {}

void LimitWatch::Add(const std::string& listener, const HttpServer* server) {
  watched_.push_back({listener, server, {}});
}

void LimitWatch::Check() {
  for (Watched& watched : watched_) {
    for (const auto& [reason, times] : watched.server->limit_counts()) {
      const std::uint64_t reported =
          std::exchange(watched.reported[reason], times);
      if (times > reported) {
        report_({watched.listener, reason, times - reported,
                 watched.server->connections(), watched.server->held_bytes()});
      }
    }
  }
}

}  // namespace dotterelbarrow::wire
