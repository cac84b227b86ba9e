// Random tests of a shard owner with lost, duplicated and delayed messages, and
// with restarting and unreachable workers. Invariants: no worker is
// over-committed, no task runs twice, a task reported as ended has ended, and
// every task that was not refused ends.
#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "test/core/owner_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 4;
constexpr std::uint32_t kTasks = 150;

class FaultyCell {
 public:
  explicit FaultyCell(std::uint64_t seed) : random_(seed) {
    // Quarantine is not under test here, and would reduce the free capacity
    // that the final check compares.
    cell_.settings.quarantine_failures = 1000;
    for (int i = 0; i < kWorkers; ++i) {
      cell_.Add("w" + std::to_string(i), Size(8, 32));
    }
    cell_.carry = [this](const BackendSync& sync) { return Carry(sync); };
    cell_.check = [this] { Check(); };
  }

  void RunTasks() {
    cell_.Run(seconds(1));
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      const TaskSpec task = OwnerFixture::Task(
          i, Size(1 + Pick(4), 1 + Pick(12)), "job" + std::to_string(Pick(5)));
      tasks_.push_back(task);
      Pick(8) == 0 ? cell_.Hold(task) : cell_.Place(task, Pick(10));
      cell_.Run(milliseconds(10 * Pick(12)));
      InjectFault();
    }
  }

  // Delivers all messages from here on and waits for all tasks to end.
  void Drain() {
    faults_off_ = true;
    for (auto& [name, worker] : cell_.backends) {
      worker->reachable = true;
    }
    for (const TaskSpec& task : tasks_) {
      cell_.Remove(task);
    }
    cell_.Run(seconds(12));
    for (const TaskSpec& task : tasks_) {
      const bool refused = cell_.Status(task) == PlaceStatus::kNoRoom;
      CHECK((refused || cell_.EndOf(task).has_value()));
    }
    CHECK(cell_.owner->is_idle());
    for (const auto& [name, worker] : cell_.backends) {
      CHECK(worker->tasks.empty());
    }
    CHECK(cell_.owner->room().free_total == Size(8 * kWorkers, 32 * kWorkers));
  }

 private:
  int Pick(int below) { return static_cast<int>(random_() % below); }

  void InjectFault() {
    FakeBackend& worker = cell_.at("w" + std::to_string(Pick(kWorkers)));
    const TaskSpec& task = tasks_[Pick(static_cast<int>(tasks_.size()))];
    switch (Pick(8)) {
      case 0:
        worker.reachable = !worker.reachable;
        break;
      case 1:
        Pick(4) == 0 ? worker.Restart(cell_.now) : void();
        break;
      case 2:
        cell_.Remove(task);
        break;
      case 3:
        cell_.Commit(task);
        break;
      case 4:
        cell_.Place(task);
        break;
      default:
        FinishOne(worker);
    }
  }

  void FinishOne(FakeBackend& worker) {
    for (auto& [id, task] : worker.tasks) {
      if (task.state == TaskState::kRunning) {
        worker.Finish(
            id, Pick(3) == 0 ? TaskState::kFailed : TaskState::kSucceeded);
        return;
      }
    }
  }

  // Loses, duplicates or delays a sync or its report.
  bool Carry(const BackendSync& sync) {
    FakeBackend& worker = cell_.at(sync.backend.value());
    if (faults_off_ || !worker.reachable) {
      return true;
    }
    switch (Pick(6)) {
      case 0:
        cell_.owner->OnUnreachable({sync.backend}, cell_.now);
        return false;
      case 1:
        worker.Sync(sync, cell_.now);
        cell_.owner->OnUnreachable({sync.backend}, cell_.now);
        return false;
      case 2:
        worker.Sync(sync, cell_.now);
        return true;
      case 3:
        delayed_.push_back(sync);
        cell_.owner->OnUnreachable({sync.backend}, cell_.now);
        return false;
      default:
        return true;
    }
  }

  void Check() {
    if (!delayed_.empty() && Pick(20) == 0) {
      const std::size_t i = Pick(static_cast<int>(delayed_.size()));
      const BackendSync& sync = delayed_[i];
      FakeBackend& worker = cell_.at(sync.backend.value());
      const BackendReport report = worker.Sync(sync, cell_.now);
      cell_.owner->OnReport(report, cell_.now);
      cell_.Deliver();
      delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    std::map<base::TaskId, int> starts;
    for (const auto& [name, worker] : cell_.backends) {
      REQUIRE(worker->used().FitsIn(worker->capacity));
      for (const auto& [id, count] : worker->starts) {
        starts[id] += count;
        REQUIRE(starts[id] <= 1);
        const bool ended = cell_.updates.contains(id);
        REQUIRE_FALSE(
            (ended && worker->IsRunning(id) && cell_.now < worker->lease_end));
      }
    }
  }

  OwnerFixture cell_;
  std::mt19937_64 random_;
  std::vector<TaskSpec> tasks_;
  std::vector<BackendSync> delayed_;
  bool faults_off_ = false;
};

TEST_CASE("invariants hold under message and worker faults") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    FaultyCell cell(seed);
    cell.RunTasks();
    cell.Drain();
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
