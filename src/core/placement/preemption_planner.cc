// Chooses the victims that cost the least, and weighs their cost against the
// work that would be late.
#include "dotterelbarrow/core/placement/preemption_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterelbarrow::core::placement {
namespace {

constexpr double kMillicoresPerCore = 1000;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Cores(const base::Resources& resources) {
  return static_cast<double>(resources.cpu.value()) / kMillicoresPerCore;
}

}  // namespace

const char* ToString(PreemptionRefusal refusal) {
  switch (refusal) {
    case PreemptionRefusal::kNotDue:
      return "not_due";
    case PreemptionRefusal::kTooLate:
      return "too_late";
    case PreemptionRefusal::kEndsInTime:
      return "ends_in_time";
    case PreemptionRefusal::kNoVictims:
      return "no_victims";
    case PreemptionRefusal::kGangIncomplete:
      return "gang_incomplete";
    case PreemptionRefusal::kNotWorthwhile:
      return "not_worthwhile";
  }
  return "unknown";
}

double PreemptionPlanner::WeightOf(int priority) {
  return std::pow(kPriorityWeight, -priority);
}

std::optional<PreemptionRefusal> PreemptionPlanner::CheckTime(
    base::TimePoint latest_start, base::TimePoint now) const {
  if (now + settings_.stop_timeout > latest_start) {
    return PreemptionRefusal::kTooLate;
  }
  if (now + settings_.stop_timeout + kLeadTime < latest_start) {
    return PreemptionRefusal::kNotDue;
  }
  return std::nullopt;
}

bool PreemptionPlanner::IsRoomExpected(const PreemptionRequest& request) {
  const auto openings = std::count_if(
      request.candidates.begin(), request.candidates.end(),
      [&request](const PreemptionCandidate& candidate) {
        return candidate.fits_at && *candidate.fits_at <= request.latest_start;
      });
  return static_cast<std::size_t>(openings) >=
         kOpeningsPerTask * (request.tasks + request.tasks_ahead);
}

base::Duration PreemptionPlanner::SlackAfter(const PreemptibleRun& run,
                                             const PreemptionRequest& request,
                                             base::TimePoint now) const {
  return std::min(run.resume_by - now - settings_.stop_timeout,
                  run.least_waiting_slack) -
         request.run_time;
}

bool PreemptionPlanner::IsVictim(const PreemptibleRun& run,
                                 const PreemptionRequest& request,
                                 base::TimePoint now) const {
  if (run.priority <= request.priority || !run.is_running || run.is_exempt ||
      run.is_gang_member || !run.writes_checkpoints) {
    return false;
  }
  if (run.preemptions >= kMaxPreemptionsPerTask ||
      (run.last_preempted_at &&
       now - *run.last_preempted_at < kMinPreemptionInterval)) {
    return false;
  }
  // A run that ends about as soon as a stop takes effect is left to end. The
  // end of one that exceeds its expected run time can't be predicted.
  return run.remaining >= settings_.stop_timeout + settings_.restore_time &&
         SlackAfter(run, request, now) >= kMinVictimSlack;
}

double PreemptionPlanner::CostOf(const PreemptibleRun& run,
                                 const PreemptionRequest& request,
                                 base::TimePoint now) const {
  // While it is being stopped it makes no progress that is sure to be saved.
  // If no checkpoint was reported, all its progress may be lost.
  const base::Duration lost =
      settings_.stop_timeout + settings_.restore_time +
      (run.has_checkpoint ? base::Duration(0) : run.age);
  const double risk = std::exp(-Seconds(SlackAfter(run, request, now)) /
                               Seconds(kMeanResumeWait));
  return WeightOf(run.priority) * (Cores(run.reserved) * Seconds(lost) +
                                   risk * kLostWhenLate * run.job_core_seconds);
}

