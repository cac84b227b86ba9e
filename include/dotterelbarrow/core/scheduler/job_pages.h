// Packs the records of many jobs into each row of the store; such a row is a
// page.
//
// Each job produces three or four records within seconds, and hundreds of jobs
// arrive each second. A store that is sixty times slower than usual still
// accepts one transaction a second, of at most a hundred rows. With pages, the
// number of rows in a batch does not grow in step with its jobs.
//
// Pages of live jobs hold acceptance and progress records, and are never
// changed. If several pages hold a record of the same job and kind, the one in
// the page with the highest number is current and the others are obsolete. A
// page is removed when all its records are obsolete. A page that has held an
// obsolete record for `kRewriteAfter` is replaced: its current records are
// written to a new page. An obsolete record is thus removed long before the
// final state of its job, which marks the record as obsolete after a take-over.
//
// Pages of ended jobs hold final states. The last such page grows until it is
// full. Each is removed as a whole.
//
// A record that is larger than `kMaxPartBytes` is split into parts, each in a
// page of its own. All parts are written in the same batch.
//
// live page:
//   "a <key> <acceptance record>\n" and "p <key> <progress record>\n", or
//   "A <key> <part> <parts> <text>\n" and "P <key> <part> <parts> <text>\n",
//   where parts are numbered from 0
// ended page:
//   "d <key>\n" (done), "f <key>\n" (failed), "c <key>\n" (cancelled),
//   "u <key>\n" (cancelled while unknown)
#ifndef DOTTERELBARROW_CORE_SCHEDULER_JOB_PAGES_H_
#define DOTTERELBARROW_CORE_SCHEDULER_JOB_PAGES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::core::scheduler {

// The store's tables of job records, worker records, the summary of run times,
// and the plan of a cell's shards.
enum class RecordTable {
  kLivePages,
  kEndedPages,
  kWorkers,
  kRunTimes,
  kShardPlan,
};

struct RecordChange {
  RecordTable table = RecordTable::kLivePages;
  std::string key;
  // Not set if the record is to be removed.
  std::optional<std::string> value;
};

class JobPages {
 public:
  // A row of the store holds 64 KiB, possibly counted after base64 encoding.
  static constexpr std::size_t kPageBytes = std::size_t{40} * 1024;
  // A page of ended jobs is rewritten with each batch until it is full; it
  // holds about fifty states.
  static constexpr std::size_t kEndedPageBytes = 1024;
  // Most jobs end within seconds, so that most pages become obsolete as a whole
  // and need no rewrite.
  static constexpr base::Duration kRewriteAfter = std::chrono::seconds(30);

  enum class RecordKind { kAcceptance, kProgress };
  // The stored records of one job.
  struct StoredJob {
    std::optional<std::string> acceptance;
    std::optional<std::string> progress;
    std::optional<jobs::JobState> final_state;
    // Whether the key was barred before any job was accepted under it.
    bool is_barred = false;
  };
  // Returns the present record of a live job, or nullopt if the job has ended
  // and PutFinalState has not been called for it yet.
  using RecordReader =
      std::function<std::optional<std::string>(jobs::JobKey, RecordKind)>;

  // The maximum size of a record that is stored in one part.
  static constexpr std::size_t kMaxPartBytes = kPageBytes - 64;

  // Adds a record of any size to the next batch. An earlier record of the same
  // job and kind becomes obsolete. The caller limits the size of the batch.
  void PutRecord(jobs::JobKey key, RecordKind kind, const std::string& record,
                 base::TimePoint now);
  // Adds the final state of a job to the next batch. All other records of the
  // job become obsolete.
  void PutFinalState(jobs::JobKey key, jobs::JobState state,
                     base::TimePoint now);
  // Adds to the next batch that no job may be accepted under the key.
  void PutBarred(jobs::JobKey key, base::TimePoint now);
  // Bytes of the records added since the last TakeBatch.
  std::size_t pending_bytes() const { return pending_bytes_; }

