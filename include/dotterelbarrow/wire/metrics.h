// The metrics page, by prometheus-cpp.
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

  // Takes over the values of `counters`, as
  // dotterel_<name>_total{reason="<label>"}. A counter that stands in several
  // must be set from their sum.
  void Set(const core::Counters& counters);
  // Sets the gauge dotterel_<name>.
  void Set(const std::string& name, double value);
  // Adds one to the histogram dotterel_<name>_seconds.
  void Observe(const std::string& name, double seconds);
  // Sets process_resident_memory_bytes and process_cpu_seconds_total.
  void SetProcess();

  // Returns all of them in Prometheus' text format.
  std::string Render() const;

 private:
  prometheus::Registry registry_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_METRICS_H_
