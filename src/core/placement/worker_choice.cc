// Checks whether tasks fit on workers, and ranks workers by placement cost.
#include "dotterelbarrow/core/placement/worker_choice.h"

#include <algorithm>
#include <limits>

namespace dotterelbarrow::core::placement {
namespace {

// Penalties added to the packing cost, which is between 0 and 1. Each penalty
// outweighs the packing cost and all smaller penalties together.
constexpr double kNoTicketPenalty = 1.2;
constexpr double kHeldForGangPenalty = 2.5;
constexpr double kColdPenalty = 5;
constexpr double kRemoteDataPenalty = 10;
constexpr double kFailedHerePenalty = 20;
// Multiplies the fraction of the worker that gangs use, which would be lost
// with it. All members of a gang are lost with one.
constexpr double kGangCompanyPenalty = 40;

double Fraction(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                   : 0.0;
}

// Returns the mean fraction of processors and memory that is left over.
double LeftOver(const base::Resources& left, const base::Resources& whole) {
  return (Fraction(left.cpu.value(), whole.cpu.value()) +
          Fraction(left.memory.value(), whole.memory.value())) /
         2;
}

}  // namespace

bool IsSuitable(const workers::Worker& worker, const jobs::StepSpec& step) {
  const workers::Listing& listing = worker.listing();
  const bool has_label = step.required_label.empty() ||
                         std::find(listing.labels.begin(), listing.labels.end(),
                                   step.required_label) != listing.labels.end();
  return has_label && step.Reservation().FitsIn(listing.capacity);
}

bool HasCapacityFor(const Candidate& candidate, const jobs::StepSpec& step) {
  if (step.max_per_worker > 0 &&
      candidate.tasks_of_step >= step.max_per_worker) {
    return false;
  }
  // Tasks that fill idle processor time slow down serving tasks on the same
  // worker, so the two kinds never share one.
  const workers::Worker& worker = *candidate.worker;
  if ((step.fills_idle_cpu && worker.has_serving()) ||
      (step.is_serving() && worker.has_idle_fillers())) {
    return false;
  }
  return step.Reservation().FitsIn(candidate.free);
}

std::uint32_t CountFittingTasks(const Candidate& candidate,
                                const jobs::StepSpec& step,
                                std::uint32_t most) {
  if (!HasCapacityFor(candidate, step)) {
    return 0;
  }
  const base::Resources needs = step.Reservation();
  std::uint32_t tasks = most;
  const auto limit = [&tasks](std::int64_t need, std::int64_t free) {
    if (need > 0) {
      tasks = static_cast<std::uint32_t>(
          std::min<std::int64_t>(tasks, free / need));
    }
  };
  limit(needs.cpu.value(), candidate.free.cpu.value());
  limit(needs.memory.value(), candidate.free.memory.value());
  limit(needs.accelerators.value(), candidate.free.accelerators.value());
  limit(needs.slots.value(), candidate.free.slots.value());
  return step.max_per_worker == 0
             ? tasks
             : std::min(tasks, step.max_per_worker - candidate.tasks_of_step);
}

double GangFraction(const workers::Worker& worker) {
  std::int64_t lost = 0;
  for (const auto& [key, run] : worker.runs()) {
    lost += run.is_gang_member ? run.needs.cpu.value() : 0;
  }
  return Fraction(lost, worker.listing().capacity.cpu.value());
}

double PlacementCost(const Candidate& candidate, const jobs::StepSpec& step,
                     const base::BackendId& failed_on, Exposure exposure) {
  const workers::Listing& listing = candidate.worker->listing();
  const base::Resources left = candidate.free - step.Reservation();
  double cost = LeftOver(left, listing.capacity);
  if (exposure == Exposure::kContained) {
    cost += kGangCompanyPenalty * GangFraction(*candidate.worker);
  }
  if (step.fills_idle_cpu) {
    const base::Millicores idle =
        candidate.free.cpu - candidate.worker->idle_filler_demand();
    cost = 1 - Fraction(idle.value(), listing.capacity.cpu.value());
  }
  cost += candidate.speed_cost;
  if (!candidate.has_valid_ticket) {
    cost += kNoTicketPenalty;
  }
  if (candidate.is_held_for_gang) {
    cost += kHeldForGangPenalty;
  }
  if (listing.cold_remaining > base::Duration(0)) {
    cost += kColdPenalty;
  }
  if (!step.data_rack.empty() && step.data_rack != listing.rack) {
    cost += kRemoteDataPenalty;
  }
  if (failed_on == candidate.worker->id() || candidate.was_lost_just_now) {
    cost += kFailedHerePenalty;
  }
  return cost;
}

void AllocateTask(Candidate* candidate, const jobs::StepSpec& step) {
  candidate->free -= step.Reservation();
  ++candidate->tasks_of_step;
}

const workers::Worker* AllocateOnBest(std::vector<Candidate>* candidates,
                                      const jobs::StepSpec& step,
                                      const base::BackendId& failed_on,
                                      Exposure exposure) {
  Candidate* best = nullptr;
  double lowest_cost = std::numeric_limits<double>::max();
  for (Candidate& candidate : *candidates) {
    if (!HasCapacityFor(candidate, step)) {
      continue;
    }
    const double cost = PlacementCost(candidate, step, failed_on, exposure);
    if (cost < lowest_cost) {
      lowest_cost = cost;
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  AllocateTask(best, step);
  return best->worker;
}

}  // namespace dotterelbarrow::core::placement
