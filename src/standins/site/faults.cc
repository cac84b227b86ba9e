// Names of faults.
#include "src/standins/site/faults.h"

#include <array>
#include <utility>

namespace dotterelbarrow::standins::site {

StoreFault StoreFaultOf(const std::string& name) {
  constexpr std::array kNames = {std::pair("refusing", StoreFault::kRefusing),
                                 std::pair("silent", StoreFault::kSilent),
                                 std::pair("losing", StoreFault::kLosing),
                                 std::pair("late", StoreFault::kLate),
                                 std::pair("slow", StoreFault::kSlow)};
  for (const auto& [known, fault] : kNames) {
    if (name == known) {
      return fault;
    }
  }
  return StoreFault::kNone;
}

WorkerFault WorkerFaultOf(const std::string& name) {
  constexpr std::array kNames = {std::pair("silent", WorkerFault::kSilent),
                                 std::pair("late", WorkerFault::kLate),
                                 std::pair("failing", WorkerFault::kFailing),
                                 std::pair("refusing", WorkerFault::kRefusing)};
  for (const auto& [known, fault] : kNames) {
    if (name == known) {
      return fault;
    }
  }
  return WorkerFault::kNone;
}

}  // namespace dotterelbarrow::standins::site
