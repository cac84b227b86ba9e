// Collects metrics in a prometheus-cpp registry and renders the metrics page.
#ifndef DOTTERELBARROW_WIRE_METRICS_H_
#define DOTTERELBARROW_WIRE_METRICS_H_

#include <prometheus/registry.h>

#include <map>
#include <string>

#include "dotterelbarrow/core/counters.h"

namespace dotterelbarrow::wire {

class Metrics {
 public:
  Metrics() = default;
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Raises each counter dotterel_<name>_total{reason="<label>"} to its value in
  // `counters`. If several Counters objects contain the same counter, pass
  // their sum, since each call sets totals rather than adding to them.
  void Set(const core::Counters& counters);
  // Sets the gauge dotterel_<name>.
  void Set(const std::string& name, double value);
  // Adds an observation to the histogram dotterel_<name>_seconds.
  void Observe(const std::string& name, double seconds);
  // Sets process_resident_memory_bytes and process_cpu_seconds_total.
  void SetProcessMetrics();

  // Returns all metrics in Prometheus' text format.
  std::string Render() const;

 private:
  prometheus::Registry registry_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_METRICS_H_
