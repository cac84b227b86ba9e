// Counters, gauges and histograms in a prometheus-cpp registry.
#include "dotterelbarrow/wire/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace dotterelbarrow::wire {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// Upper bounds of the histogram buckets, in seconds: from an answer within the
// same host to a job that is too late to be of use.
const prometheus::Histogram::BucketBoundaries kBucketsSeconds = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

// Raises `counter` to `value`. A prometheus counter can only be incremented, so
// a lower value is ignored.
void RaiseTo(prometheus::Counter* counter, double value) {
  if (value > counter->Value()) {
    counter->Increment(value - counter->Value());
  }
}

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

void Metrics::Set(const core::Counters& counters) {
  for (const auto& [key, value] : counters.values()) {
    const auto& [name, label] = key;
    prometheus::Family<prometheus::Counter>& family =
        prometheus::BuildCounter()
            .Name("dotterel_" + name + "_total")
            .Help("Events by reason.")
            .Register(registry_);
    RaiseTo(&family.Add({{"reason", label}}), static_cast<double>(value));
  }
}

void Metrics::Set(const std::string& name, double value) {
  prometheus::BuildGauge()
      .Name("dotterel_" + name)
      .Help("Current value.")
      .Register(registry_)
      .Add({})
      .Set(value);
}

void Metrics::Observe(const std::string& name, double seconds) {
  prometheus::BuildHistogram()
      .Name("dotterel_" + name + "_seconds")
      .Help("Time taken.")
      .Register(registry_)
      .Add({}, kBucketsSeconds)
      .Observe(seconds);
}

void Metrics::SetProcessMetrics() {
  prometheus::BuildGauge()
      .Name("process_resident_memory_bytes")
      .Help("Resident memory.")
      .Register(registry_)
      .Add({})
      .Set(ResidentBytes());
  RaiseTo(&prometheus::BuildCounter()
               .Name("process_cpu_seconds_total")
               .Help("Processor time used, user and system.")
               .Register(registry_)
               .Add({}),
          CpuSeconds());
}

std::string Metrics::Render() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace dotterelbarrow::wire
