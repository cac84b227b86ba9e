// Tests of how a shard owner places, holds, queues, removes and preempts tasks,
// and quarantines workers on which tasks fail.
#include <doctest/doctest.h>

#include "test/core/owner_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int RunningOn(const FakeBackend& worker) {
  int running = 0;
  for (const auto& [id, task] : worker.tasks) {
    running += task.state == TaskState::kRunning ? 1 : 0;
  }
  return running;
}

TEST_CASE("a task is placed once even if its request is repeated") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(16, 64));
  cell.Run(milliseconds(50));
  const TaskSpec task = OwnerFixture::Task(0, Size(1, 1));
  cell.Place(task);
  cell.Run(milliseconds(10));
  REQUIRE(cell.Status(task) == PlaceStatus::kPlaced);
  REQUIRE(worker.starts[task.id] == 1);

  SUBCASE("a repeated request gets the same reply") {
    cell.Place(task);
    cell.Run(seconds(1));
    CHECK(cell.replies[task.id].size() == 2);
    CHECK(cell.replies[task.id][0] == cell.replies[task.id][1]);
  }
  SUBCASE("a start that was lost is sent again") {
    const TaskSpec lost = OwnerFixture::Task(1, Size(1, 1));
    cell.Place(lost);
    worker.reachable = false;
    cell.Run(milliseconds(10));
    worker.reachable = true;
    cell.Run(milliseconds(300));
    CHECK(worker.starts[lost.id] == 1);
  }
  SUBCASE("a task that has ended isn't started again") {
    worker.Finish(task.id, TaskState::kFailed);
    cell.Run(seconds(2));
    CHECK(cell.EndOf(task) == TaskEnd::kFailed);
    CHECK(worker.tasks.empty());
    cell.Place(task);
    cell.Run(seconds(1));
    CHECK(cell.Status(task) == PlaceStatus::kPlaced);
    CHECK(cell.updates[task.id].size() == 2);
  }
  SUBCASE("a task whose removal arrived before its request isn't started") {
    const TaskSpec late = OwnerFixture::Task(1, Size(1, 1));
    cell.Remove(late);
    cell.Run(milliseconds(10));
    CHECK(cell.EndOf(late) == TaskEnd::kNotKnown);
    cell.Place(late);
    cell.Run(seconds(1));
    CHECK(cell.Status(late) == PlaceStatus::kNoRoom);
    CHECK(worker.starts[late.id] == 0);
  }
  CHECK(worker.starts[task.id] == 1);
}

TEST_CASE("commands from managers of an older epoch are ignored") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(1, 64));
  cell.Run(milliseconds(50));
  const TaskSpec first = OwnerFixture::Task(0, Size(1, 1));
  const TaskSpec queued = OwnerFixture::Task(1, Size(1, 1));
  cell.Place(first);
  cell.Place(queued);
  cell.Run(milliseconds(20));
  REQUIRE(cell.Inventory(2).tasks.size() == 1);

  SUBCASE("their placements are refused and their removals have no effect") {
    const TaskSpec late = OwnerFixture::Task(2, Size(1, 1));
    cell.Place(late);
    cell.Remove(first);
    cell.Run(seconds(1));
    CHECK(cell.Status(late) == PlaceStatus::kStale);
    CHECK(worker.IsRunning(first.id));
  }
  SUBCASE("their queued tasks are dropped, and a new manager can place them") {
    worker.Finish(first.id, TaskState::kSucceeded);
    cell.Run(seconds(2));
    CHECK(worker.starts[queued.id] == 0);
    TaskSpec again = queued;
    again.manager_epoch = OwnerFixture::Manager(2);
    cell.Place(again);
    cell.Run(milliseconds(20));
    CHECK(worker.starts[queued.id] == 1);
  }
}

