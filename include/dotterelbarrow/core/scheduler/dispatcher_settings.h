// Settings of the scheduling passes.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_SETTINGS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/placement/preemption_planner.h"

namespace dotterelbarrow::core::scheduler {

struct DispatcherSettings {
  // Maximum number of workers named in one advice request; the platform's
  // limit.
  std::size_t max_workers_per_request = 100;
  // A ticket is not used for this long before it expires, so that the start
  // command arrives while it is valid.
  base::Duration ticket_margin = std::chrono::milliseconds(150);
  // Delay before a failed advice request is repeated.
  base::Duration advice_retry_delay = std::chrono::milliseconds(150);
  // A scheduling pass places nothing more once it has found no free resources
  // for this many steps, taken in the order of their urgency. With a long
  // backlog, trying the remaining steps would only cost processor time.
  int max_unplaced_steps = 48;
  // After that, a pass over overdue steps still tries this many of the
  // remaining ones, each time those after the last ones tried. Otherwise steps
  // that fit nowhere for a long time, such as suspects of crashes, would keep
  // all steps behind them from capacity that is free.
  std::size_t rotating_steps = 16;
  // Minimum interval at which a gang is tried again for which there was no
  // capacity, for each worker of the fleet. Passes in between only keep the
  // same workers free for it. A hundredth of a second for 500 workers is small
  // against the time that a gang waits for its workers.
  base::Duration gang_retry_interval_per_worker = std::chrono::microseconds(20);
  // Interval at which the utilisation of the fleet is computed, for each worker
  // of the fleet, so that going through a large fleet does not take most of the
  // time of its passes. Between two computations it is taken as larger only
  // where runs end.
  base::Duration usage_interval_per_worker = std::chrono::microseconds(40);
  // How many workers are compared to choose those that the advisor is asked
  // about, as a multiple of their number; at least `min_compared_workers`. The
  // others of a large fleet are compared for later steps.
  std::size_t compared_per_advised_worker = 2;
  std::size_t min_compared_workers = 128;
  // Interval at which overdue steps are considered: steps of jobs that can no
  // longer complete in time.
  base::Duration overdue_pass_interval = std::chrono::milliseconds(50);
  // Interval at which an overdue step that was never advised about goes before
  // all others. Takes one call a second from more urgent work where the advisor
  // is the limit, and nothing elsewhere.
  base::Duration out_of_turn_advice_interval = std::chrono::seconds(1);
  // Whether run times are learnt, for experiments without that.
  bool uses_run_times = true;
  // How many runs a pass looks at, at most, to see whether they need copies. A
  // run is looked at about five times, so that this suffices for all runs that
  // can be placed, 1,800 a second.
  int max_copy_looks = 36;
  // Nothing is preempted with the default values.
  placement::PreemptionSettings preemption;
  // How many times as long a task runs away from its `data_rack`, and a gang
  // that prefers one rack on several. With 1, nothing waits for a local worker.
  double remote_factor = 1;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_SETTINGS_H_
