// Reports which limits of a process's HTTP servers were reached, at most once a
// second for each server and limit, however many clients reach it.
//
//   LimitWatch watch(loop, [&](const LimitReport& report) { ... });
//   watch.Add("callers", &server);
#ifndef DOTTERELBARROW_WIRE_LIMIT_WATCH_H_
#define DOTTERELBARROW_WIRE_LIMIT_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

struct LimitReport {
  std::string listener;
  LimitReason reason = LimitReason::kMemory;
  // How often the limit was reached since the last report about it.
  std::uint64_t times = 0;
  // The state of the server now.
  std::size_t connections = 0;
  std::size_t held_bytes = 0;

  // Returns the label of the counter: the listener and the reason.
  std::string Label() const { return listener + "_" + ToString(reason); }
};

class LimitWatch {
 public:
  using Report = std::function<void(const LimitReport&)>;

  // `loop` must outlive this object.
  LimitWatch(const EventLoop& loop, Report report);

  // Watches `server`, which must outlive this object. `listener` names it in
  // reports.
  void Add(const std::string& listener, const HttpServer* server);

 private:
  struct Watched {
    std::string listener;
    const HttpServer* server = nullptr;
    LimitCounts reported;
  };

  void Check();

  Report report_;
  std::vector<Watched> watched_;
  PeriodicTimer timer_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_LIMIT_WATCH_H_
