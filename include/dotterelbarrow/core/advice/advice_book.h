// Which workers may run which steps, as the placement advisor said, and which
// entry host asks next.
//
// The advisor serves one call of each entry host at a time, so calls are
// spread over the hosts by the time that they are expected to take.
#ifndef DOTTERELBARROW_CORE_ADVICE_ADVICE_BOOK_H_
#define DOTTERELBARROW_CORE_ADVICE_ADVICE_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::advice {

// Chooses the entry host for each call, and says when all have enough to do.
//
// Load pattern: many short calls for urgent work beside few calls that take
// half a second, and a backlog of steps that all want advice at once. Calls
// are handed out one by one as hosts come free, so that the most urgent step
// is always the next. Long calls and short ones have hosts of their own: short
// ones never wait behind long ones, and a stream of short ones never keeps all
// hosts from a long one.
class AskerChooser {
 public:
  // A call that takes longer is a long one: it would use up half of the slack
  // of work that is due within a second.
  static constexpr base::Duration kLongCall = std::chrono::milliseconds(200);
  // The next short call is sent this long before the host should be free, so
  // that the advisor isn't idle while answers and calls travel.
  static constexpr base::Duration kAhead = std::chrono::milliseconds(10);
  // As long as a host that is gone may stay on the list.
  static constexpr base::Duration kDown = std::chrono::seconds(2);
  // Without long calls for this long their hosts serve short ones too.
  static constexpr base::Duration kLongCallsOver = std::chrono::seconds(5);

  // Replaces the hosts that can be asked. Keeps what is known of their calls.
  void SetHosts(const std::vector<base::EntryId>& hosts);
  // Returns a host that is free for a call of this length, and counts the
  // call; nullopt if none is.
  std::optional<base::EntryId> Choose(base::Duration cost, base::TimePoint now);
  // Returns whether Choose would find a host.
  bool CanChoose(base::Duration cost, base::TimePoint now);
  // A call of the host came to its end.
  void OnEnded(const base::EntryId& host, base::TimePoint now);
  // A call of the host came to nothing: the host is gone, or can't reach the
  // advisor. It is passed over for a while.
  void OnFailed(const base::EntryId& host, base::TimePoint now);

 private:
  struct Host {
    int calls = 0;
    // When the calls under way should be answered.
    base::TimePoint busy_until;
    base::TimePoint down_until;
  };
  // Returns a free host, or null.
  std::pair<const base::EntryId, Host>* FindFree(base::Duration cost,
                                                 base::TimePoint now);

  std::map<base::EntryId, Host> hosts_;
  std::optional<base::TimePoint> last_long_call_;
};

struct Ticket {
  std::string text;
  base::TimePoint valid_until;
};

// What is known for one step.
struct StepAdvice {
  // Calls under way.
  int calls = 0;
  // Whether some call was answered, so that `allowed` can be gone by.
  bool is_known = false;
  // All that were found allowed; which workers may run a step never changes,
  // but tickets run out.
  std::map<workers::WorkerNumber, Ticket> allowed;
  // All that the advisor was asked about.
  workers::WorkerSet asked;
  // After a failed call, not before this moment.
  base::TimePoint retry_at;
  int failed_calls = 0;
};

class AdviceBook {
 public:
  // Returns null for a step that nothing was asked for.
  StepAdvice* Find(const jobs::StepRef& step);
  const StepAdvice* Find(const jobs::StepRef& step) const;
  StepAdvice& FindOrAdd(const jobs::StepRef& step) { return steps_[step]; }
  void Forget(const jobs::StepRef& step) { steps_.erase(step); }
  void Clear() { steps_.clear(); }
  std::size_t size() const { return steps_.size(); }

 private:
  std::unordered_map<jobs::StepRef, StepAdvice> steps_;
};

// Returns how long the advisor takes for a call.
base::Duration CallCost(const desired::AdvicePolicy& policy,
                        std::size_t workers);

}  // namespace dotterelbarrow::core::advice

#endif  // DOTTERELBARROW_CORE_ADVICE_ADVICE_BOOK_H_
