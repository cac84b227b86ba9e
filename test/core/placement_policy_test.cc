// Tests of the placement policies, and of the index of free resources, compared
// with a linear scan.
#include "dotterelbarrow/core/placement_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include "dotterelbarrow/core/free_resources_index.h"
#include "test/core/owner_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the index finds a fitting member if and only if a scan does") {
  std::mt19937_64 random(20261203);
  const auto pick = [&random](std::int64_t most) {
    return static_cast<std::int64_t>(random() % (most + 1));
  };
  FreeResourcesIndex index;
  std::map<BackendIndex, base::Resources> free_resources;
  for (int step = 0; step < 4000; ++step) {
    const auto member = static_cast<BackendIndex>(pick(60));
    if (pick(3) == 0) {
      index.Remove(member);
      free_resources.erase(member);
    } else {
      // Larger members in later steps make the index rescale its levels.
      const std::int64_t size = step < 1000 ? 8000 : 32000;
      free_resources[member] = {base::Millicores(pick(size)),
                                base::Mebibytes(pick(size)),
                                base::Accelerators(pick(1)),
                                {}};
      index.Put(member, free_resources[member]);
    }
    const base::Resources demand{base::Millicores(pick(20000)),
                                 base::Mebibytes(pick(20000)),
                                 base::Accelerators(pick(1)),
                                 {}};
    const auto& found = index.Search({demand, 0.1 * pick(10), 1});
    const bool any = std::any_of(
        free_resources.begin(), free_resources.end(),
        [&demand](const auto& entry) { return demand.FitsIn(entry.second); });
    REQUIRE(found.empty() == !any);
    REQUIRE((found.empty() || demand.FitsIn(free_resources.at(found.front()))));
    REQUIRE(index.size() == free_resources.size());
  }
}

TEST_CASE("each policy places tasks as their kind of work requires") {
  SUBCASE("the packing weight decides between fuller and emptier workers") {
    const auto prefers_fuller = [](double weight) {
      OwnerFixture cell(1, weight);
      FakeBackend& a = cell.Add("a", Size(16, 64));
      FakeBackend& b = cell.Add("b", Size(16, 64));
      cell.Run(milliseconds(50));
      for (std::uint32_t i = 0; i < 2; ++i) {
        cell.Place(OwnerFixture::Task(i, Size(2, 8)));
        cell.Run(milliseconds(20));
      }
      return a.tasks.size() != b.tasks.size();
    };
    CHECK(prefers_fuller(1.0));
    CHECK_FALSE(prefers_fuller(0.0));
  }

  SUBCASE("balanced free resources are preferred to stranded ones") {
    const base::Resources capacity = Size(16, 64);
    CHECK(LeftoverCost(Size(4, 16), capacity, 1.0) <
          LeftoverCost(Size(0, 32), capacity, 1.0));
  }

  SUBCASE("tasks that need no accelerators avoid workers that have them") {
    OwnerFixture cell;
    base::Resources with = Size(16, 64);
    with.accelerators = base::Accelerators(4);
    FakeBackend& special = cell.Add("a", with);
    cell.Add("b", Size(16, 64));
    cell.Run(milliseconds(50));
    cell.Place(OwnerFixture::Task(0, Size(2, 8)));
    cell.Run(milliseconds(20));
    CHECK(special.tasks.empty());
  }

  SUBCASE("the tasks of an all-at-once job share a rack while they fit") {
    OwnerFixture cell(1, 0.0);
    for (int i = 0; i < 12; ++i) {
      cell.Add("w" + std::to_string(i), Size(4, 16),
               "rack" + std::to_string(i % 4));
    }
    cell.Run(milliseconds(50));
    std::set<std::string> racks;
    for (std::uint32_t i = 0; i < 6; ++i) {
      const TaskSpec task = OwnerFixture::Task(i, Size(2, 8));
      cell.Hold(task);
      cell.Run(milliseconds(10));
      const std::string worker =
          cell.replies.at(task.id).back().backend.value();
      racks.insert("rack" + std::to_string(std::stoi(worker.substr(1)) % 4));
    }
    CHECK(racks.size() == 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
