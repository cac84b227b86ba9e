// A circuit breaker for one backend server: stops placing new work on a backend
// server on which every task fails.
//
// After several consecutive failures, of tasks of at least two different jobs,
// the backend server gets no new work for the quarantine period. Then a single
// task is started as a probe. If the probe succeeds, the quarantine ends; if it
// fails, another quarantine period begins.
#ifndef DOTTERELBARROW_CORE_QUARANTINE_H_
#define DOTTERELBARROW_CORE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class Quarantine {
 public:
  Quarantine();

  // Whether a task may be started on the backend server now.
  bool Admits() const;
  // Records that a task was started. If it is the probe, no other task is
  // admitted until it ends.
  void OnStart();
  void OnSuccess();
  // Records that a task failed of its own accord, rather than being stopped.
  // `job` is the hash of its job. Returns whether a quarantine period begins.
  bool OnFailure(std::size_t job, const NodeSettings& settings,
                 base::TimePoint now);
  // Records that a task ended in a way that shows neither success nor failure.
  // Another probe may then be started.
  void OnInconclusiveEnd();
  // Allows a probe if the quarantine period has ended. Returns whether it does
  // so now.
  bool Update(base::TimePoint now);

 private:
  struct Healthy {
    std::uint32_t failures = 0;
    std::size_t first_job = 0;
    bool several_jobs = false;
  };
  struct Isolated {
    base::TimePoint until;
  };
  struct Probing {
    bool started = false;
  };

  std::variant<Healthy, Isolated, Probing> state_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_QUARANTINE_H_
