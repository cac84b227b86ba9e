// Tracks when a host's desired state was last confirmed to be the newest
// version.
//
// A read of the store confirms it as of the time at which the read was sent.
// Another host's answer confirms it as of the time of that host's own
// confirmation, provided that both hosts have the same version.
#ifndef DOTTERELBARROW_CORE_DESIRED_CONFIRMATION_H_
#define DOTTERELBARROW_CORE_DESIRED_CONFIRMATION_H_

#include <algorithm>
#include <optional>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::desired {

class Confirmation {
 public:
  // Records that a read of the store, sent at `sent_at`, returned the version
  // that this host uses.
  void OnRead(base::TimePoint sent_at) {
    read_at_ = sent_at;
    AdvanceTo(sent_at);
  }
  // Records that another host, in its answer to a call sent at `sent_at`,
  // stated that its version `relayed` was confirmed to be the newest `age`
  // before the answer. Has no effect unless both versions are the same.
  void OnPeerVersion(base::ConfigVersion own, base::ConfigVersion relayed,
                     base::TimePoint sent_at, base::Duration age) {
    // A negative age would place the confirmation after the call was sent.
    if (own == relayed) {
      AdvanceTo(sent_at - std::max(age, base::Duration(0)));
    }
  }

  // Returns the time since the last confirmation; nullopt if there was none.
  std::optional<base::Duration> Age(base::TimePoint now) const {
    return Since(confirmed_at_, now);
  }
  // Returns the time since this host's own last confirming read; nullopt if
  // there was none.
  std::optional<base::Duration> TimeSinceRead(base::TimePoint now) const {
    return Since(read_at_, now);
  }

 private:
  static std::optional<base::Duration> Since(
      const std::optional<base::TimePoint>& earlier, base::TimePoint now) {
    return earlier ? std::optional(now - *earlier) : std::nullopt;
  }
  void AdvanceTo(base::TimePoint moment) {
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, moment) : moment;
  }

  std::optional<base::TimePoint> read_at_;
  // Invariant: at or after `read_at_`.
  std::optional<base::TimePoint> confirmed_at_;
};

}  // namespace dotterelbarrow::core::desired

#endif  // DOTTERELBARROW_CORE_DESIRED_CONFIRMATION_H_
