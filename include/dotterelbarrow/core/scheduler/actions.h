// What the scheduler wants done towards workers and the advisor, and what
// comes back. The driver carries each action out once and reports its outcome.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_ACTIONS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::scheduler {

// Fences commands of former owners; rises with each change of the owner.
using FencingToken = base::NumberId<struct FencingTokenTag>;

// An owner goes on to command workers for this long without a confirmed write:
// while the store is away nobody can replace it. Outlasts the usual outage of
// four to six seconds; what a silent owner may have started on a worker that is
// lost as well waits for as long.
inline constexpr base::Duration kOwnerAuthority = std::chrono::seconds(6);

// Where an order goes. The driver names the life of the worker, so that a
// later one under the same address refuses the order.
struct WorkerAddress {
  base::BackendId id;
  std::string address;
  std::int64_t born_ms = 0;
};

struct StartTask {
  WorkerAddress worker;
  jobs::TaskRef task;
  jobs::Attempt attempt;
  std::string payload;
  // By the worker's clock; all that runs there is held at least as long.
  std::int64_t lease_until_ms = 0;
  std::string checkpoint;
  std::string ticket;
};

struct StopTask {
  WorkerAddress worker;
  jobs::TaskRef task;
  jobs::Attempt attempt;
};

// Renews the worker's lease and reads its lists.
struct LookAtWorker {
  WorkerAddress worker;
  // Not set as long as the worker's clock is unknown.
  std::optional<std::int64_t> lease_until_ms;
  std::uint64_t ends_stored = 0;
  // How long the worker may wait for an end before it answers.
  base::Duration wait{0};
  // Beside the one look that may wait.
  bool is_beside = false;
};

// Asks which workers may run a step, through the entry host `asker`.
struct AskAdvice {
  base::EntryId asker;
  jobs::StepRef step;
  std::vector<base::BackendId> workers;
};

using Action = std::variant<StartTask, StopTask, LookAtWorker, AskAdvice>;

enum class OrderOutcome {
  kDone,
  kFenced,    // Another owner has a higher token.
  kOutdated,  // A run as high was there before.
  kLate,      // The deadline had passed on the worker's clock.
  kNoRoom,
  kBadTicket,
  kOtherLife,   // The address has another life by now.
  kRefused,     // The worker did nothing: it is unhealthy or busy.
  kNotSent,     // Surely nothing left this process.
  kUnanswered,  // It may be carried out, also later.
  kMalformed,   // The worker can't read the order.
};

const char* ToString(OrderOutcome outcome);

// One line of a worker's list of what runs.
struct ListedRun {
  jobs::TaskRef task;
  jobs::Attempt attempt;
  std::string checkpoint;
};

// One line of its list of ends.
struct ListedEnd {
  std::uint64_t number = 0;
  jobs::TaskRef task;
  jobs::Attempt attempt;
  jobs::RunEnd end = jobs::RunEnd::kDone;
  std::string checkpoint;
};

struct LookResult {
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  std::int64_t clock_ms = 0;
  std::int64_t born_ms = 0;
  std::vector<ListedRun> active;
  std::vector<ListedEnd> ended;
};

struct AllowedWorker {
  base::BackendId worker;
  std::string ticket;
};

struct AdviceResult {
  enum class Outcome { kAnswered, kBusy, kFailed };
  Outcome outcome = Outcome::kFailed;
  std::vector<AllowedWorker> allowed;
  base::Duration ticket_validity{0};
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_ACTIONS_H_
