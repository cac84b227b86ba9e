// Claims idempotency keys with the teams' managers, and reports to them how the
// claimed requests ended.
//
// A claim that this entry host has given up may nevertheless have been recorded
// by the manager. It is therefore resolved as kNotRun, so that the key can be
// claimed again. Resolutions are not acknowledged, so each is sent several
// times. The call id of the claim tells the manager which claim is resolved.
#ifndef DOTTERELBARROW_SRC_CORE_KEY_CLAIMS_H_
#define DOTTERELBARROW_SRC_CORE_KEY_CLAIMS_H_

#include <deque>
#include <unordered_map>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class KeyClaims {
 public:
  // All objects pointed to must outlive this object.
  KeyClaims(const NodeSettings* settings, Outbox* outbox,
            const Membership* membership);

  // Returns the entry host that currently manages the claims of `team`.
  base::EntryId ManagerOf(const base::TeamId& team) const;
  // Sends `manager` a claim of the idempotency key of `request`. Returns the id
  // of that call.
  base::CallId Claim(const base::EntryId& manager, const WorkRequest& request);
  // Reports to the manager that the request of the claim `call` ended with
  // `answer`.
  void Resolve(base::CallId call, const WorkRequest& request,
               const Answer& answer, base::TimePoint now);
  // Gives up a claim that has not been answered. The outcome of `answer` must
  // be kNotRun.
  void GiveUp(base::CallId call, const WorkRequest& request,
              const Answer& answer, base::TimePoint now);
  // Handles a reply to a claim that was given up: if the key was claimed after
  // all, resolves it again. Returns whether `reply` belongs to such a claim.
  bool OnLateReply(const ClaimReply& reply, base::TimePoint now);
  void Tick(base::TimePoint now);

 private:
  struct Resend {
    base::TimePoint due;
    ResolveKey resolve;
    int sends_left = 0;
  };
  struct GivenUp {
    base::TimePoint expiry;
    ResolveKey resolve;
  };

  void Send(const ResolveKey& resolve);

  const NodeSettings* settings_;
  Outbox* outbox_;
  const Membership* membership_;
  // Invariant: ordered by `due`, because the delay is the same for all.
  std::deque<Resend> resends_;
  std::unordered_map<base::CallId, GivenUp> given_up_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_KEY_CLAIMS_H_
