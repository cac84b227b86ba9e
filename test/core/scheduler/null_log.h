// A log of decisions that drops its lines.
#ifndef DOTTERELBARROW_TEST_CORE_SCHEDULER_NULL_LOG_H_
#define DOTTERELBARROW_TEST_CORE_SCHEDULER_NULL_LOG_H_

#include <initializer_list>
#include <string_view>

#include "dotterelbarrow/core/scheduler/decision_log.h"

namespace dotterelbarrow::core::scheduler {

class NullLog : public DecisionLog {
 public:
  void Write(std::string_view /*event*/,
             std::initializer_list<LogField> /*fields*/) override {}
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_TEST_CORE_SCHEDULER_NULL_LOG_H_
