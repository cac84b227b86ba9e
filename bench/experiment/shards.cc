// Divides a pattern, and adds up the results of its parts.
#include "bench/experiment/shards.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelbarrow/core/shards/shard_plan.h"

namespace dotterelbarrow::bench {
namespace {

// Makes the draws of owners independent.
constexpr std::uint32_t kOwnerSalt = 104'729;

template <typename Value>
void Append(const std::vector<Value>& more, std::vector<Value>* all) {
  all->insert(all->end(), more.begin(), more.end());
}

template <typename Count>
void Add(const std::map<std::string, Count>& more,
         std::map<std::string, Count>* all) {
  for (const auto& [name, count] : more) {
    (*all)[name] += count;
  }
}

void Add(const KindOutcome& more, KindOutcome* all) {
  all->jobs += more.jobs;
  all->refused += more.refused;
  all->refusals += more.refusals;
  all->on_time += more.on_time;
  all->late += more.late;
  all->unfinished += more.unfinished;
  all->work += more.work;
  all->work_on_time += more.work_on_time;
  all->value += more.value;
  all->earned += more.earned;
  Append(more.first_start_ms, &all->first_start_ms);
  Append(more.completion_ms, &all->completion_ms);
}

void Add(const Outcome& more, Outcome* all) {
  for (std::size_t i = 0; i < more.kinds.size(); ++i) {
    Add(more.kinds[i], &all->kinds[i]);
  }
  all->starts += more.starts;
  all->looks += more.looks;
  all->advice_calls += more.advice_calls;
  all->batches += more.batches;
  all->packing += more.packing;
  Add(more.preemptions, &all->preemptions);
  Add(more.cpu_s, &all->cpu_s);
  Add(more.refusals, &all->refusals);
  Add(more.locality, &all->locality);
  Append(more.earned_fractions, &all->earned_fractions);
  Append(more.steady_fractions, &all->steady_fractions);
}

}  // namespace

int OwnersOf(const Pattern& pattern) {
  const auto per_owner =
      static_cast<int>(core::shards::ShardPlannerSettings().workers_per_shard);
  return std::max(1, pattern.workers / per_owner);
}

Pattern PartOf(const Pattern& pattern, int owners) {
  Pattern part = pattern;
  part.workers = pattern.workers / owners;
  part.askers = std::max(1, pattern.askers / owners);
  part.organisations.count = std::max(1, pattern.organisations.count / owners);
  for (Kind& kind : part.kinds) {
    kind.jobs_per_s /= owners;
  }
  return part;
}

Outcome RunWithOwners(const Pattern& pattern, const ExperimentOptions& options,
                      int owners) {
  const Pattern part = PartOf(pattern, owners);
  Outcome all;
  for (int owner = 0; owner < owners; ++owner) {
    ExperimentOptions of_owner = options;
    of_owner.seed += kOwnerSalt * static_cast<std::uint32_t>(owner);
    Outcome outcome = Experiment(part, of_owner).Run();
    if (owner == 0) {
      all = std::move(outcome);
    } else {
      Add(outcome, &all);
    }
  }
  all.packing /= owners;
  std::sort(all.earned_fractions.begin(), all.earned_fractions.end());
  std::sort(all.steady_fractions.begin(), all.steady_fractions.end());
  return all;
}

}  // namespace dotterelbarrow::bench
