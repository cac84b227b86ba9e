// Where the records of jobs lie in the store: many records in one row, a page.
//
// Load pattern: each job makes three or four records within seconds, hundreds
// of jobs come each second, and a store that is sixty times as slow as usual
// still takes one transaction of at most a hundred rows a second. In pages, the
// rows of a batch don't grow with its jobs.
//
// Pages of live jobs hold acceptances and progress, and are never changed. The
// record of a key in the highest page counts. A page goes when none of its
// records counts any more; one with records that don't is rewritten after
// `kRewriteAfter`, so that a record which doesn't count is gone long before
// the end of its job, which says so, is forgotten.
//
// Pages of ended jobs hold final states; the last one grows until it is full.
// Such a page goes as a whole.
//
//   live page:  "a <key> <acceptance record>\n" and "p <key> <progress
//   record>\n" ended page: "d <key>\n" (done), "f <key>\n" (failed), "c
//   <key>\n" (cancelled)
#ifndef DOTTERELBARROW_CORE_SCHEDULER_JOB_PAGES_H_
#define DOTTERELBARROW_CORE_SCHEDULER_JOB_PAGES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::core::scheduler {

// The tables of the product's own records.
enum class RecordTable { kLivePages, kEndedPages, kWorkers };

struct RecordChange {
  RecordTable table = RecordTable::kLivePages;
  std::string key;
  // Not set for a record that goes.
  std::optional<std::string> value;
};

class JobPages {
 public:
  // A row of the store takes 64 KiB, possibly counted as base64.
  static constexpr std::size_t kPageBytes = std::size_t{40} * 1024;
  // Rewritten with each batch until it is full; holds about fifty states.
  static constexpr std::size_t kEndedPageBytes = 1024;
  // Most jobs end within seconds, so that most pages go by themselves.
  static constexpr base::Duration kRewriteAfter = std::chrono::seconds(30);

  enum class Kind { kAcceptance, kProgress };
  // What the store holds of one job.
  struct StoredJob {
    std::optional<std::string> acceptance;
    std::optional<std::string> progress;
    std::optional<jobs::JobState> end;
  };
  // Returns the present record of a live job, or nullopt if the job has ended
  // and its end is still to be put.
  using Reread = std::function<std::optional<std::string>(jobs::JobKey, Kind)>;

  // The longest record that a page holds.
  static constexpr std::size_t kMostRecordBytes = kPageBytes - 64;

  // Each puts a record into the next batch, in place of an earlier one.
  void PutRecord(jobs::JobKey key, Kind kind, const std::string& record,
                 base::TimePoint now);
  // The job's other records don't count any more.
  void PutEnd(jobs::JobKey key, jobs::JobState state, base::TimePoint now);
  // Bytes that were put since the last batch was taken.
  std::size_t bytes_put() const { return bytes_put_; }

  // Marks what may go or has to be rewritten by now; ends are kept for
  // `retention`. Returns whether there is anything for a batch.
  bool Maintain(base::TimePoint now, base::Duration retention);
  // Returns the rows of the next batch, at most `most`.
  std::vector<RecordChange> Take(std::size_t most, const Reread& reread,
                                 base::TimePoint now);

  // Takes one stored page, those of live jobs in the order of their keys.
  // Returns false with a reason if any of it can't be read; the rest is taken.
  bool Restore(RecordTable table, const std::string& key,
               const std::string& text, base::TimePoint now,
               base::Failure* reason);
  // Returns what all restored pages say, and forgets the texts.
  std::map<jobs::JobKey, StoredJob> TakeRestored(base::TimePoint now);

 private:
  using PageNumber = std::uint64_t;
  struct Entry {
    jobs::JobKey key;
    Kind kind = Kind::kAcceptance;
  };
  struct LivePage {
    std::vector<Entry> entries;
    // Invariant: how many of `entries` count.
    std::size_t live = 0;
    std::optional<base::TimePoint> dead_since;
  };
  struct EndedPage {
    std::string text;
    base::TimePoint last_end;
  };
  // The pages of the records that count; 0 for none.
  struct Places {
    PageNumber acceptance = 0;
    PageNumber progress = 0;

    PageNumber& of(Kind kind) {
      return kind == Kind::kAcceptance ? acceptance : progress;
    }
  };

  static std::string KeyOf(PageNumber number);
  PageNumber NextNumber() { return ++last_number_; }
  // The record in this place doesn't count any more.
  void Kill(PageNumber page, base::TimePoint now);
  void KillAll(jobs::JobKey key, base::TimePoint now);
  void Append(jobs::JobKey key, Kind kind, const std::string& record,
              base::TimePoint now);
  // Puts what counts of the page anew, unless some of it can't be yet.
  void Rewrite(PageNumber number, const Reread& reread, base::TimePoint now);
  bool RestoreLive(PageNumber number, const std::string& text,
                   base::TimePoint now);
  bool RestoreEnded(PageNumber number, const std::string& text,
                    base::TimePoint now);

  PageNumber last_number_ = 0;
  std::map<PageNumber, LivePage> live_;
  std::map<PageNumber, EndedPage> ended_;
  std::unordered_map<jobs::JobKey, Places> places_;
  // Texts of pages that no batch holds yet, the last one not full.
  std::map<PageNumber, std::string> unwritten_;
  std::size_t bytes_put_ = 0;
  // The last page of ended jobs; 0 without one. Whether it has to be written.
  PageNumber open_ended_ = 0;
  std::vector<PageNumber> ended_to_write_;
  // Pages that are empty, or whose states are forgotten.
  std::vector<PageNumber> live_to_remove_;
  std::vector<PageNumber> ended_to_remove_;
  std::vector<PageNumber> to_rewrite_;
  base::TimePoint next_rewrites_;
  std::map<jobs::JobKey, StoredJob> restored_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_JOB_PAGES_H_
