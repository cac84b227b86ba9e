// Tests that the pages in the store always hold the records that were put.
#include "dotterelbarrow/core/scheduler/job_pages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dotterelbarrow::core::scheduler {
namespace {

using jobs::JobKey;
using jobs::JobState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxRows = 98;
constexpr std::size_t kMaxBytes = std::size_t{500} * 1024;
constexpr base::Duration kRetention = seconds(180);
// The store's limits, for values encoded as base64.
constexpr std::size_t kStoreMaxRowBytes = 65'536;
constexpr std::size_t kStoreMaxBodyBytes = 1'000'000;

// The expected records, one of each kind for each job.
struct ExpectedRecords {
  struct Job {
    std::string acceptance;
    std::string progress;
  };
  std::map<JobKey, Job> live;
  std::map<JobKey, JobState> ended;
};

// The store's rows, and an owner that writes them in batches.
struct Owner {
  std::map<RecordTable, std::map<std::string, std::string>> rows;
  JobPages pages;
  ExpectedRecords expected;
  base::TimePoint now{seconds(100)};
  std::size_t rows_written = 0;
  // Bytes of the last batch's values, encoded as base64.
  std::size_t last_batch_bytes = 0;

  void Accept(JobKey key, const std::string& record) {
    expected.live[key].acceptance = record;
    pages.PutRecord(key, JobPages::RecordKind::kAcceptance, record, now);
  }
  void Progress(JobKey key, const std::string& record) {
    expected.live[key].progress = record;
    pages.PutRecord(key, JobPages::RecordKind::kProgress, record, now);
  }
  void End(JobKey key, JobState state) {
    expected.live.erase(key);
    expected.ended[key] = state;
    pages.PutFinalState(key, state, now);
  }
  std::size_t Write() {
    pages.Maintain(now, kRetention);
    const auto changes = pages.TakeBatch(
        kMaxRows, kMaxBytes,
        [this](JobKey key,
               JobPages::RecordKind kind) -> std::optional<std::string> {
          const auto it = expected.live.find(key);
          if (it == expected.live.end()) {
            return std::nullopt;
          }
          return kind == JobPages::RecordKind::kAcceptance
                     ? it->second.acceptance
                     : it->second.progress;
        },
        now);
    last_batch_bytes = 0;
    for (const RecordChange& change : changes) {
      if (change.value) {
        const std::size_t row_bytes = (change.value->size() + 2) / 3 * 4;
        CHECK(row_bytes <= kStoreMaxRowBytes);
        last_batch_bytes += row_bytes;
        rows[change.table][change.key] = *change.value;
      } else {
        rows[change.table].erase(change.key);
      }
    }
    rows_written += changes.size();
    return changes.size();
  }
  // Restores the pages from the rows, as the next owner does.
  std::map<JobKey, JobPages::StoredJob> TakeOver() {
    pages = JobPages();
    base::Failure reason;
    for (const RecordTable table :
         {RecordTable::kLivePages, RecordTable::kEndedPages}) {
      for (const auto& [key, text] : rows[table]) {
        CHECK_MESSAGE(pages.Restore(table, key, text, now, &reason),
                      reason.detail);
      }
    }
    return pages.TakeRestored(now);
  }
  // Returns whether the restored records are the expected ones.
  bool Matches(const std::map<JobKey, JobPages::StoredJob>& restored) const {
    std::size_t live = 0;
    for (const auto& [key, job] : restored) {
      if (job.final_state) {
        const auto it = expected.ended.find(key);
        if (it == expected.ended.end() || it->second != *job.final_state) {
          return false;
        }
        continue;
      }
      const auto it = expected.live.find(key);
      if (it == expected.live.end() ||
          job.acceptance.value_or("") != it->second.acceptance ||
          job.progress.value_or("") != it->second.progress) {
        return false;
      }
      ++live;
    }
    return live == expected.live.size();
  }
};

TEST_CASE("a burst of jobs is accepted while the store is slow") {
  Owner owner;
  constexpr int kJobs = 600;
  const std::string record(500, 'x');
  for (int i = 1; i <= kJobs; ++i) {
    owner.Accept(JobKey(static_cast<std::uint64_t>(i)), record);
  }
  SUBCASE("takes a few rows") {
    CHECK(owner.Write() == 8);
    CHECK(owner.Matches(owner.TakeOver()));
  }
  SUBCASE("leaves no rows once the jobs have ended and their states expired") {
    owner.Write();
    for (int i = 1; i <= kJobs; ++i) {
      owner.End(JobKey(static_cast<std::uint64_t>(i)), JobState::kCompleted);
    }
    owner.Write();
    CHECK(owner.rows[RecordTable::kLivePages].empty());
    CHECK(owner.Matches(owner.TakeOver()));
    owner.now += kRetention;
    owner.Write();
    CHECK(owner.rows[RecordTable::kEndedPages].empty());
  }
}

TEST_CASE("a job outlives the other jobs of its page") {
  Owner owner;
  for (int i = 1; i <= 10; ++i) {
    owner.Accept(JobKey(static_cast<std::uint64_t>(i)), "record");
  }
  owner.Write();
  for (int i = 2; i <= 10; ++i) {
    owner.End(JobKey(static_cast<std::uint64_t>(i)), JobState::kFailed);
  }
  owner.Write();
  const std::string first_page =
      owner.rows[RecordTable::kLivePages].begin()->first;
  SUBCASE("its page stays at first") {
    owner.now += seconds(20);
    owner.Write();
    CHECK(owner.rows[RecordTable::kLivePages].count(first_page) == 1);
  }
  SUBCASE("its record moves, so that obsolete records go before final states") {
    owner.now += seconds(40);
    owner.Write();
    CHECK(owner.rows[RecordTable::kLivePages].count(first_page) == 0);
    CHECK(owner.rows[RecordTable::kLivePages].size() == 1);
    CHECK(owner.Matches(owner.TakeOver()));
    owner.now += kRetention;
    owner.Write();
    CHECK(owner.rows[RecordTable::kEndedPages].empty());
    owner.expected.ended.clear();
    CHECK(owner.Matches(owner.TakeOver()));
  }
}

// Load pattern: bursts of large jobs, a few of which end. Half a minute later
// all pages of the bursts are due for a rewrite, while the next burst arrives.
TEST_CASE("JobPages: many large pages are due for a rewrite") {
  Owner owner;
  const std::string record(4000, 'x');
  std::uint64_t last_job = 0;
  const auto accept_burst = [&] {
    while (owner.pages.pending_bytes() < kMaxBytes) {
      owner.Accept(JobKey(++last_job), record);
    }
  };
  for (int burst = 0; burst < 4; ++burst) {
    accept_burst();
    owner.Write();
  }
  for (std::uint64_t job = 1; job <= last_job; job += 10) {
    owner.End(JobKey(job), JobState::kCompleted);
  }
  owner.Write();
  owner.now += JobPages::kRewriteAfter;

  SUBCASE("a batch stays within the store's limit") {
    accept_burst();
    owner.Write();
    CHECK(owner.last_batch_bytes < kStoreMaxBodyBytes);
  }
  SUBCASE("all are rewritten within seconds") {
    constexpr int kScans = 10;
    for (int scan = 0; scan < kScans; ++scan) {
      owner.Write();
      CHECK(owner.last_batch_bytes < kStoreMaxBodyBytes);
      owner.now += seconds(1);
    }
    const std::size_t rows_written = owner.rows_written;
    owner.Write();
    CHECK(owner.rows_written == rows_written);
    CHECK(owner.Matches(owner.TakeOver()));
  }
}

// Guards against a progress record that exceeds a row of the store, so that no
// owner could write any more.
TEST_CASE("a record that is larger than a row of the store") {
  Owner owner;
  const JobKey wide(1);
  const JobKey other(2);
  owner.Accept(wide, "wide");
  owner.Accept(other, "other");
  owner.Progress(wide, std::string(90'000, 'p') + "end");
  owner.Write();
  CHECK(owner.Matches(owner.TakeOver()));

  SUBCASE("is replaced as a whole by a smaller one") {
    owner.Progress(wide, "small");
    owner.Write();
    CHECK(owner.Matches(owner.TakeOver()));
    owner.Write();
    CHECK(owner.rows[RecordTable::kLivePages].size() == 2);
  }
  SUBCASE("is replaced by one of as many parts") {
    owner.Progress(wide, std::string(91'000, 'q'));
    owner.Write();
    CHECK(owner.Matches(owner.TakeOver()));
  }
  SUBCASE("leaves no rows when its job ends") {
    owner.End(wide, JobState::kCompleted);
    owner.End(other, JobState::kCompleted);
    owner.Write();
    CHECK(owner.rows[RecordTable::kLivePages].empty());
  }
  SUBCASE("is moved together with the other records of its pages") {
    owner.End(other, JobState::kCompleted);
    owner.Write();
    owner.now += JobPages::kRewriteAfter;
    owner.Write();
    owner.now += seconds(2);
    owner.Write();
    CHECK(owner.Matches(owner.TakeOver()));
  }
  SUBCASE("loses nothing when a page of an earlier one was not removed yet") {
    auto before = owner.rows[RecordTable::kLivePages];
    owner.Progress(wide, std::string(50'000, 'r'));
    owner.Write();
    // Only the first page of the earlier record was removed.
    before.erase(before.begin());
    owner.rows[RecordTable::kLivePages].merge(before);
    owner.expected.live[other].acceptance = "other again";
    owner.pages.PutRecord(other, JobPages::RecordKind::kAcceptance,
                          "other again", owner.now);
    owner.expected.live[wide].acceptance = "wide again";
    owner.pages.PutRecord(wide, JobPages::RecordKind::kAcceptance, "wide again",
                          owner.now);
    owner.Write();
    CHECK(owner.Matches(owner.TakeOver()));
    owner.Write();
    CHECK(owner.Matches(owner.TakeOver()));
  }
}

TEST_CASE("unreadable pages") {
  JobPages pages;
  base::Failure reason;
  const base::TimePoint now{seconds(1)};
  const std::string good = "a 0000000000000001 {}\n";
  for (const auto& [key, text] :
       std::vector<std::pair<std::string, std::string>>{
           {"", good},
           {"zz", good},
           {"0", good},
           {"0000000000000001", "x 0000000000000001 {}\n"},
           {"0000000000000002", "a 1 {}\n"},
           {"0000000000000003", "\n"},
           {"0000000000000006", "P 0000000000000001 2 2 {}\n"},
           {"0000000000000007", "P 0000000000000001 0 {}\n"},
           {"0000000000000004", "a"}}) {
    CAPTURE(key);
    CAPTURE(text);
    CHECK_FALSE(
        pages.Restore(RecordTable::kLivePages, key, text, now, &reason));
  }
  SUBCASE("lose none of their readable lines") {
    CHECK_FALSE(pages.Restore(RecordTable::kLivePages, "0000000000000005",
                              "?\n" + good, now, &reason));
    CHECK(pages.TakeRestored(now).count(JobKey(1)) == 1);
  }
}

// Performs the operation that `choice` selects, if the state of the job permits
// it.
void PerformOperation(Owner* owner, int choice, std::uint64_t job, int size) {
  const JobKey key(job);
  // Some records exceed a row.
  const std::string record(static_cast<std::size_t>(size * size * size) * 2,
                           static_cast<char>('a' + size % 26));
  const bool is_live = owner->expected.live.contains(key);
  const bool has_ended = owner->expected.ended.contains(key);
  switch (choice) {
    case 0:
    case 1:
      if (!is_live && !has_ended) {
        owner->Accept(key, record);
      } else if (is_live) {
        owner->Progress(key, record);
      }
      break;
    case 2:
      if (is_live) {
        owner->End(key, JobState::kCancelled);
      }
      break;
    case 3:
      owner->now += seconds(size);
      owner->Write();
      break;
    default:
      owner->Write();
      break;
  }
}

TEST_CASE("random jobs, batches and take-overs") {
  const bool property_holds = rc::check(
      "each owner reads the records that the owners before it put", [] {
        Owner owner;
        const auto operations = *rc::gen::container<
            std::vector<std::tuple<int, std::uint64_t, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, 6), rc::gen::inRange<std::uint64_t>(1, 30),
            rc::gen::inRange(0, 40)));
        for (const auto& [choice, job, size] : operations) {
          if (choice == 5) {
            owner.Write();
            RC_ASSERT(owner.Matches(owner.TakeOver()));
          } else {
            PerformOperation(&owner, choice, job, size);
          }
        }
        owner.Write();
        RC_ASSERT(owner.Matches(owner.TakeOver()));
      });
  CHECK(property_holds);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
