// Tests caps without workers: reservations for gangs and orphaned runs.
#include "dotterelbarrow/core/scheduler/dispatcher_caps.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <vector>

namespace dotterelbarrow::core::scheduler {
namespace {

constexpr std::int64_t kCap = 10;

base::Resources Cores(std::int64_t cores) {
  base::Resources resources;
  resources.cpu = base::Millicores(cores * 1000);
  return resources;
}

TEST_CASE("an organisation with a cap of ten cores") {
  JobRegistry registry{JobRegistrySettings()};
  Fleet fleet{FleetSettings(), Telemetry()};
  RunIndex runs;
  DispatcherContext context{.settings = {},
                            .telemetry = {},
                            .jobs = &registry,
                            .fleet = &fleet,
                            .runs = &runs};
  desired::Organisation school;
  school.id = base::OrganisationId("school");
  school.cap = Cores(kCap);
  context.desired = std::make_shared<desired::DesiredState>(
      base::ConfigVersion(1), std::vector<desired::Queue>{},
      std::vector<desired::Organisation>{school},
      std::vector<desired::Service>{}, desired::CallLimits());
  jobs::Job job;
  job.organisation = school.id;
  job.spec.steps.resize(1);
  job.spec.steps[0].needs = Cores(1);
  WaitingStep item;
  item.job = &job;
  DispatcherCaps caps(&context);
  const base::TimePoint now{std::chrono::seconds(100)};
  caps.BeginPass({}, {}, now);

  // Guards against a cap that is off by one task.
  SUBCASE("runs ten tasks of one core, and not eleven") {
    CHECK(caps.IsWithinCap(item, kCap));
    CHECK_FALSE(caps.IsWithinCap(item, kCap + 1));
  }
  // Guards against small tasks that take up what a gang waits for, and against
  // a reservation that outlives its pass.
  SUBCASE("leaves what the first waiting gang needs free for one pass") {
    caps.ReserveCap(item, 8);
    caps.ReserveCap(item, 3);
    CHECK(caps.IsWithinCap(item, 2));
    CHECK_FALSE(caps.IsWithinCap(item, 3));
    caps.BeginPass({}, {}, now);
    CHECK(caps.IsWithinCap(item, kCap));
  }
  // Guards against a cap that a gang beyond it blocks for everyone.
  SUBCASE("reserves nothing for a gang that never fits") {
    caps.ReserveCap(item, kCap + 1);
    CHECK(caps.IsWithinCap(item, kCap));
  }
  // Guards against a cap exceeded by runs whose job is unknown.
  SUBCASE("counts the capacity of workers with orphaned runs") {
    caps.set_orphan_usage(Cores(4));
    CHECK(caps.IsWithinCap(item, 6));
    CHECK_FALSE(caps.IsWithinCap(item, 7));
    CHECK(caps.UsageOf(school.id) == Cores(4));
  }
  // Guards against a missing entry that stops an organisation's work.
  SUBCASE("does not limit an organisation that is not configured") {
    job.organisation = base::OrganisationId("dropped");
    CHECK(caps.IsWithinCap(item, 10 * kCap));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
