// Where the core tells what it decided and on which inputs. The driver writes
// it out; tests read it.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DECISION_LOG_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"

namespace dotterelbarrow::core::scheduler {

using LogValue = std::variant<std::int64_t, std::string>;
using LogField = std::pair<std::string_view, LogValue>;

class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  // Writes one line. Must not block.
  virtual void Write(std::string_view event,
                     std::initializer_list<LogField> fields) = 0;
};

// Takes how long things took, for histograms.
class LatencySink {
 public:
  virtual ~LatencySink() = default;
  virtual void Observe(std::string_view name, base::Duration latency) = 0;
};

// What every part of the core may tell the world.
struct Telemetry {
  DecisionLog* log = nullptr;
  Counters* counters = nullptr;
  // Null where nobody collects latencies.
  LatencySink* latencies = nullptr;

  void Observe(std::string_view name, base::Duration latency) const {
    if (latencies != nullptr) {
      latencies->Observe(name, latency);
    }
  }
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DECISION_LOG_H_
