// Tests the journal of a partition: which manager may write it, the outcome of
// writes whose answers are lost, and how snapshots bound its length.
#include "dotterelbarrow/core/journal.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "test/core/fake_table.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;

constexpr base::PartitionId kPartition(3);
const char kRowPrefix[] = "partition/3/journal/";

// The table and the object store, shared by all writers of a test.
struct Platform {
  FakeTable table;
  std::map<std::string, std::string> objects;

  int JournalRows() const {
    int count = 0;
    for (const auto& [key, row] : table.rows()) {
      count += key.starts_with(kRowPrefix) ? 1 : 0;
    }
    return count;
  }
};

// The journal of one manager. Calls to the platform are answered one step
// later, so that records are appended while a flush is pending.
class Writer {
 public:
  Writer(Platform* platform, const char* name)
      : platform_(platform),
        settings_(MakeSettings(name)),
        outbox_(settings_.incarnation),
        journal_(&settings_, &outbox_, &counters_, kPartition) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
    }
  }
  void Step() {
    now_ += milliseconds(10);
    const std::vector<Output> outputs = outbox_.Take();
    for (const Output& output : outputs) {
      std::visit([this](const auto& each) { Execute(each); }, output);
    }
    journal_.Tick(now_);
  }
  // Appends `count` records, one per step.
  void AppendEachStep(int count) {
    for (int i = 0; i < count; ++i) {
      AppendNumber();
      Step();
      if (journal_.WantsSnapshot()) {
        journal_.BeginSnapshot(std::to_string(appended_durable()));
      }
    }
  }
  JournalPosition AppendNumber() {
    return journal_.Append(std::to_string(++last_));
  }
  std::uint64_t appended_durable() const { return journal_.durable().value(); }

  Journal& journal() { return journal_; }
  const Counters& counters() const { return counters_; }
  base::TimePoint now() const { return now_; }

 private:
  static NodeSettings MakeSettings(const char* name) {
    NodeSettings settings;
    settings.self = base::EntryId(name);
    settings.incarnation = base::Incarnation(1);
    settings.journal_records_per_snapshot = 50;
    return settings;
  }

  void Execute(const TableTransaction& transaction) {
    journal_.OnTableResult(platform_->table.Handle(transaction), now_);
  }
  void Execute(const TableRead& read) {
    journal_.OnTableRows(platform_->table.Handle(read), now_);
  }
  void Execute(const ObjectWrite& write) {
    if (write.value.empty()) {
      platform_->objects.erase(write.key);
    } else {
      platform_->objects[write.key] = write.value;
    }
    journal_.OnObjectResult({write.call, TableStatus::kCommitted, ""}, now_);
  }
  void Execute(const ObjectRead& read) {
    const auto it = platform_->objects.find(read.key);
    const bool found = it != platform_->objects.end();
    journal_.OnObjectResult(
        {read.call, found ? TableStatus::kCommitted : TableStatus::kConflict,
         found ? it->second : ""},
        now_);
  }
  template <typename Other>
  void Execute(const Other&) {
    FAIL("a journal sends messages only to the platform");
  }

  Platform* platform_;
  NodeSettings settings_;
  Outbox outbox_;
  Counters counters_;
  Journal journal_;
  base::TimePoint now_;
  int last_ = 0;
};

using State = Journal::State;

std::uint64_t SnapshotsOf(const Writer& writer) {
  return writer.counters().value("journal", "snapshots");
}

TEST_CASE("a manager claims a journal and writes to it") {
  Platform platform;
  Writer first(&platform, "e0");
  first.Run(10);
  REQUIRE(first.journal().state() == State::kReady);
  CHECK(first.journal().replayed().empty());

  const JournalPosition last = [&] {
    first.AppendNumber();
    first.AppendNumber();
    return first.AppendNumber();
  }();
  first.Run(10);
  CHECK(first.journal().durable() == last);
  CHECK(first.journal().IsIdle());

  SUBCASE("in one row for records appended together") {
    CHECK(platform.JournalRows() <= 2);
  }
  SUBCASE("and the next manager replays them in order, with a later epoch") {
    Writer second(&platform, "e1");
    second.Run(10);
    REQUIRE(second.journal().state() == State::kReady);
    CHECK(second.journal().replayed() ==
          std::vector<std::string>{"1", "2", "3"});
    CHECK(first.journal().epoch() < second.journal().epoch());

    SUBCASE("after which the previous manager can't write any more") {
      first.AppendNumber();
      first.Run(10);
      CHECK(first.journal().state() == State::kLost);
      CHECK(first.journal().durable() == last);
      Writer third(&platform, "e2");
      third.Run(10);
      CHECK(third.journal().replayed().size() == 3);
    }
    SUBCASE("and the previous manager learns it with nothing to write") {
      first.Run(250);
      CHECK(first.journal().state() == State::kLost);
      CHECK(first.counters().value("journal", "lost_to_another_manager") == 1);
    }
  }
}

