// Checks, in a whole cell in virtual time, that a new manager of a limited team
// lends no slots that an entry unknown to it may still use.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "test/fuzz/cell.h"

namespace dotterelbarrow::fuzz {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Twelve runners in a shard each, so that every entry owns some and may hold a
// quota slice. The entry that manages the team "parts" depends on the number of
// partitions.
CellSize Size(std::uint32_t partitions) {
  CellSize size;
  size.runners = 12;
  size.per_shard = 1;
  size.partitions = partitions;
  return size;
}

class LoadedCell {
 public:
  // Creates a cell in which "parts" may have `limit` requests running, each of
  // which takes `run_ms`.
  LoadedCell(std::uint32_t partitions, std::uint64_t seed, int limit,
             int run_ms)
      : cell_(Size(partitions), seed), run_ms_(run_ms) {
    cell_.Run(seconds(4));
    cell_.SubmitTicket(0, SetupTicket(1));
    cell_.Run(seconds(3));
    cell_.SubmitTicket(0, LimitTicket(2, limit));
    cell_.Run(milliseconds(7500));
  }

  Cell& cell() { return cell_; }

  // Sends a request to each of `entries` once per `period`, for `time`.
  void Run(base::Duration time, base::Duration period,
           const std::vector<int>& entries) {
    const base::TimePoint end = cell_.now() + time;
    while (cell_.now() < end) {
      for (const int entry : entries) {
        core::WorkRequest request;
        request.id = base::RequestId("r" + std::to_string(requests_++));
        request.key = base::ApiKey("key-parts");
        request.service = base::ServiceId("seats");
        request.demand.slots = base::Slots(1);
        request.deadline = seconds(6);
        request.payload = R"({"run_ms":)" + std::to_string(run_ms_) + "}";
        cell_.Ask(entry, request);
      }
      cell_.Run(period);
    }
  }

 private:
  Cell cell_;
  int run_ms_;
  int requests_ = 0;
};

// Guards against a reconciliation round that ends without an entry that isn't
// live but may still hold its membership lease (4 s). The previous manager is
// paused for longer than its successor needs to take over (1.5 s until it isn't
// live, 1.5 s for the round), but keeps its lease and its quota slice, and
// claims its runners back.
TEST_CASE("a manager that was paused uses no slice beside its successor") {
  const std::vector<int> all = {0, 1, 2, 3, 4};
  for (std::uint32_t partitions = 1; partitions <= 2; ++partitions) {
    for (const int paused : all) {
      for (int pause_ms = 3200; pause_ms <= 3600; pause_ms += 200) {
        CAPTURE(partitions);
        CAPTURE(paused);
        CAPTURE(pause_ms);
        LoadedCell loaded(partitions, static_cast<std::uint64_t>(pause_ms), 5,
                          200);
        loaded.Run(seconds(1), milliseconds(50), all);
        loaded.cell().Freeze(paused);
        loaded.Run(milliseconds(pause_ms), milliseconds(50), all);
        loaded.cell().Thaw(paused);
        loaded.Run(seconds(3), milliseconds(50), all);
        CHECK(loaded.cell().FirstViolation().value_or("") == "");
      }
    }
  }
}

constexpr std::uint64_t kSeeds = 12;
constexpr int kManager = 3;
constexpr int kUnheard = 0;

// Guards against a manager without a complete inventory that grants slots for
// requests of an entry that it doesn't hear. The manager (entry 3) restarts and
// takes over a runner on which a request of entry 0 is running; the messages of
// entry 0 to it are lost. That request counts as held by entry 3, but entry 0
// uses its slot for another request once it has ended.
TEST_CASE("a restarted manager lends no slot of an entry that it can't hear") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    LoadedCell loaded(1, seed, 4, 3000);
    loaded.cell().Kill(kManager);
    loaded.Run(seconds(15), milliseconds(500), {kUnheard});
    loaded.cell().Start(kManager);
    loaded.cell().Cut(kUnheard, kManager);
    loaded.Run(seconds(15), milliseconds(500), {kUnheard, kManager});
    CHECK(loaded.cell().FirstViolation().value_or("") == "");
  }
}

}  // namespace
}  // namespace dotterelbarrow::fuzz
