// Connection pools, and the queues of calls that wait for a connection.
#include "dotterelbarrow/wire/http_client.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/wire/http_connection.h"

namespace dotterelbarrow::wire {
namespace {

// How often waiting calls are checked for timeouts.
constexpr base::Duration kSweepPeriod = std::chrono::milliseconds(50);
// How often idle connections are: a tenth of their timeout, but not less often
// than waiting calls.
constexpr int kIdleChecksPerTimeout = 10;

}  // namespace

class HttpClient::Impl {
 public:
  Impl(const EventLoop& loop, const HttpClientOptions& options)
      : loop_(loop),
        options_(options),
        not_sent_timer_(loop, [this] { RunNotSentCallbacks(); }),
        sweep_timer_(loop, kSweepPeriod, [this] { Sweep(); }) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Call(HttpCall call, Callback done) {
    ++calls_under_way_;
    Pool* pool = FindOrMakePool(call.address);
    if (pool == nullptr) {
      FailAsNotSent(std::move(done));
      return;
    }
    const base::TimePoint deadline = MonotonicNow() + call.timeout;
    if (HttpConnection* connection = FreeConnection(pool)) {
      connection->Start(call, std::move(done), deadline);
    } else if (pool->waiting.size() < options_.max_waiting_calls) {
      pool->waiting.push_back({std::move(call), std::move(done), deadline});
      ++waiting_calls_;
    } else {
      FailAsNotSent(std::move(done));
    }
  }

  std::size_t connections(const std::string& address) const {
    const auto it = pools_.find(address);
    return it == pools_.end() ? 0 : it->second.connections.size();
  }
  std::size_t total_connections() const { return total_connections_; }
  std::size_t calls_under_way() const { return calls_under_way_; }

 private:
  struct WaitingCall {
    HttpCall call;
    Callback done;
    base::TimePoint deadline;
  };
  struct Pool {
    SocketAddress address;
    // Invariant: `idle` holds the idle elements of `connections`, the most
    // recently used last. While `idle` is not empty, `waiting` is empty.
    std::vector<std::unique_ptr<HttpConnection>> connections;
    std::vector<HttpConnection*> idle;
    std::deque<WaitingCall> waiting;
  };

  Pool* FindOrMakePool(const std::string& address) {
    const auto it = pools_.find(address);
    if (it != pools_.end()) {
      return &it->second;
    }
    base::Failure reason;
    const auto parsed = ParseSocketAddress(address, &reason);
    if (!parsed) {
      return nullptr;
    }
    Pool& pool = pools_[address];
    pool.address = *parsed;
    return &pool;
  }

  // Returns an idle or new connection, or null if as many as permitted are
  // busy.
  HttpConnection* FreeConnection(Pool* pool) {
    while (!pool->idle.empty()) {
      HttpConnection* connection = pool->idle.back();
      pool->idle.pop_back();
      // A connection that was closed in this turn is still in `idle`.
      if (connection->is_idle()) {
        return connection;
      }
    }
    if (pool->connections.size() >= options_.max_connections ||
        (IsAtTotalLimit() && !CloseLongestIdle())) {
      return nullptr;
    }
    ++total_connections_;
    pool->connections.push_back(std::make_unique<HttpConnection>(
        loop_, pool->address, options_,
        [this, pool](HttpConnection* changed) { OnChanged(pool, changed); }));
    return pool->connections.back().get();
  }

  bool IsAtTotalLimit() const {
    return options_.max_total_connections > 0 &&
           total_connections_ >= options_.max_total_connections;
  }

  // Closes the connection of any pool that has been idle for longest; returns
  // false if none is idle.
  bool CloseLongestIdle() {
    Pool* best = nullptr;
    for (auto& [address, pool] : pools_) {
      if (!pool.idle.empty() &&
          (best == nullptr || pool.idle.front()->idle_since() <
                                  best->idle.front()->idle_since())) {
        best = &pool;
      }
    }
    if (best == nullptr) {
      return false;
    }
    Remove(best, best->idle.front());
    return true;
  }