TEST_CASE("the tasks placed on a worker never exceed its capacity") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(4, 8));
  cell.Run(milliseconds(50));
  const auto place = [&](std::uint32_t count, const base::Resources& demand) {
    for (std::uint32_t i = 0; i < count; ++i) {
      cell.Place(OwnerFixture::Task(i, demand));
    }
    cell.Run(milliseconds(50));
  };
  SUBCASE("in any dimension") {
    place(6, Size(1, 3));
    CHECK(RunningOn(worker) == 2);
  }
  SUBCASE("a lowered capacity applies to new tasks") {
    worker.capacity = Size(1, 8);
    cell.Run(seconds(2));
    place(3, Size(1, 1));
    CHECK(RunningOn(worker) == 1);
  }
  SUBCASE("a task larger than every worker is refused immediately") {
    place(1, Size(5, 1));
    CHECK(cell.Status(OwnerFixture::Task(0, {})) == PlaceStatus::kNeverFits);
  }
  SUBCASE("a worker that is leaving gets no new tasks and keeps its own") {
    place(1, Size(1, 1));
    cell.Host(0).leaving = true;
    cell.Run(seconds(2));
    const TaskSpec late = OwnerFixture::Task(9, Size(1, 1));
    cell.Place(late);
    cell.Run(seconds(1));
    CHECK(cell.Status(late) == PlaceStatus::kNoRoom);
    CHECK(RunningOn(worker) == 1);
  }
}

TEST_CASE("tasks that don't fit are queued in the order of their shares") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(4, 64));
  cell.Run(milliseconds(50));
  const TaskSpec full = OwnerFixture::Task(0, Size(2, 1));
  const TaskSpec also = OwnerFixture::Task(1, Size(2, 1));
  cell.Place(full);
  cell.Place(also);
  cell.Run(milliseconds(20));
  const TaskSpec above = OwnerFixture::Task(2, Size(2, 1), "job", "above");
  const TaskSpec below = OwnerFixture::Task(3, Size(2, 1), "job", "below");
  cell.Place(above, 0.9);
  cell.Place(below, 0.1);

  SUBCASE("the team furthest below its share goes first") {
    worker.Finish(full.id, TaskState::kSucceeded);
    cell.owner->OnReport(worker.Report(cell.now), cell.now);
    cell.Run(milliseconds(20));
    CHECK(worker.IsRunning(below.id));
    CHECK_FALSE(worker.tasks.contains(above.id));
  }
  SUBCASE("within a team the task that has waited longest goes first") {
    cell.Run(milliseconds(650));
    TaskSpec again = above;
    again.id.attempt = 1;
    cell.Place(OwnerFixture::Task(4, Size(2, 1), "job", "above"), 0.2);
    cell.Place(again, 0.5);
    worker.Finish(full.id, TaskState::kSucceeded);
    cell.owner->OnReport(worker.Report(cell.now), cell.now);
    cell.Run(milliseconds(20));
    CHECK(worker.IsRunning(again.id));
  }
  SUBCASE("a task that waits too long is refused once and not started") {
    cell.Run(milliseconds(600));
    CHECK(cell.Status(above) == PlaceStatus::kNoRoom);
    CHECK(cell.replies[above.id].size() == 1);
    worker.Finish(full.id, TaskState::kSucceeded);
    cell.Run(seconds(2));
    CHECK(worker.starts[above.id] == 0);
  }
  SUBCASE("a large task isn't starved by small tasks that arrive later") {
    cell.Run(milliseconds(600));
    const TaskSpec large = OwnerFixture::Task(4, Size(4, 1));
    cell.Place(large, 0.1);
    cell.Run(milliseconds(100));
    cell.Place(OwnerFixture::Task(5, Size(2, 1)), 0.9);
    worker.Finish(full.id, TaskState::kSucceeded);
    cell.owner->OnReport(worker.Report(cell.now), cell.now);
    cell.Place(OwnerFixture::Task(6, Size(2, 1)), 0.9);
    cell.Run(milliseconds(100));
    worker.Finish(also.id, TaskState::kSucceeded);
    cell.owner->OnReport(worker.Report(cell.now), cell.now);
    cell.Run(milliseconds(20));
    CHECK(worker.IsRunning(large.id));
  }
}

