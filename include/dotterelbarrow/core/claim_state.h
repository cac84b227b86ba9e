// Tracks the claim of one backend server: the epoch with which it is or is
// being claimed, and what its reports say about that claim.
//
// Call Raise() to begin a claim under a new epoch, send syncs with epoch(), and
// pass each report to OnReport(), which returns what it means for the claim.
#ifndef DOTTERELBARROW_CORE_CLAIM_STATE_H_
#define DOTTERELBARROW_CORE_CLAIM_STATE_H_

#include <cstdint>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

class ClaimState {
 public:
  // What a report means for the claim.
  enum class Verdict {
    kOutdated,   // Older than a report already processed.
    kClaimed,    // The first report under our epoch: claimed.
    kCurrent,    // A further report under our epoch.
    kOvertaken,  // Another owner claimed it: a higher epoch.
    kAmbiguous,  // Our epoch, but an earlier run may have used it.
    kRestarted,  // The backend server restarted and lost its state.
  };

  explicit ClaimState(base::EntryId self) : self_(std::move(self)) { Raise(); }

  // Begins a claim under an epoch that is higher than every one seen so far.
  void Raise();
  Verdict OnReport(const BackendReport& report);

  bool is_claimed() const { return std::holds_alternative<Claimed>(state_); }
  const base::Epoch& epoch() const { return epoch_; }
  // The incarnation of the latest report.
  base::Incarnation incarnation() const { return incarnation_; }

 private:
  struct Claiming {};
  struct Claimed {};

  bool IsOutdated(const BackendReport& report) const;

  base::EntryId self_;
  base::Epoch epoch_;
  // The highest epoch counter that this backend server was seen with.
  std::uint64_t highest_counter_ = 0;
  // Whether the backend server has ever reported to this process.
  bool heard_ = false;
  base::Incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  std::variant<Claiming, Claimed> state_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_CLAIM_STATE_H_