  // Marks the pages to remove or to rewrite at `now`; final states are kept for
  // `retention`. Returns whether any page is marked.
  bool Maintain(base::TimePoint now, base::Duration retention);
  // Returns the rows of the next batch, at most `max_rows`. Removals and
  // rewrites that do not fit are left to later batches. Rewrites exceed
  // `max_bytes` by at most a page, unless the batch would be empty otherwise.
  std::vector<RecordChange> TakeBatch(std::size_t max_rows,
                                      std::size_t max_bytes,
                                      const RecordReader& reread,
                                      base::TimePoint now);

  // Restores one stored page. Pages of live jobs must come in the order of
  // their keys. Returns false with a reason if a line is unreadable; the other
  // lines are restored.
  bool Restore(RecordTable table, const std::string& key,
               const std::string& text, base::TimePoint now,
               base::Failure* reason);
  // Returns the records of all restored pages and releases them.
  std::map<jobs::JobKey, StoredJob> TakeRestored(base::TimePoint now);

 private:
  using PageNumber = std::uint64_t;
  struct Entry {
    jobs::JobKey key;
    RecordKind kind = RecordKind::kAcceptance;
  };
  struct LivePage {
    std::vector<Entry> entries;
    // Invariant: the number of current records in `entries`.
    std::size_t current_records = 0;
    std::optional<base::TimePoint> first_obsolete_at;
  };
  struct EndedPage {
    std::string text;
    base::TimePoint last_end;
  };
  // The pages that hold the current records of a job, one for each part of a
  // record; empty for none.
  struct CurrentPages {
    std::vector<PageNumber> acceptance;
    std::vector<PageNumber> progress;

    std::vector<PageNumber>& of(RecordKind kind) {
      return kind == RecordKind::kAcceptance ? acceptance : progress;
    }
  };
  // One line of a live page.
  struct RecordLine;

  static std::string RowKey(PageNumber number);
  PageNumber NextNumber() { return ++last_number_; }
  // Counts one more record of the page as obsolete.
  void MarkObsolete(PageNumber page, base::TimePoint now);
  void MarkAllObsolete(jobs::JobKey key, base::TimePoint now);
  void MarkObsolete(const std::vector<PageNumber>& pages, base::TimePoint now);
  // Adds a line to the page of ended jobs that takes more of them.
  void AppendEnded(char mark, jobs::JobKey key, base::TimePoint now);
  // Adds a line to the last unwritten page, or to a new one, and returns the
  // page's number.
  PageNumber AppendLine(const Entry& entry, const std::string& line);
  // Writes the current records of the page again, all parts of each. Does
  // nothing if `reread` returns nullopt for one of them, or if they don't fit.
  void Rewrite(PageNumber number, const RecordReader& reread,
               std::size_t max_bytes, base::TimePoint now);
  bool RestoreLive(PageNumber number, const std::string& text,
                   base::TimePoint now);
  void RestoreLine(PageNumber number, const RecordLine& line,
                   base::TimePoint now);
  bool RestoreEnded(PageNumber number, const std::string& text,
                    base::TimePoint now);

  PageNumber last_number_ = 0;
  std::map<PageNumber, LivePage> live_pages_;
  std::map<PageNumber, EndedPage> ended_pages_;
  std::unordered_map<jobs::JobKey, CurrentPages> current_pages_;
  // Texts of the pages that were in no batch yet; only the last one takes more
  // records.
  std::map<PageNumber, std::string> unwritten_;
  std::size_t pending_bytes_ = 0;
  // The page of ended jobs that takes more states; 0 for none.
  PageNumber last_ended_page_ = 0;
  std::vector<PageNumber> ended_pages_to_write_;
  // Pages without current records, and pages whose states are past the
  // retention time.
  std::vector<PageNumber> live_pages_to_remove_;
  std::vector<PageNumber> ended_pages_to_remove_;
  std::vector<PageNumber> live_pages_to_rewrite_;
  base::TimePoint next_rewrite_scan_;
  std::map<jobs::JobKey, StoredJob> restored_;
  // How many parts the record should have whose first parts were restored, if
  // it has several.
  std::map<std::pair<jobs::JobKey, RecordKind>, std::size_t> restored_parts_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_JOB_PAGES_H_