TEST_CASE("held resources stay reserved until the hold is committed or ends") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(1, 64));
  cell.Run(milliseconds(50));
  const TaskSpec task = OwnerFixture::Task(0, Size(1, 1));
  const TaskSpec other = OwnerFixture::Task(1, Size(1, 1));
  cell.Hold(task);
  cell.Run(milliseconds(20));
  REQUIRE(cell.Status(task) == PlaceStatus::kPlaced);
  CHECK(worker.tasks.empty());
  cell.Place(other);

  SUBCASE("a committed task starts once") {
    cell.Commit(task);
    cell.Commit(task);
    cell.Run(seconds(2));
    CHECK(worker.starts[task.id] == 1);
    CHECK(worker.starts[other.id] == 0);
  }
  SUBCASE("after the hold expires the task isn't started by a late commit") {
    cell.Run(milliseconds(1100));
    CHECK(cell.EndOf(task) == TaskEnd::kNotStarted);
    cell.Commit(task);
    cell.Run(seconds(1));
    CHECK(worker.starts[task.id] == 0);
    CHECK(cell.updates[task.id].size() == 2);
  }
  SUBCASE("removing the task frees its resources for others") {
    cell.Remove(task);
    cell.Run(milliseconds(20));
    CHECK(cell.EndOf(task) == TaskEnd::kNotStarted);
    CHECK(worker.IsRunning(other.id));
  }
}

TEST_CASE("a removal is confirmed only when the task can't be running") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(1, 64));
  cell.Run(milliseconds(50));
  const TaskSpec task = OwnerFixture::Task(0, Size(1, 1));
  cell.Place(task);

  SUBCASE("a task whose start was not sent yet is never started") {
    cell.Remove(task);
    cell.Run(seconds(1));
    CHECK(cell.EndOf(task) == TaskEnd::kNotStarted);
    CHECK(worker.starts[task.id] == 0);
  }
  SUBCASE("a start that is still in transit is fenced off") {
    std::optional<BackendSync> late;
    cell.carry = [&](const BackendSync& sync) {
      late = late ? late : std::optional(sync);
      return late != sync;
    };
    cell.Run(milliseconds(10));
    REQUIRE(late.has_value());
    REQUIRE(late->start.size() == 1);
    cell.Remove(task);
    cell.Run(seconds(2));
    CHECK(cell.EndOf(task) == TaskEnd::kNotStarted);
    worker.Sync(*late, cell.now);
    CHECK(worker.starts[task.id] == 0);
  }
  SUBCASE("other tasks whose start is in transit with it are started anyway") {
    const TaskSpec other = OwnerFixture::Task(1, Size(0, 1));
    cell.Place(other);
    worker.reachable = false;
    cell.Run(milliseconds(10));
    worker.reachable = true;
    cell.Remove(task);
    cell.Run(seconds(2));
    CHECK(cell.EndOf(task) == TaskEnd::kNotStarted);
    CHECK(worker.IsRunning(other.id));
    CHECK_FALSE(cell.EndOf(other).has_value());
  }
  SUBCASE("the stop of a running task is repeated until the task ends") {
    cell.Run(milliseconds(20));
    worker.slow_to_stop = true;
    cell.Remove(task);
    cell.Run(seconds(2));
    CHECK_FALSE(cell.EndOf(task).has_value());
    CHECK(cell.counters.value("retries", "task_stop") >= 3);
    worker.slow_to_stop = false;
    cell.Run(seconds(1));
    CHECK(cell.EndOf(task) == TaskEnd::kRemoved);
  }
  SUBCASE("a task that had ended by itself is reported with that end") {
    cell.Run(milliseconds(20));
    worker.Finish(task.id, TaskState::kSucceeded);
    cell.Remove(task);
    cell.Run(seconds(1));
    CHECK(cell.EndOf(task) == TaskEnd::kSucceeded);
  }
}