  void OnChanged(Pool* pool, HttpConnection* connection) {
    std::optional<EndedCall> ended = connection->TakeEndedCall();
    std::erase(pool->idle, connection);
    if (connection->is_broken()) {
      Remove(pool, connection);
    } else if (connection->is_idle()) {
      pool->idle.push_back(connection);
    }
    StartWaiting(pool);
    if (ended) {
      --calls_under_way_;
      ended->done(ended->result);
    }
  }

  void Remove(Pool* pool, HttpConnection* connection) {
    std::erase(pool->idle, connection);
    total_connections_ -=
        std::erase_if(pool->connections, [connection](const auto& candidate) {
          return candidate.get() == connection;
        });
  }

  void StartWaiting(Pool* pool) {
    while (!pool->waiting.empty()) {
      HttpConnection* connection = FreeConnection(pool);
      if (connection == nullptr) {
        return;
      }
      WaitingCall next = std::move(pool->waiting.front());
      pool->waiting.pop_front();
      --waiting_calls_;
      connection->Start(next.call, std::move(next.done), next.deadline);
    }
  }

  // Schedules `done` to be called with kNotSent later in this turn.
  void FailAsNotSent(Callback done) {
    not_sent_callbacks_.push_back(std::move(done));
    not_sent_timer_.RunSoon();
  }

  void RunNotSentCallbacks() {
    for (const Callback& done : std::exchange(not_sent_callbacks_, {})) {
      --calls_under_way_;
      done({HttpOutcome::kNotSent, 0, {}});
    }
  }

  void Sweep() {
    const base::TimePoint now = MonotonicNow();
    if (waiting_calls_ == 0 && now < next_idle_check_) {
      return;
    }
    next_idle_check_ = now + options_.idle_timeout / kIdleChecksPerTimeout;
    for (auto it = pools_.begin(); it != pools_.end();) {
      Pool& pool = it->second;
      CloseIdle(&pool, now);
      ExpireWaiting(&pool, now);
      // Another pool may have closed a connection since.
      StartWaiting(&pool);
      const bool unused = pool.connections.empty() && pool.waiting.empty();
      it = unused ? pools_.erase(it) : std::next(it);
    }
  }

  void CloseIdle(Pool* pool, base::TimePoint now) {
    // The least recently used connection comes first.
    while (!pool->idle.empty() &&
           now - pool->idle.front()->idle_since() >= options_.idle_timeout) {
      Remove(pool, pool->idle.front());
    }
  }

  void ExpireWaiting(Pool* pool, base::TimePoint now) {
    std::erase_if(pool->waiting, [this, now](WaitingCall& call) {
      if (call.deadline > now) {
        return false;
      }
      FailAsNotSent(std::move(call.done));
      --waiting_calls_;
      return true;
    });
  }

  const EventLoop& loop_;
  HttpClientOptions options_;
  // Connections hold a pointer to their pool. An unordered_map never moves its
  // elements, and a pool is erased only when it has no connections.
  std::unordered_map<std::string, Pool> pools_;
  std::vector<Callback> not_sent_callbacks_;
  // Invariant: the number of connections in all pools.
  std::size_t total_connections_ = 0;
  std::size_t calls_under_way_ = 0;
  // Invariant: the number of calls that wait in all pools.
  std::size_t waiting_calls_ = 0;
  base::TimePoint next_idle_check_;
  Timer not_sent_timer_;
  PeriodicTimer sweep_timer_;
};

HttpClient::HttpClient(const EventLoop& loop, const HttpClientOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Call(HttpCall call, Callback done) {
  impl_->Call(std::move(call), std::move(done));
}

std::size_t HttpClient::connections(const std::string& address) const {
  return impl_->connections(address);
}

std::size_t HttpClient::total_connections() const {
  return impl_->total_connections();
}

std::size_t HttpClient::calls_under_way() const {
  return impl_->calls_under_way();
}

}  // namespace dotterelbarrow::wire
