// Writes and reads the text of pages, and tracks which of their records are
// current.
#include "dotterelbarrow/core/scheduler/job_pages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace dotterelbarrow::core::scheduler {
namespace {

using jobs::JobKey;
using jobs::JobState;

// How often the live pages are scanned for ones to rewrite.
constexpr base::Duration kRewritePeriod = std::chrono::seconds(1);

constexpr char kAcceptanceMark = 'a';
constexpr char kProgressMark = 'p';
// The same for the parts of a record that is split.
constexpr char kAcceptancePartMark = 'A';
constexpr char kProgressPartMark = 'P';
constexpr std::size_t kRowKeyDigits = 16;
constexpr int kHexBase = 16;
// Length of a mark, a space and the key of a job.
constexpr std::size_t kLinePrefixBytes = 2 + 16;

struct NamedState {
  char mark;
  JobState state;
};
constexpr std::array kStates = {NamedState{'d', JobState::kCompleted},
                                NamedState{'f', JobState::kFailed},
                                NamedState{'c', JobState::kCancelled}};
constexpr char kBarredMark = 'u';

char MarkForState(JobState state) {
  for (const NamedState& named : kStates) {
    if (named.state == state) {
      return named.mark;
    }
  }
  return '?';
}

std::optional<JobState> StateForMark(char mark) {
  for (const NamedState& named : kStates) {
    if (named.mark == mark) {
      return named.state;
    }
  }
  return std::nullopt;
}

// One line of a page.
struct Line {
  char mark = 0;
  JobKey key;
  std::string_view record;
};

std::optional<Line> ParseLine(std::string_view text) {
  if (text.size() < kLinePrefixBytes || text[1] != ' ') {
    return std::nullopt;
  }
  const auto key = jobs::ParseJobKey(text.substr(2, kLinePrefixBytes - 2));
  if (!key) {
    return std::nullopt;
  }
  Line line{text[0], *key, {}};
  if (text.size() > kLinePrefixBytes + 1 && text[kLinePrefixBytes] == ' ') {
    line.record = text.substr(kLinePrefixBytes + 1);
  }
  return line;
}

// Calls `handle` for each line that can be parsed. Returns whether all lines
// were parsed and `handle` returned true for each.
template <typename Handler>
bool ForEachLine(std::string_view text, Handler handle) {
  bool all_parsed = true;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const auto line = ParseLine(text.substr(0, end));
    all_parsed = line && handle(*line) && all_parsed;
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return all_parsed;
}

std::string LineOf(char mark, JobKey key, std::string_view text) {
  std::string line(1, mark);
  line += ' ';
  line += jobs::ToString(key);
  line += ' ';
  line += text;
  line += '\n';
  return line;
}

// Reads a number and the space behind it from the beginning of `text`, and
// removes both.
std::optional<std::size_t> TakeNumber(std::string_view* text) {
  std::size_t number = 0;
  const char* const end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || stop == end || *stop != ' ') {
    return std::nullopt;
  }
  text->remove_prefix(static_cast<std::size_t>(stop + 1 - text->data()));
  return number;
}

}  // namespace

struct JobPages::RecordLine {
  Entry entry;
  std::size_t part = 0;
  std::size_t parts = 1;
  std::string_view text;
};

std::string JobPages::RowKey(PageNumber number) {
  std::string digits(kRowKeyDigits, '0');
  for (auto at = digits.rbegin(); number != 0; number >>= 4) {
    *at++ = "0123456789abcdef"[number & 0xf];
  }
  return digits;
}

void JobPages::MarkObsolete(PageNumber page, base::TimePoint now) {
  const auto it = live_pages_.find(page);
  if (it == live_pages_.end()) {
    return;
  }
  if (!it->second.first_obsolete_at) {
    it->second.first_obsolete_at = now;
  }
  if (--it->second.current_records == 0) {
    live_pages_to_remove_.push_back(page);
  }
}

void JobPages::MarkAllObsolete(JobKey key, base::TimePoint now) {
  const auto it = current_pages_.find(key);
  if (it == current_pages_.end()) {
    return;
  }
  MarkObsolete(it->second.acceptance, now);
  MarkObsolete(it->second.progress, now);
  current_pages_.erase(it);
}

void JobPages::MarkObsolete(const std::vector<PageNumber>& pages,
                            base::TimePoint now) {
  for (const PageNumber page : pages) {
    MarkObsolete(page, now);
  }
}

JobPages::PageNumber JobPages::AppendLine(const Entry& entry,
                                          const std::string& line) {
  // A page without current records is about to be removed.
  const bool needs_page =
      unwritten_.empty() ||
      unwritten_.rbegin()->second.size() + line.size() > kPageBytes ||
      live_pages_.at(unwritten_.rbegin()->first).current_records == 0;
  const PageNumber page =
      needs_page ? NextNumber() : unwritten_.rbegin()->first;
  unwritten_[page] += line;
  pending_bytes_ += line.size();
  LivePage& target = live_pages_[page];
  target.entries.push_back(entry);
  ++target.current_records;
  return page;
}