TEST_CASE("an urgent task preempts batch work and gets the freed resources") {
  OwnerFixture cell;
  FakeBackend& dear = cell.Add("dear", Size(2, 64));
  FakeBackend& cheap = cell.Add("cheap", Size(2, 64));
  cell.Run(milliseconds(50));
  cell.Place(OwnerFixture::Task(0, Size(2, 1)));
  cell.Run(seconds(5));
  const TaskSpec newer = OwnerFixture::Task(1, Size(2, 1));
  cell.Place(newer);
  cell.Run(milliseconds(50));
  FakeBackend& victim = cheap.IsRunning(newer.id) ? cheap : dear;
  victim.slow_to_stop = true;
  TaskSpec urgent = OwnerFixture::Task(2, Size(2, 1), "hurry");
  urgent.urgent = true;
  const TaskSpec competing = OwnerFixture::Task(3, Size(2, 1));
  cell.Place(urgent);
  cell.Place(competing);
  cell.Run(milliseconds(100));
  CHECK(cell.counters.value("preemptions", "stopped") == 1);
  CHECK(victim.IsRunning(newer.id));

  SUBCASE("the task that has run for the shortest time is stopped") {
    victim.slow_to_stop = false;
    cell.Run(milliseconds(400));
    CHECK(cell.EndOf(newer) == TaskEnd::kPreempted);
    CHECK(victim.IsRunning(urgent.id));
    CHECK(victim.starts[competing.id] == 0);
  }
  SUBCASE("the resources stay reserved for its next attempt") {
    cell.Run(milliseconds(500));
    CHECK(cell.Status(urgent) == PlaceStatus::kNoRoom);
    victim.slow_to_stop = false;
    cell.Run(milliseconds(500));
    TaskSpec again = urgent;
    again.id.attempt = 1;
    cell.Place(OwnerFixture::Task(4, Size(2, 1)));
    cell.Place(again);
    cell.Run(milliseconds(50));
    CHECK(victim.IsRunning(again.id));
    CHECK(cell.counters.value("preemptions", "stopped") == 1);
  }
}

TEST_CASE("a task that isn't idempotent is never preempted") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(2, 64));
  cell.Run(milliseconds(50));
  TaskSpec not_idempotent = OwnerFixture::Task(0, Size(2, 1));
  not_idempotent.idempotent = false;
  cell.Place(not_idempotent);
  cell.Run(milliseconds(50));
  TaskSpec urgent = OwnerFixture::Task(1, Size(2, 1));
  urgent.urgent = true;
  cell.Place(urgent);
  cell.Run(seconds(1));
  CHECK(cell.Status(urgent) == PlaceStatus::kNoRoom);
  CHECK(worker.IsRunning(not_idempotent.id));
}

TEST_CASE("a worker on which tasks fail is quarantined, then probed") {
  OwnerFixture cell;
  FakeBackend& worker = cell.Add("w", Size(16, 64));
  cell.Run(milliseconds(50));
  std::uint32_t next = 0;
  const auto fail = [&](int count, bool several_jobs) {
    for (int i = 0; i < count; ++i) {
      const TaskSpec task = OwnerFixture::Task(
          next++, Size(1, 1), several_jobs && i % 2 == 0 ? "a" : "b");
      cell.Place(task);
      cell.Run(milliseconds(20));
      if (worker.IsRunning(task.id)) {
        worker.Finish(task.id, TaskState::kFailed);
      }
      cell.owner->OnReport(worker.Report(cell.now), cell.now);
    }
  };
  const auto place = [&] {
    const TaskSpec task = OwnerFixture::Task(next++, Size(1, 1));
    cell.Place(task);
    cell.Run(milliseconds(600));
    return task;
  };

  SUBCASE("failures of a single job don't quarantine the worker") {
    fail(8, false);
    CHECK(cell.Status(place()) == PlaceStatus::kPlaced);
  }
  SUBCASE("failures of several jobs quarantine the worker") {
    fail(5, true);
    CHECK(cell.Status(place()) == PlaceStatus::kNoRoom);
    cell.Run(seconds(31));
    const TaskSpec probe = place();
    CHECK(cell.Status(probe) == PlaceStatus::kPlaced);
    CHECK(cell.Status(place()) == PlaceStatus::kNoRoom);
    SUBCASE("a probe that succeeds ends the quarantine") {
      worker.Finish(probe.id, TaskState::kSucceeded);
      cell.Run(seconds(2));
      CHECK(cell.Status(place()) == PlaceStatus::kPlaced);
    }
    SUBCASE("a probe that fails begins another quarantine") {
      worker.Finish(probe.id, TaskState::kFailed);
      cell.Run(seconds(2));
      CHECK(cell.Status(place()) == PlaceStatus::kNoRoom);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
