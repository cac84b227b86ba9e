// Follows the evacuations of availability zones for the log and the metrics.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_EVACUATION_MONITOR_H_
#define DOTTERELBARROW_CORE_SCHEDULER_EVACUATION_MONITOR_H_

#include <cstddef>
#include <map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/fleet.h"

namespace dotterelbarrow::core::scheduler {

class EvacuationMonitor {
 public:
  explicit EvacuationMonitor(DecisionLog* log) : log_(log) {}

  // Counts workers and runs of the evacuated zones, and logs when an evacuation
  // begins, when nothing runs in its zone any more, and when it ends. Logs a
  // zone without workers once. Does nothing more often than every kInterval.
  void Update(const Fleet& fleet, base::TimePoint now);
  // Does the same at once.
  void UpdateNow(const Fleet& fleet, base::TimePoint now);

  // Returns the number of evacuated zones that have workers.
  std::size_t zones() const;
  // Returns the number of runs in these zones, including runs that are being
  // started or stopped.
  std::size_t runs() const;

 private:
  // Going through the workers of a large fleet this often takes little time.
  static constexpr base::Duration kInterval = std::chrono::milliseconds(200);

  struct Evacuation {
    base::TimePoint begun_at;
    std::size_t workers = 0;
    std::size_t runs = 0;
    // Whether the zone has had listed workers, and its beginning was logged.
    bool has_begun = false;
    bool is_unknown_logged = false;
    bool is_empty = false;
  };

  DecisionLog* log_;
  std::map<base::AvailabilityZone, Evacuation> evacuations_;
  base::TimePoint updated_at_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_EVACUATION_MONITOR_H_