void JobPages::PutRecord(JobKey key, RecordKind kind, const std::string& record,
                         base::TimePoint now) {
  const bool is_acceptance = kind == RecordKind::kAcceptance;
  std::vector<PageNumber> pages;
  if (record.size() <= kMaxPartBytes) {
    pages.push_back(AppendLine(
        {key, kind},
        LineOf(is_acceptance ? kAcceptanceMark : kProgressMark, key, record)));
  } else {
    const std::size_t parts =
        (record.size() + kMaxPartBytes - 1) / kMaxPartBytes;
    for (std::size_t part = 0; part < parts; ++part) {
      pages.push_back(AppendLine(
          {key, kind},
          LineOf(is_acceptance ? kAcceptancePartMark : kProgressPartMark, key,
                 std::to_string(part) + ' ' + std::to_string(parts) + ' ' +
                     record.substr(part * kMaxPartBytes, kMaxPartBytes))));
    }
  }
  // The new record is added first, so that a page with both of them keeps a
  // current one.
  MarkObsolete(std::exchange(current_pages_[key].of(kind), std::move(pages)),
               now);
}

void JobPages::PutFinalState(JobKey key, JobState state, base::TimePoint now) {
  MarkAllObsolete(key, now);
  AppendEnded(MarkForState(state), key, now);
}

void JobPages::PutBarred(JobKey key, base::TimePoint now) {
  AppendEnded(kBarredMark, key, now);
}

void JobPages::AppendEnded(char mark, JobKey key, base::TimePoint now) {
  const auto last_page = ended_pages_.find(last_ended_page_);
  if (last_page == ended_pages_.end() ||
      last_page->second.text.size() >= kEndedPageBytes) {
    last_ended_page_ = NextNumber();
  }
  EndedPage& page = ended_pages_[last_ended_page_];
  page.text += mark;
  page.text += ' ';
  page.text += jobs::ToString(key);
  page.text += '\n';
  page.last_end = now;
  pending_bytes_ += kLinePrefixBytes + 1;
  if (ended_pages_to_write_.empty() ||
      ended_pages_to_write_.back() != last_ended_page_) {
    ended_pages_to_write_.push_back(last_ended_page_);
  }
}

bool JobPages::Maintain(base::TimePoint now, base::Duration retention) {
  while (!ended_pages_.empty() &&
         now - ended_pages_.begin()->second.last_end >= retention) {
    const PageNumber page = ended_pages_.begin()->first;
    ended_pages_.erase(ended_pages_.begin());
    ended_pages_to_remove_.push_back(page);
    if (page == last_ended_page_) {
      last_ended_page_ = 0;
    }
  }
  if (now >= next_rewrite_scan_) {
    next_rewrite_scan_ = now + kRewritePeriod;
    live_pages_to_rewrite_.clear();
    for (const auto& [number, page] : live_pages_) {
      if (page.current_records > 0 && page.first_obsolete_at &&
          now - *page.first_obsolete_at >= kRewriteAfter) {
        live_pages_to_rewrite_.push_back(number);
      }
    }
  }
  return !live_pages_to_remove_.empty() || !ended_pages_to_remove_.empty() ||
         !live_pages_to_rewrite_.empty();
}

void JobPages::Rewrite(PageNumber number, const RecordReader& reread,
                       std::size_t max_bytes, base::TimePoint now) {
  const auto it = live_pages_.find(number);
  if (it == live_pages_.end() || it->second.current_records == 0) {
    return;
  }
  std::map<std::pair<JobKey, RecordKind>, std::string> records;
  std::size_t bytes = 0;
  for (const Entry& entry : it->second.entries) {
    const auto pages = current_pages_.find(entry.key);
    if (pages == current_pages_.end() ||
        records.contains({entry.key, entry.kind})) {
      continue;
    }
    const std::vector<PageNumber>& current = pages->second.of(entry.kind);
    if (std::find(current.begin(), current.end(), number) == current.end()) {
      continue;
    }
    auto record = reread(entry.key, entry.kind);
    if (!record) {
      return;
    }
    bytes += record->size();
    records.emplace(std::pair(entry.key, entry.kind), std::move(*record));
  }
  if (pending_bytes_ > 0 && pending_bytes_ + bytes > max_bytes + kPageBytes) {
    return;
  }
  for (const auto& [entry, record] : records) {
    PutRecord(entry.first, entry.second, record, now);
  }
}

