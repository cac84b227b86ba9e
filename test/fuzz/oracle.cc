// Implements the rules that answers and runs must satisfy.
#include "test/fuzz/oracle.h"

namespace dotterelbarrow::fuzz {
namespace {

using core::Outcome;

bool IsJob(const core::WorkRequest& request) {
  return request.kind != core::WorkKind::kInteractive;
}

std::string Describe(const Oracle::Asked& asked) {
  std::string text = "request " + asked.request.id.value() + " (" +
                     core::ToString(asked.request.kind) + ")";
  for (const core::Answer& answer : asked.answers) {
    text += std::string(" answered ") + core::ToString(answer.outcome) + "/" +
            core::ToString(answer.reason);
  }
  return text;
}

}  // namespace

void Oracle::OnAsked(core::CallerToken token, const core::WorkRequest& request,
                     base::TimePoint now, bool key_revoked) {
  asked_[token] = Asked{request, now, key_revoked, {}, false};
}

void Oracle::OnAnswer(core::CallerToken token, const core::Answer& answer,
                      base::TimePoint /*now*/) {
  const auto it = asked_.find(token);
  if (it == asked_.end() || it->second.request.id != answer.id) {
    misdirected_.push_back("answer with id " + answer.id.value() +
                           " went to another request");
    return;
  }
  it->second.answers.push_back(answer);
}

void Oracle::OnEntryDied(const std::vector<core::CallerToken>& open) {
  for (const core::CallerToken token : open) {
    asked_[token].entry_died = true;
  }
}

std::optional<std::string> Oracle::FirstViolation(
    const standins::RunLedger& ledger) const {
  const standins::LedgerTotals& totals = ledger.totals();
  if (totals.over_capacity > 0) {
    return "a backend server was given more work than its capacity";
  }
  if (totals.double_start > 0) {
    return "task " + base::ToString(ledger.double_starts().front()) +
           " ran in two places at once";
  }
  if (totals.repeated_non_idempotent > 0) {
    return "a non-idempotent task was started more than once";
  }
  if (!misdirected_.empty()) {
    return misdirected_.front();
  }
  for (const auto& [token, asked] : asked_) {
    if (const auto violation = CheckAnswers(asked, ledger)) {
      return violation;
    }
  }
  return std::nullopt;
}

std::optional<std::string> Oracle::CheckAnswers(
    const Asked& asked, const standins::RunLedger& ledger) const {
  if (asked.answers.size() > 1) {
    return Describe(asked) + ": more than one answer";
  }
  const standins::RunCounts runs =
      ledger.CountsOf({{asked.request.team, asked.request.id}, 0});
  if (asked.key_revoked && runs.started > 0) {
    return Describe(asked) + ": it ran although its key had been revoked";
  }
  if (asked.answers.empty()) {
    return std::nullopt;
  }
  const core::Answer& answer = asked.answers.front();
  if (asked.key_revoked && answer.outcome == Outcome::kAccepted) {
    return Describe(asked) +
           ": it was accepted although its key had been revoked";
  }
  if (answer.outcome == Outcome::kNotRun && runs.started > 0) {
    return Describe(asked) + ": the answer was not_run, but it ran";
  }
  if (!IsJob(asked.request) && answer.outcome == Outcome::kDone &&
      runs.succeeded == 0) {
    return Describe(asked) + ": the answer was done, but no run succeeded";
  }
  return std::nullopt;
}

std::optional<std::string> Oracle::FirstUnanswered() const {
  for (const auto& [token, asked] : asked_) {
    if (asked.answers.empty() && !asked.entry_died) {
      return Describe(asked) + ": never answered";
    }
  }
  return std::nullopt;
}

}  // namespace dotterelbarrow::fuzz