std::optional<PreemptionPlanner::Option> PreemptionPlanner::FindOption(
    const PreemptionCandidate& candidate, const PreemptionRequest& request,
    const std::vector<bool>& is_taken, base::TimePoint now) const {
  if (candidate.max_tasks == 0) {
    return std::nullopt;
  }
  struct Victim {
    double cost;
    double cost_per_core;
    std::size_t index;
  };
  std::vector<Victim> victims;
  for (std::size_t i = 0; i < candidate.runs.size(); ++i) {
    const PreemptibleRun& run = candidate.runs[i];
    if (!is_taken[i] && IsVictim(run, request, now)) {
      const double cost = CostOf(run, request, now);
      victims.push_back({cost, cost / std::max(Cores(run.reserved), 0.001), i});
    }
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::pair(a.cost_per_core, a.index) <
                     std::pair(b.cost_per_core, b.index);
            });
  base::Resources free = candidate.free;
  std::vector<Victim> chosen;
  for (const Victim& victim : victims) {
    if (request.needs.FitsIn(free)) {
      break;
    }
    free += candidate.runs[victim.index].reserved;
    chosen.push_back(victim);
  }
  if (!request.needs.FitsIn(free)) {
    return std::nullopt;
  }
  // Leaves out those that turn out not to be needed, the most expensive first.
  std::sort(chosen.begin(), chosen.end(), [](const Victim& a, const Victim& b) {
    return std::pair(a.cost, a.index) > std::pair(b.cost, b.index);
  });
  Option option;
  for (const Victim& victim : chosen) {
    const base::Resources without =
        free - candidate.runs[victim.index].reserved;
    if (request.needs.FitsIn(without)) {
      free = without;
    } else {
      option.victims.push_back(victim.index);
      option.cost += victim.cost;
    }
  }
  return option;
}

PreemptionPlan PreemptionPlanner::Plan(const PreemptionRequest& request,
                                       base::TimePoint now) const {
  PreemptionPlan plan;
  plan.refusal = CheckTime(request.latest_start, now);
  if (plan.refusal) {
    return plan;
  }
  if (IsRoomExpected(request)) {
    return {.refusal = PreemptionRefusal::kEndsInTime};
  }
  struct Place {
    PreemptionCandidate candidate;
    std::vector<bool> is_taken;
    std::optional<Option> option;
  };
  std::vector<Place> places;
  places.reserve(request.candidates.size());
  for (const PreemptionCandidate& candidate : request.candidates) {
    places.push_back(
        {candidate, std::vector<bool>(candidate.runs.size()), std::nullopt});
    Place& place = places.back();
    place.option = FindOption(place.candidate, request, place.is_taken, now);
  }
  std::uint32_t without_stops = 0;
  while (plan.rooms.size() < request.tasks) {
    Place* best = nullptr;
    for (Place& place : places) {
      if (place.option &&
          (best == nullptr || place.option->cost < best->option->cost)) {
        best = &place;
      }
    }
    if (best == nullptr) {
      return {.refusal = PreemptionRefusal::kNoVictims};
    }
    without_stops += best->option->victims.empty() ? 1 : 0;
    for (const std::size_t index : best->option->victims) {
      best->is_taken[index] = true;
      best->candidate.free += best->candidate.runs[index].reserved;
      plan.stops.push_back(
          {best->candidate.worker, best->candidate.runs[index]});
    }
    plan.cost += best->option->cost;
    plan.rooms.push_back(best->candidate.worker);
    best->candidate.free -= request.needs;
    --best->candidate.max_tasks;
    best->option = FindOption(best->candidate, request, best->is_taken, now);
  }
  if (request.is_gang && request.tasks > kLargeGang &&
      2 * without_stops < request.tasks) {
    return {.refusal = PreemptionRefusal::kGangIncomplete};
  }
  plan.gain =
      WeightOf(request.priority) * kLostWhenLate * request.job_core_seconds;
  if (plan.gain <= plan.cost) {
    return {.refusal = PreemptionRefusal::kNotWorthwhile,
            .gain = plan.gain,
            .cost = plan.cost};
  }
  return plan;
}

}  // namespace dotterelbarrow::core::placement