std::vector<RecordChange> JobPages::TakeBatch(std::size_t max_rows,
                                              std::size_t max_bytes,
                                              const RecordReader& reread,
                                              base::TimePoint now) {
  // Rewriting a page adds up to one row, and one more for the removal of the
  // old page. Pages that are not rewritten now are found by a later scan.
  for (const PageNumber number : std::exchange(live_pages_to_rewrite_, {})) {
    if (unwritten_.size() + live_pages_to_remove_.size() + 2 < max_rows / 2 &&
        pending_bytes_ < max_bytes) {
      Rewrite(number, reread, max_bytes, now);
    }
  }
  std::vector<RecordChange> changes;
  for (auto& [number, text] : std::exchange(unwritten_, {})) {
    const auto it = live_pages_.find(number);
    if (it->second.current_records > 0) {
      changes.push_back(
          {RecordTable::kLivePages, RowKey(number), std::move(text)});
    } else {
      // Records that became obsolete within the same batch need no row.
      std::erase(live_pages_to_remove_, number);
      live_pages_.erase(it);
    }
  }
  for (const PageNumber number : std::exchange(ended_pages_to_write_, {})) {
    if (const auto it = ended_pages_.find(number); it != ended_pages_.end()) {
      changes.push_back(
          {RecordTable::kEndedPages, RowKey(number), it->second.text});
    }
  }
  const auto remove = [&](RecordTable table, std::vector<PageNumber>* numbers) {
    while (!numbers->empty() && changes.size() < max_rows) {
      changes.push_back({table, RowKey(numbers->back()), std::nullopt});
      if (table == RecordTable::kLivePages) {
        live_pages_.erase(numbers->back());
      }
      numbers->pop_back();
    }
  };
  remove(RecordTable::kLivePages, &live_pages_to_remove_);
  remove(RecordTable::kEndedPages, &ended_pages_to_remove_);
  pending_bytes_ = 0;
  return changes;
}

bool JobPages::RestoreLive(PageNumber number, const std::string& text,
                           base::TimePoint now) {
  return ForEachLine(text, [&](const Line& line) {
    RecordLine record{{line.key, RecordKind::kProgress}, 0, 1, line.record};
    if (line.mark == kAcceptanceMark || line.mark == kAcceptancePartMark) {
      record.entry.kind = RecordKind::kAcceptance;
    } else if (line.mark != kProgressMark && line.mark != kProgressPartMark) {
      return false;
    }
    if (line.mark == kAcceptancePartMark || line.mark == kProgressPartMark) {
      const auto part = TakeNumber(&record.text);
      const auto parts = part ? TakeNumber(&record.text) : std::nullopt;
      if (!parts || *part >= *parts) {
        return false;
      }
      record.part = *part;
      record.parts = *parts;
    }
    RestoreLine(number, record, now);
    return true;
  });
}

void JobPages::RestoreLine(PageNumber number, const RecordLine& line,
                           base::TimePoint now) {
  const auto& [key, kind] = line.entry;
  LivePage& page = live_pages_[number];
  page.entries.push_back(line.entry);
  std::vector<PageNumber>& pages = current_pages_[key].of(kind);
  StoredJob& job = restored_[key];
  std::optional<std::string>& record =
      kind == RecordKind::kAcceptance ? job.acceptance : job.progress;
  if (line.part > 0) {
    const auto begun = restored_parts_.find({key, kind});
    if (begun == restored_parts_.end() || begun->second != line.parts ||
        pages.size() != line.part) {
      // The first part of an obsolete record was removed with its page. The
      // current record is in pages with higher numbers, or the job has ended.
      page.first_obsolete_at = now;
      return;
    }
    ++page.current_records;
    pages.push_back(number);
    *record += line.text;
    return;
  }
  ++page.current_records;
  MarkObsolete(std::exchange(pages, {number}), now);
  restored_parts_.erase({key, kind});
  if (line.parts > 1) {
    restored_parts_[{key, kind}] = line.parts;
  }
  record = std::string(line.text);
}

bool JobPages::RestoreEnded(PageNumber number, const std::string& text,
                            base::TimePoint now) {
  ended_pages_[number] = {text, now};
  return ForEachLine(text, [&](const Line& line) {
    if (line.mark == kBarredMark) {
      restored_[line.key].is_barred = true;
      return true;
    }
    const auto state = StateForMark(line.mark);
    if (state) {
      restored_[line.key].final_state = state;
    }
    return state.has_value();
  });
}

bool JobPages::Restore(RecordTable table, const std::string& key,
                       const std::string& text, base::TimePoint now,
                       base::Failure* reason) {
  PageNumber number = 0;
  const char* const end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data(), end, number, kHexBase);
  if (error != std::errc() || stop != end || number == 0) {
    *reason = {base::FailureCode::kMalformed,
               "page " + key + ": the key is not a page number"};
    return false;
  }
  last_number_ = std::max(last_number_, number);
  const bool is_parsed = table == RecordTable::kLivePages
                             ? RestoreLive(number, text, now)
                             : RestoreEnded(number, text, now);
  if (!is_parsed) {
    *reason = {base::FailureCode::kMalformed,
               "page " + key + ": unreadable line"};
  }
  return is_parsed;
}

std::map<JobKey, JobPages::StoredJob> JobPages::TakeRestored(
    base::TimePoint now) {
  for (const auto& [key, job] : restored_) {
    if (job.final_state) {
      MarkAllObsolete(key, now);
    }
  }
  restored_parts_.clear();
  live_pages_to_remove_.clear();
  for (const auto& [number, page] : live_pages_) {
    if (page.current_records == 0) {
      live_pages_to_remove_.push_back(number);
    }
  }
  return std::exchange(restored_, {});
}

}  // namespace dotterelbarrow::core::scheduler
