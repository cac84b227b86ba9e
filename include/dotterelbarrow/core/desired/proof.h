// How old the proof is that a host's desired state is the newest.
//
// A read of the store proves it as of the moment at which the read was sent.
// Another host's word proves it as of the moment that its own proof is of, if
// both have the same version.
#ifndef DOTTERELBARROW_CORE_DESIRED_PROOF_H_
#define DOTTERELBARROW_CORE_DESIRED_PROOF_H_

#include <algorithm>
#include <optional>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::desired {

class Proof {
 public:
  // A read sent at `sent_at` showed the version in force here.
  void OnRead(base::TimePoint sent_at) {
    read_at_ = sent_at;
    Raise(sent_at);
  }
  // Another host answered a call sent at `sent_at` that its version was the
  // newest `age` before its answer. Nothing is proved unless both versions are
  // the same.
  void OnRelayed(base::ConfigVersion own, base::ConfigVersion relayed,
                 base::TimePoint sent_at, base::Duration age) {
    // A negative age would put the proof after the call.
    if (own == relayed) {
      Raise(sent_at - std::max(age, base::Duration(0)));
    }
  }

  // Nullopt if nothing was ever proved.
  std::optional<base::Duration> Age(base::TimePoint now) const {
    return Since(proved_at_, now);
  }
  // Since the last read of this host's own.
  std::optional<base::Duration> SinceRead(base::TimePoint now) const {
    return Since(read_at_, now);
  }

 private:
  static std::optional<base::Duration> Since(
      const std::optional<base::TimePoint>& then, base::TimePoint now) {
    return then ? std::optional(now - *then) : std::nullopt;
  }
  void Raise(base::TimePoint moment) {
    proved_at_ = proved_at_ ? std::max(*proved_at_, moment) : moment;
  }

  std::optional<base::TimePoint> read_at_;
  // Invariant: at or after `read_at_`.
  std::optional<base::TimePoint> proved_at_;
};

}  // namespace dotterelbarrow::core::desired

#endif  // DOTTERELBARROW_CORE_DESIRED_PROOF_H_
