// Names of faults in the control protocol.
#include "src/standins/site/faults.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dotterelbarrow::standins::site {
namespace {

constexpr std::array kStoreFaults = {
    std::pair("refusing", StoreFault::kRefusing),
    std::pair("silent", StoreFault::kSilent),
    std::pair("losing", StoreFault::kLosing),
    std::pair("late", StoreFault::kLate), std::pair("slow", StoreFault::kSlow)};

constexpr std::array kWorkerFaults = {
    std::pair("silent", WorkerFault::kSilent),
    std::pair("late", WorkerFault::kLate),
    std::pair("failing", WorkerFault::kFailing),
    std::pair("refusing", WorkerFault::kRefusing)};

}  // namespace

StoreFault ParseStoreFault(const std::string& name) {
  for (const auto& [known, fault] : kStoreFaults) {
    if (name == known) {
      return fault;
    }
  }
  return StoreFault::kNone;
}

WorkerFault ParseWorkerFault(const std::string& name) {
  for (const auto& [known, fault] : kWorkerFaults) {
    if (name == known) {
      return fault;
    }
  }
  return WorkerFault::kNone;
}

std::optional<std::int64_t> SilenceSeries::Take(
    const core::jobs::TaskRef& task) {
  auto it = std::ranges::find_if(
      series_, [&](const Series& series) { return series.task == task; });
  if (it == series_.end()) {
    it = std::ranges::find_if(
        series_, [](const Series& series) { return !series.task; });
  }
  if (it == series_.end()) {
    return std::nullopt;
  }
  it->task = task;
  ++begun_;
  const std::int64_t duration_ms = it->duration_ms;
  if (--it->remaining <= 0) {
    series_.erase(it);
  }
  return duration_ms;
}

}  // namespace dotterelbarrow::standins::site
