// Tests how a cell is divided into shards.
#include "dotterelbarrow/core/shards/shard_plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace dotterelbarrow::core::shards {
namespace {

using desired::Organisation;
using workers::Listing;

constexpr scheduler::FencingToken kLastToken(256);

Listing WorkerIn(const std::string& rack, int number,
                 const std::string& label = "a") {
  Listing listing;
  listing.id = base::BackendId("worker-" + std::to_string(number));
  listing.service = base::ServiceId("tasks");
  listing.rack = rack;
  listing.labels = {label, rack};
  return listing;
}

// Returns workers in racks of eight.
std::vector<Listing> Fleet(int size) {
  std::vector<Listing> fleet;
  fleet.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    fleet.push_back(WorkerIn("rack-" + std::to_string(i / 8), i,
                             i / 8 % 2 == 0 ? "a" : "b"));
  }
  return fleet;
}

Organisation Weighing(const std::string& name, double weight) {
  Organisation organisation;
  organisation.id = base::OrganisationId(name);
  organisation.weight = weight;
  return organisation;
}

// Returns 60 organisations, of which a few are large.
std::vector<Organisation> Organisations() {
  constexpr int kOrganisations = 60;
  std::vector<Organisation> organisations;
  organisations.reserve(kOrganisations);
  for (int i = 0; i < kOrganisations; ++i) {
    organisations.push_back(
        Weighing("organisation-" + std::to_string(i), 20.0 / (1 + i) + 1));
  }
  return organisations;
}

ShardPlan PlanFor(const std::vector<Listing>& fleet,
                  const std::vector<Organisation>& organisations,
                  const ShardPlannerSettings& settings = {}) {
  std::vector<const Listing*> workers;
  workers.reserve(fleet.size());
  for (const Listing& listing : fleet) {
    workers.push_back(&listing);
  }
  return PlanShards(workers, organisations, kLastToken, settings);
}

// Returns how many workers each shard has.
std::map<ShardNumber, int> WorkersOf(const ShardPlan& plan,
                                     const std::vector<Listing>& fleet) {
  std::map<ShardNumber, int> workers;
  for (const Listing& listing : fleet) {
    ++workers[plan.ShardOf(listing)];
  }
  return workers;
}

TEST_CASE("the number of shards of a fleet") {
  SUBCASE("one owner manages a small fleet alone") {
    CHECK(PlanFor(Fleet(48), Organisations()).count() == 1);
    CHECK(PlanFor(Fleet(350), Organisations()).count() == 1);
    CHECK(PlanFor(Fleet(999), Organisations()).count() == 1);
  }
  SUBCASE("a larger one gets an owner for each part that one can manage") {
    CHECK(PlanFor(Fleet(1100), Organisations()).count() == 2);
    CHECK(PlanFor(Fleet(3000), Organisations()).count() == 6);
  }
  SUBCASE("none at all is never divided") {
    CHECK(PlanFor({}, Organisations()).count() == 1);
    CHECK(PlanFor(Fleet(1100), Organisations(), {.workers_per_shard = 0})
              .count() == 1);
  }
  SUBCASE("no shard lacks a kind of worker that others have") {
    std::vector<Listing> fleet = Fleet(1500);
    for (int i = 0; i < 17; ++i) {
      fleet.push_back(
          WorkerIn("rack-special-" + std::to_string(i), 2000 + i, "rare"));
    }
    CHECK(PlanFor(fleet, Organisations()).count() == 2);
    fleet.push_back(WorkerIn("rack-last", 3000, "single"));
    CHECK(PlanFor(fleet, Organisations()).count() == 1);
  }
}

