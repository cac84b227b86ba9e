// Names of faults in the control protocol.
#include "src/standins/site/faults.h"

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

}  // namespace dotterelbarrow::standins::site
