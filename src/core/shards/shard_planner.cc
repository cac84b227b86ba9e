// Plans shards for a fleet.
#include <algorithm>
#include <numeric>
#include <utility>

#include "dotterelbarrow/core/shards/shard_plan.h"

namespace dotterelbarrow::core::shards {
namespace {

using desired::Organisation;
using workers::Listing;

// Workers that a job may require: those of a service that have a label, or
// all of the service if the label is empty.
using Kind = std::pair<base::ServiceId, std::string>;
using KindCounts = std::map<Kind, double>;

struct Spread {
  std::map<base::OrganisationId, ShardNumber> organisations;
  // The part of the whole load that each shard carries.
  std::vector<double> parts;
};

// Gives the heaviest organisation that is left to the shard with the least
// weight.
Spread SpreadOrganisations(std::vector<Organisation> organisations,
                           std::uint32_t count) {
  std::stable_sort(organisations.begin(), organisations.end(),
                   [](const Organisation& a, const Organisation& b) {
                     return a.weight != b.weight ? a.weight > b.weight
                                                 : a.id < b.id;
                   });
  Spread spread;
  std::vector<double> weights(count, 0);
  for (const Organisation& organisation : organisations) {
    const auto lightest = std::min_element(weights.begin(), weights.end());
    *lightest += std::max(0.0, organisation.weight);
    spread.organisations[organisation.id] = ShardNumber(
        static_cast<std::uint64_t>(std::distance(weights.begin(), lightest)));
  }
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (const double weight : weights) {
    spread.parts.push_back(sum > 0 ? weight / sum : 1.0 / count);
  }
  return spread;
}

KindCounts KindsOf(const Listing& worker) {
  KindCounts kinds;
  kinds[{worker.service, ""}] = 1;
  for (const std::string& label : worker.labels) {
    // The rack is spread by the assignment of racks itself.
    if (label != worker.rack) {
      kinds[{worker.service, label}] = 1;
    }
  }
  return kinds;
}

void Add(const KindCounts& more, KindCounts* kinds) {
  for (const auto& [kind, workers] : more) {
    (*kinds)[kind] += workers;
  }
}

double CountOf(const KindCounts& kinds, const Kind& kind) {
  const auto it = kinds.find(kind);
  return it == kinds.end() ? 0 : it->second;
}

// The workers of each shard, by kind.
using ShardKinds = std::vector<KindCounts>;

// Returns how much a shard lacks of what the rack has, relative to the part of
// the fleet that it should have.
double ShortageOf(const KindCounts& shard, double part, const KindCounts& rack,
                  const KindCounts& fleet) {
  double shortage = 0;
  for (const auto& [kind, workers] : rack) {
    const double all = CountOf(fleet, kind);
    shortage += workers * (part - CountOf(shard, kind) / all);
  }
  return shortage;
}

// Gives each rack to the shard that lacks most of its workers.
std::map<std::string, ShardNumber> SpreadRacks(
    const std::map<std::string, KindCounts>& racks, const KindCounts& fleet,
    const std::vector<double>& parts, ShardKinds* shards) {
  std::map<std::string, ShardNumber> assigned;
  for (const auto& [rack, kinds] : racks) {
    std::size_t neediest = 0;
    double most = 0;
    for (std::size_t shard = 0; shard < parts.size(); ++shard) {
      const double shortage =
          ShortageOf((*shards)[shard], parts[shard], kinds, fleet);
      if (shard == 0 || shortage > most) {
        neediest = shard;
        most = shortage;
      }
    }
    Add(kinds, &(*shards)[neediest]);
    assigned[rack] = ShardNumber(neediest);
  }
  return assigned;
}

// Returns whether each shard has enough workers of each kind that is not rare
// in the whole fleet.
bool HasAllKinds(const ShardKinds& shards, const KindCounts& fleet,
                 std::size_t min_workers) {
  const auto least = static_cast<double>(min_workers);
  return std::all_of(fleet.begin(), fleet.end(), [&](const auto& entry) {
    const Kind& kind = entry.first;
    return std::all_of(
        shards.begin(), shards.end(),
        [&](const KindCounts& shard) { return CountOf(shard, kind) >= least; });
  });
}

}  // namespace

ShardPlan PlanShards(const std::vector<const Listing*>& workers,
                     const std::vector<Organisation>& organisations,
                     scheduler::FencingToken last_token,
                     const ShardPlannerSettings& settings) {
  const std::size_t wanted = settings.workers_per_shard == 0
                                 ? 1
                                 : workers.size() / settings.workers_per_shard;
  if (wanted <= 1) {
    return {};
  }
  std::map<std::string, KindCounts> racks;
  KindCounts fleet;
  for (const Listing* worker : workers) {
    const KindCounts kinds = KindsOf(*worker);
    Add(kinds, &fleet);
    if (!worker->rack.empty()) {
      Add(kinds, &racks[worker->rack]);
    }
  }
  for (auto count = static_cast<std::uint32_t>(wanted); count > 1; --count) {
    const Spread spread = SpreadOrganisations(organisations, count);
    ShardKinds shards(count);
    ShardAssignments assignments{
        spread.organisations, SpreadRacks(racks, fleet, spread.parts, &shards)};
    ShardPlan plan(count, last_token, std::move(assignments));
    for (const Listing* worker : workers) {
      if (worker->rack.empty()) {
        Add(KindsOf(*worker), &shards[plan.ShardOf(*worker).value()]);
      }
    }
    if (HasAllKinds(shards, fleet, settings.min_workers_of_kind)) {
      return plan;
    }
  }
  return {};
}

}  // namespace dotterelbarrow::core::shards