TEST_CASE("the table's answer to a flush is lost") {
  Platform platform;
  Writer writer(&platform, "e0");
  writer.Run(10);
  SUBCASE("after the write: the row is read back, and written once") {
    platform.table.LoseAnswers(1);
    const JournalPosition position = writer.AppendNumber();
    writer.Run(10);
    CHECK(writer.journal().is_store_unavailable());
    CHECK_FALSE(writer.journal().Withdraw(position));
    writer.Run(100);
    CHECK(writer.journal().durable() == position);
    CHECK(platform.JournalRows() == 1);
    CHECK_FALSE(writer.journal().is_store_unavailable());
  }
  SUBCASE("and the write, delayed beyond another manager's claim, fails") {
    platform.table.HoldTransactions(1);
    writer.AppendNumber();
    writer.Run(10);
    Writer other(&platform, "e1");
    other.Run(10);
    REQUIRE(other.journal().state() == State::kReady);
    CHECK(platform.table.ReleaseHeld() == 0);
    CHECK(platform.JournalRows() == 0);
  }
  SUBCASE("and the write, delayed beyond its retry, takes effect once") {
    platform.table.HoldTransactions(1);
    const JournalPosition position = writer.AppendNumber();
    writer.Run(100);
    CHECK(writer.journal().durable() == position);
    CHECK(platform.table.ReleaseHeld() == 0);
    CHECK(platform.JournalRows() == 1);
  }
}

TEST_CASE("the table is unavailable") {
  Platform platform;
  Writer writer(&platform, "e0");
  writer.Run(10);
  platform.table.set_down(true);
  const JournalPosition first = writer.AppendNumber();
  writer.Run(20);
  const JournalPosition second = writer.AppendNumber();
  CHECK(writer.journal().is_store_unavailable());
  CHECK(writer.journal().durable() < first);

  SUBCASE("records that are certain not to be written can be removed") {
    CHECK(writer.journal().Withdraw(first));
    CHECK(writer.journal().Withdraw(second));
    platform.table.set_down(false);
    writer.Run(300);
    CHECK(platform.JournalRows() == 0);
    CHECK_FALSE(writer.journal().is_store_unavailable());
  }
  SUBCASE("records that were not removed are written in order later") {
    platform.table.set_down(false);
    writer.Run(300);
    CHECK(writer.journal().durable() == second);
    Writer next(&platform, "e1");
    next.Run(10);
    CHECK(next.journal().replayed() == std::vector<std::string>{"1", "2"});
  }
}

TEST_CASE("snapshots bound the length of the journal") {
  Platform platform;
  Writer writer(&platform, "e0");
  writer.Run(10);
  SUBCASE("even while records are always pending") {
    writer.AppendEachStep(1000);
    CHECK(SnapshotsOf(writer) > 0);
    // A row holds at least the records of one step, a snapshot replaces the
    // rows of 50 records, and one more snapshot may be in progress.
    CHECK(platform.JournalRows() <= 100);
    CHECK(platform.JournalRows() > 0);
    SUBCASE("and only the latest snapshot is kept") {
      writer.Run(50);
      CHECK(platform.objects.size() == 1);
    }
  }
  SUBCASE("and a manager deletes the rows that its predecessor left") {
    writer.AppendEachStep(52);
    // The manager writes the pointer, and dies before it deletes the rows.
    for (int i = 0; i < 100 && SnapshotsOf(writer) == 0; ++i) {
      writer.Step();
    }
    REQUIRE(SnapshotsOf(writer) == 1);
    REQUIRE(platform.JournalRows() > 10);
    Writer next(&platform, "e1");
    next.Run(20);
    next.AppendEachStep(60);
    next.Run(50);
    CHECK(platform.JournalRows() < 10);
    CHECK(platform.objects.size() == 1);
  }
  SUBCASE("and a snapshot that is replaced during the replay is found again") {
    writer.AppendEachStep(60);
    writer.Run(50);
    REQUIRE(platform.objects.size() == 1);
    Writer next(&platform, "e1");
    // Steps: read the epoch, write it, read it back, and read the pointer.
    next.Run(5);
    const auto removed = *platform.objects.begin();
    platform.objects.clear();
    next.Run(10);
    CHECK(next.journal().state() != State::kReady);
    platform.objects.insert(removed);
    next.Run(100);
    CHECK(next.journal().state() == State::kReady);
    CHECK(next.journal().snapshot() == removed.second);
  }
  SUBCASE("and the next manager starts from the latest snapshot") {
    writer.AppendEachStep(200);
    writer.Run(50);
    Writer next(&platform, "e1");
    next.Run(20);
    REQUIRE(next.journal().state() == State::kReady);
    const std::string snapshot = next.journal().snapshot();
    REQUIRE_FALSE(snapshot.empty());
    // The snapshot includes all records up to its number.
    const auto included = static_cast<std::size_t>(std::stoul(snapshot));
    const std::vector<std::string>& rest = next.journal().replayed();
    REQUIRE(included + rest.size() == 200);
    for (std::size_t i = 0; i < rest.size(); ++i) {
      CHECK(rest[i] == std::to_string(included + i + 1));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
