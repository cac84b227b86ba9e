// Records the answers that callers received, and checks them against the runs
// that the backend servers recorded.
#ifndef DOTTERELBARROW_TEST_FUZZ_ORACLE_H_
#define DOTTERELBARROW_TEST_FUZZ_ORACLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/messages.h"
#include "src/standins/backends/run_ledger.h"

namespace dotterelbarrow::fuzz {

class Oracle {
 public:
  // One request that a caller submitted, and the answers that it received.
  struct Asked {
    core::WorkRequest request;
    base::TimePoint at;
    // Whether the key had been revoked for so long that the request must be
    // refused.
    bool key_revoked = false;
    std::vector<core::Answer> answers;
    // Whether the entry that received the request died, so that no answer can
    // arrive.
    bool entry_died = false;
  };

  void OnAsked(core::CallerToken token, const core::WorkRequest& request,
               base::TimePoint now, bool key_revoked);
  void OnAnswer(core::CallerToken token, const core::Answer& answer,
                base::TimePoint now);
  void OnEntryDied(const std::vector<core::CallerToken>& open);

  // Describes the first violation of a rule, or returns nothing. Cheap enough
  // to be called after every command.
  std::optional<std::string> FirstViolation(
      const standins::RunLedger& ledger) const;
  // Describes the first request without an answer, or returns nothing. Only
  // meaningful after all faults have ended and the cell has had time to
  // recover.
  std::optional<std::string> FirstUnanswered() const;

  const std::map<core::CallerToken, Asked>& asked() const { return asked_; }

 private:
  std::optional<std::string> CheckAnswers(
      const Asked& asked, const standins::RunLedger& ledger) const;

  std::map<core::CallerToken, Asked> asked_;
  std::vector<std::string> misdirected_;
};

}  // namespace dotterelbarrow::fuzz

#endif  // DOTTERELBARROW_TEST_FUZZ_ORACLE_H_
