// Pages as texts, and which of their records count.
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

// Pages to rewrite are looked for this often.
constexpr base::Duration kRewritePeriod = std::chrono::seconds(1);

constexpr char kAcceptanceMark = 'a';
constexpr char kProgressMark = 'p';
constexpr std::size_t kNumberDigits = 16;
constexpr int kHexadecimal = 16;
// A mark, a space and a job's key.
constexpr std::size_t kLineHead = 2 + 16;

struct NamedState {
  char mark;
  JobState state;
};
constexpr std::array kStates = {NamedState{'d', JobState::kCompleted},
                                NamedState{'f', JobState::kFailed},
                                NamedState{'c', JobState::kCancelled}};

char MarkOf(JobState state) {
  for (const NamedState& named : kStates) {
    if (named.state == state) {
      return named.mark;
    }
  }
  return '?';
}

std::optional<JobState> StateOf(char mark) {
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

std::optional<Line> ReadLine(std::string_view text) {
  if (text.size() < kLineHead || text[1] != ' ') {
    return std::nullopt;
  }
  const auto key = jobs::ParseJobKey(text.substr(2, kLineHead - 2));
  if (!key) {
    return std::nullopt;
  }
  Line line{text[0], *key, {}};
  if (text.size() > kLineHead + 1 && text[kLineHead] == ' ') {
    line.record = text.substr(kLineHead + 1);
  }
  return line;
}

// Calls `take` for each line; returns whether all could be read and taken.
template <typename Take>
bool ForEachLine(std::string_view text, Take take) {
  bool is_all_read = true;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const auto line = ReadLine(text.substr(0, end));
    is_all_read = line && take(*line) && is_all_read;
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return is_all_read;
}

}  // namespace

std::string JobPages::KeyOf(PageNumber number) {
  std::string digits(kNumberDigits, '0');
  for (auto at = digits.rbegin(); number != 0; number >>= 4) {
    *at++ = "0123456789abcdef"[number & 0xf];
  }
  return digits;
}

void JobPages::Kill(PageNumber page, base::TimePoint now) {
  const auto it = live_.find(page);
  if (it == live_.end()) {
    return;
  }
  if (!it->second.dead_since) {
    it->second.dead_since = now;
  }
  if (--it->second.live == 0) {
    live_to_remove_.push_back(page);
  }
}

void JobPages::KillAll(JobKey key, base::TimePoint now) {
  const auto it = places_.find(key);
  if (it == places_.end()) {
    return;
  }
  for (const PageNumber page : {it->second.acceptance, it->second.progress}) {
    if (page != 0) {
      Kill(page, now);
    }
  }
  places_.erase(it);
}

void JobPages::Append(JobKey key, Kind kind, const std::string& record,
                      base::TimePoint now) {
  std::string line(1,
                   kind == Kind::kAcceptance ? kAcceptanceMark : kProgressMark);
  line += ' ';
  line += jobs::ToString(key);
  line += ' ';
  line += record;
  line += '\n';
  // A page of which nothing counts any more is about to go.
  const bool needs_page =
      unwritten_.empty() ||
      unwritten_.rbegin()->second.size() + line.size() > kPageBytes ||
      live_.at(unwritten_.rbegin()->first).live == 0;
  const PageNumber page =
      needs_page ? NextNumber() : unwritten_.rbegin()->first;
  unwritten_[page] += line;
  bytes_put_ += line.size();
  LivePage& target = live_[page];
  target.entries.push_back({key, kind});
  ++target.live;
  PageNumber& place = places_[key].of(kind);
  const PageNumber former = std::exchange(place, page);
  if (former != 0) {
    Kill(former, now);
  }
}

void JobPages::PutRecord(JobKey key, Kind kind, const std::string& record,
                         base::TimePoint now) {
  Append(key, kind, record, now);
}

void JobPages::PutEnd(JobKey key, JobState state, base::TimePoint now) {
  KillAll(key, now);
  const auto open = ended_.find(open_ended_);
  if (open == ended_.end() || open->second.text.size() >= kEndedPageBytes) {
    open_ended_ = NextNumber();
  }
  EndedPage& page = ended_[open_ended_];
  page.text += MarkOf(state);
  page.text += ' ';
  page.text += jobs::ToString(key);
  page.text += '\n';
  page.last_end = now;
  bytes_put_ += kLineHead + 1;
  if (ended_to_write_.empty() || ended_to_write_.back() != open_ended_) {
    ended_to_write_.push_back(open_ended_);
  }
}

bool JobPages::Maintain(base::TimePoint now, base::Duration retention) {
  while (!ended_.empty() &&
         now - ended_.begin()->second.last_end >= retention) {
    const PageNumber page = ended_.begin()->first;
    ended_.erase(ended_.begin());
    ended_to_remove_.push_back(page);
    if (page == open_ended_) {
      open_ended_ = 0;
    }
  }
  if (now >= next_rewrites_) {
    next_rewrites_ = now + kRewritePeriod;
    to_rewrite_.clear();
    for (const auto& [number, page] : live_) {
      if (page.live > 0 && page.dead_since &&
          now - *page.dead_since >= kRewriteAfter) {
        to_rewrite_.push_back(number);
      }
    }
  }
  return !live_to_remove_.empty() || !ended_to_remove_.empty() ||
         !to_rewrite_.empty();
}

