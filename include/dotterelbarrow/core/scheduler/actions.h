// Commands and requests that the scheduler sends to workers and to the
// placement advisor, and their results. The driver executes each action once
// and reports its outcome.
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

// Lets workers reject commands of previous owners. Increases with each change
// of owner.
using FencingToken = base::NumberId<struct FencingTokenTag>;

// An owner holds this many consecutive tokens, of which the ownership record
// names the highest. Within a term, commands to later incarnations of a worker
// carry higher tokens. A worker that restarts more often during one term keeps
// the last token, so that late commands to its previous incarnation are
// accepted.
inline constexpr std::uint64_t kTokensPerTerm = 256;

// How long an owner may command workers without a confirmed write to the store.
// It outlasts the usual store outage of four to six seconds. If the store is
// unavailable to this owner only, another host may take over meanwhile: such an
// owner must not conclude from a worker's silence that its leases have expired.
// If an owner stops responding and a worker is lost too, whatever the owner may
// have started on that worker also waits this long before it is placed again.
inline constexpr base::Duration kOwnershipLease = std::chrono::seconds(6);

// The destination of a command. It names the worker's incarnation, so that a
// later incarnation under the same address refuses the command.
struct WorkerAddress {
  base::BackendId id;
  std::string address;
  // Start time of the worker process; identifies its incarnation.
  std::int64_t born_ms = 0;
  // How many earlier incarnations under this id the owner knows to have ended
  // during its term.
  std::uint64_t earlier_incarnations = 0;
};

// Returns the token of a command to this worker from the owner whose ownership
// record names `highest`. Once an incarnation has executed one command that is
// meant for it, it rejects commands that were sent to earlier ones. A poll, for
// example, acknowledges run ends of the incarnation to which it was sent; the
// next one would discard ends with the same numbers that nobody has seen.
// Precondition: `highest` is at least kTokensPerTerm.
FencingToken TokenFor(const WorkerAddress& worker, FencingToken highest);

struct StartTask {
  WorkerAddress worker;
  jobs::TaskRef task;
  jobs::Attempt attempt;
  std::string payload;
  // When the worker's lease ends, on the worker's clock. All runs on the worker
  // are covered at least until then.
  std::int64_t lease_until_ms = 0;
  std::string checkpoint;
  std::string ticket;
};

struct StopTask {
  WorkerAddress worker;
  jobs::TaskRef task;
  jobs::Attempt attempt;
};

// Renews the worker's lease and reads its lists of active and ended runs.
struct PollWorker {
  WorkerAddress worker;
  // When the lease ends, on the worker's clock. Not set if the poll grants no
  // lease, for example because the owner doesn't know that clock yet.
  std::optional<std::int64_t> lease_until_ms;
  // The worker may drop run ends up to this number: they are stored.
  std::uint64_t ends_stored = 0;
  // How long the worker may wait for a run to end before it answers.
  base::Duration wait{0};
  // Whether this is an immediate poll, sent in parallel with the single long
  // poll of the worker.
  bool is_immediate = false;
};

// Asks the advisor which of `workers` may run a step, through this entry host.
struct RequestAdvice {
  base::EntryId client;
  jobs::StepRef step;
  std::vector<base::BackendId> workers;
};

using Action = std::variant<StartTask, StopTask, PollWorker, RequestAdvice>;

enum class CommandOutcome {
  kDone,
  kFenced,          // The worker knows an owner with a higher token.
  kOutdated,        // The worker has seen this attempt or a later one.
  kDeadlinePassed,  // The command's deadline had passed on the worker's clock.
  kNoCapacity,
  kBadTicket,
  kOtherIncarnation,  // Another incarnation of the worker runs at the address.
  kRefused,           // The worker did nothing because it is unhealthy or busy.
  kNotSent,           // No part of the command left this process.
  kUnanswered,        // No answer: the worker may still execute it, even later.
  kMalformed,         // The worker can't parse the command.
};

const char* ToString(CommandOutcome outcome);

// An entry in a worker's list of active runs.
struct ListedRun {
  jobs::TaskRef task;
  jobs::Attempt attempt;
  std::string checkpoint;
};

// An entry in a worker's list of ended runs.
struct ListedEnd {
  // Consecutive number of the run end on this worker.
  std::uint64_t number = 0;
  jobs::TaskRef task;
  jobs::Attempt attempt;
  jobs::RunEnd end = jobs::RunEnd::kDone;
  std::string checkpoint;
};

struct PollResult {
  CommandOutcome outcome = CommandOutcome::kUnanswered;
  // The worker's clock when it answered.
  std::int64_t clock_ms = 0;
  std::int64_t born_ms = 0;
  std::vector<ListedRun> active;
  // The run ends that the worker remembers, those with the lowest numbers.
  std::vector<ListedEnd> ended;
  // Whether the lists are complete, so that a run that is in neither of them
  // has no end which this owner has yet to learn.
  bool lists_all = true;
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