TEST_CASE("a divided fleet") {
  const std::vector<Listing> fleet = Fleet(1100);
  const std::vector<Organisation> organisations = Organisations();
  const ShardPlan plan = PlanFor(fleet, organisations);
  REQUIRE(plan.count() == 2);

  SUBCASE("organisations are spread by weight, and workers follow them") {
    std::map<ShardNumber, double> weights;
    double sum = 0;
    for (const Organisation& organisation : organisations) {
      weights[plan.ShardOf(organisation.id, jobs::JobKey(1))] +=
          organisation.weight;
      sum += organisation.weight;
    }
    for (const auto& [shard, workers] : WorkersOf(plan, fleet)) {
      CHECK(weights[shard] / sum == doctest::Approx(0.5).epsilon(0.05));
      CHECK(workers / 1100.0 ==
            doctest::Approx(weights[shard] / sum).epsilon(0.05));
    }
  }
  SUBCASE("an organisation with half of the load gets half of the workers") {
    std::vector<Organisation> uneven = {Weighing("large", 60)};
    for (int i = 0; i < 60; ++i) {
      uneven.push_back(Weighing("small-" + std::to_string(i), 1));
    }
    const ShardPlan skewed = PlanFor(fleet, uneven, {.workers_per_shard = 275});
    REQUIRE(skewed.count() == 4);
    const ShardNumber large =
        skewed.ShardOf(base::OrganisationId("large"), jobs::JobKey(1));
    CHECK(WorkersOf(skewed, fleet)[large] / 1100.0 ==
          doctest::Approx(0.5).epsilon(0.05));
  }
  SUBCASE("all workers of a rack belong to one shard, also later ones") {
    for (const Listing& listing : fleet) {
      Listing replacement = listing;
      replacement.id = base::BackendId("replacement");
      replacement.address = "elsewhere:1";
      CHECK(plan.ShardOf(replacement) == plan.ShardOf(listing));
    }
  }
  SUBCASE("what is added later belongs to one of the shards") {
    CHECK(rc::check("any name has a shard, the same at each host", [&plan] {
      const auto name = *rc::gen::nonEmpty<std::string>();
      base::Failure reason;
      const auto other = DecodeShardPlan(EncodeShardPlan(plan), &reason);
      RC_ASSERT(other.has_value());
      const base::OrganisationId organisation(name);
      const jobs::JobKey job(*rc::gen::arbitrary<std::uint64_t>());
      RC_ASSERT(plan.ShardOf(organisation, job).value() < plan.count());
      RC_ASSERT(plan.ShardOf(organisation, job) ==
                other->ShardOf(organisation, jobs::JobKey(0)));
      RC_ASSERT(plan.ShardOf(base::OrganisationId(), job) ==
                other->ShardOf(base::OrganisationId(), job));
      RC_ASSERT(plan.ShardOf(WorkerIn(name, 1)) ==
                other->ShardOf(WorkerIn(name, 2)));
      RC_ASSERT(plan.HomeShardOf(base::EntryId(name)).value() < plan.count());
    }));
  }
}

TEST_CASE("the record of a plan") {
  const ShardPlan plan = PlanFor(Fleet(1100), Organisations());
  base::Failure reason;
  SUBCASE("what is read is what was written") {
    const auto read = DecodeShardPlan(EncodeShardPlan(plan), &reason);
    REQUIRE(read);
    CHECK(*read == plan);
    CHECK(read->last_token() == kLastToken);
  }
  SUBCASE("it fits into a row of the store, also that of a larger fleet") {
    CHECK(EncodeShardPlan(PlanFor(Fleet(3900), Organisations())).size() <
          std::size_t{40} * 1024);
  }
  SUBCASE("a record that makes no sense is rejected") {
    for (const char* text :
         {"", "[]", "{}", R"({"shards":0,"last_token":1})",
          R"({"shards":4294967295,"last_token":1})",
          R"({"shards":2,"last_token":1,"organisations":{"a":2},"racks":{}})",
          R"({"shards":2,"last_token":1,"organisations":{},"racks":{"r":-1}})",
          R"({"shards":2,"last_token":1,"organisations":[],"racks":{}})",
          R"({"shards":2,"last_token":"x","organisations":{},"racks":{}})"}) {
      CAPTURE(text);
      CHECK_FALSE(DecodeShardPlan(text, &reason));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::shards
