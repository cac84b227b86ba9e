// The interface through which the core logs its decisions and their inputs. The
// driver writes the lines out; tests inspect them.
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

// Receives measured latencies, for histograms.
class LatencySink {
 public:
  virtual ~LatencySink() = default;
  virtual void Observe(std::string_view name, base::Duration latency) = 0;
};

// The log, counters and latency sink that all parts of the core report to.
struct Telemetry {
  DecisionLog* log = nullptr;
  Counters* counters = nullptr;
  // Null if latencies are not collected.
  LatencySink* latencies = nullptr;

  void Observe(std::string_view name, base::Duration latency) const {
    if (latencies != nullptr) {
      latencies->Observe(name, latency);
    }
  }
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DECISION_LOG_H_