void JobPages::Rewrite(PageNumber number, const Reread& reread,
                       base::TimePoint now) {
  const auto it = live_.find(number);
  if (it == live_.end() || it->second.live == 0) {
    return;
  }
  std::vector<std::pair<Entry, std::string>> records;
  for (const Entry& entry : it->second.entries) {
    const auto places = places_.find(entry.key);
    if (places == places_.end() || places->second.of(entry.kind) != number) {
      continue;
    }
    auto record = reread(entry.key, entry.kind);
    if (!record) {
      return;
    }
    records.emplace_back(entry, std::move(*record));
  }
  for (const auto& [entry, record] : records) {
    Append(entry.key, entry.kind, record, now);
  }
}

std::vector<RecordChange> JobPages::Take(std::size_t most, const Reread& reread,
                                         base::TimePoint now) {
  // A rewritten page costs up to one row more, and its own removal.
  // What can't be rewritten now is found again later.
  for (const PageNumber number : std::exchange(to_rewrite_, {})) {
    if (unwritten_.size() + live_to_remove_.size() + 2 < most / 2) {
      Rewrite(number, reread, now);
    }
  }
  std::vector<RecordChange> changes;
  for (auto& [number, text] : std::exchange(unwritten_, {})) {
    const auto it = live_.find(number);
    if (it->second.live > 0) {
      changes.push_back(
          {RecordTable::kLivePages, KeyOf(number), std::move(text)});
    } else {
      // What was put and replaced within one batch needs no row.
      std::erase(live_to_remove_, number);
      live_.erase(it);
    }
  }
  for (const PageNumber number : std::exchange(ended_to_write_, {})) {
    if (const auto it = ended_.find(number); it != ended_.end()) {
      changes.push_back(
          {RecordTable::kEndedPages, KeyOf(number), it->second.text});
    }
  }
  const auto remove = [&](RecordTable table, std::vector<PageNumber>* numbers) {
    while (!numbers->empty() && changes.size() < most) {
      changes.push_back({table, KeyOf(numbers->back()), std::nullopt});
      if (table == RecordTable::kLivePages) {
        live_.erase(numbers->back());
      }
      numbers->pop_back();
    }
  };
  remove(RecordTable::kLivePages, &live_to_remove_);
  remove(RecordTable::kEndedPages, &ended_to_remove_);
  bytes_put_ = 0;
  return changes;
}

bool JobPages::RestoreLive(PageNumber number, const std::string& text,
                           base::TimePoint now) {
  return ForEachLine(text, [&](const Line& line) {
    if (line.mark != kAcceptanceMark && line.mark != kProgressMark) {
      return false;
    }
    const Kind kind =
        line.mark == kAcceptanceMark ? Kind::kAcceptance : Kind::kProgress;
    LivePage& page = live_[number];
    page.entries.push_back({line.key, kind});
    ++page.live;
    PageNumber& place = places_[line.key].of(kind);
    if (place != 0) {
      Kill(place, now);
    }
    place = number;
    StoredJob& job = restored_[line.key];
    (kind == Kind::kAcceptance ? job.acceptance : job.progress) =
        std::string(line.record);
    return true;
  });
}

bool JobPages::RestoreEnded(PageNumber number, const std::string& text,
                            base::TimePoint now) {
  ended_[number] = {text, now};
  return ForEachLine(text, [&](const Line& line) {
    const auto state = StateOf(line.mark);
    if (state) {
      restored_[line.key].end = state;
    }
    return state.has_value();
  });
}

bool JobPages::Restore(RecordTable table, const std::string& key,
                       const std::string& text, base::TimePoint now,
                       base::Failure* reason) {
  PageNumber number = 0;
  const char* const end = key.data() + key.size();
  const auto [stop, error] =
      std::from_chars(key.data(), end, number, kHexadecimal);
  if (error != std::errc() || stop != end || number == 0) {
    *reason = {base::FailureCode::kMalformed, "page " + key + ": no number"};
    return false;
  }
  last_number_ = std::max(last_number_, number);
  const bool is_read = table == RecordTable::kLivePages
                           ? RestoreLive(number, text, now)
                           : RestoreEnded(number, text, now);
  if (!is_read) {
    *reason = {base::FailureCode::kMalformed,
               "page " + key + ": a line can't be read"};
  }
  return is_read;
}

std::map<JobKey, JobPages::StoredJob> JobPages::TakeRestored(
    base::TimePoint now) {
  for (const auto& [key, job] : restored_) {
    if (job.end) {
      KillAll(key, now);
    }
  }
  return std::exchange(restored_, {});
}

}  // namespace dotterelbarrow::core::scheduler
