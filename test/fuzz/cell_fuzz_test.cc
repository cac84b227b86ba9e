// A stateful fuzzer: runs random work and faults in a cell, and checks the
// answers and runs against the oracle.
//
// RC_PARAMS sets the seed and the size: `RC_PARAMS="seed=7 max_success=500"`.
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>
#include <string>

#include "test/fuzz/cell.h"
#include "test/fuzz/commands.h"

namespace dotterelbarrow::fuzz {
namespace {

using core::Outcome;
using std::chrono::seconds;

// The longest time that a cell may take to finish all work once the faults have
// ended. It suffices for a job that waits for all others to run first.
constexpr base::Duration kRecoveryBound = seconds(240);

// The entries' own shutdown timeout, plus a margin for the last messages.
constexpr base::Duration kShutdownBound = seconds(35);

// Higher than any ticket number that the commands use.
constexpr int kRestoreTicket = 1'000'000;
constexpr int kRestoreAttempts = 20;

bool IsFinal(Outcome outcome) {
  return outcome != Outcome::kAccepted && outcome != Outcome::kRunning;
}

// Requests the state of an accepted job; returns nothing if no answer arrives.
std::optional<core::Answer> RequestStatus(Cell* cell,
                                          const Oracle::Asked& asked) {
  const auto token =
      cell->SendJobCommand(0, core::CallerJobCommand::Verb::kStatus,
                           asked.request.key, asked.request.id);
  cell->RunUntil(seconds(5), [&] { return cell->AnswerTo(token) != nullptr; });
  const core::Answer* answer = cell->AnswerTo(token);
  return answer == nullptr ? std::nullopt : std::optional(*answer);
}

// Describes what is wrong with the outcome of an accepted job, or returns
// nothing.
std::optional<std::string> CheckJob(Cell* cell, const Oracle::Asked& asked) {
  const std::string name = "job " + asked.request.id.value();
  const auto answer = RequestStatus(cell, asked);
  if (!answer || !IsFinal(answer->outcome)) {
    return name + " did not finish";
  }
  if (answer->reason == core::Reason::kNotFound) {
    return name + " was accepted and then forgotten";
  }
  for (std::uint32_t i = 0; i < asked.request.task_count; ++i) {
    const base::JobId id{asked.request.team, asked.request.id};
    const standins::RunCounts runs = cell->ledger().CountsOf({id, i});
    if (answer->outcome == Outcome::kDone && runs.succeeded == 0) {
      return name + " is done, but a task never succeeded";
    }
    if (answer->outcome == Outcome::kNotRun && runs.started > 0) {
      return name + " was not run, but a task was started";
    }
  }
  return std::nullopt;
}

// Submits the initial configuration again; returns whether a ticket was
// accepted in time.
bool RestoreConfig(Cell* cell) {
  core::CallerToken token;
  const auto answered = [&] { return cell->TicketAnswerTo(token) != nullptr; };
  for (int attempt = 0; attempt < kRestoreAttempts; ++attempt) {
    token = cell->SubmitTicket(0, SetupTicket(kRestoreTicket));
    cell->RunUntil(seconds(5), answered);
    const core::TicketAnswer* answer = cell->TicketAnswerTo(token);
    if (answer != nullptr &&
        (answer->status == core::TicketStatus::kAccepted ||
         answer->status == core::TicketStatus::kAlreadyAccepted)) {
      return true;
    }
    cell->Run(seconds(1));
  }
  return false;
}

bool IsAnyStopping(const Cell& cell) {
  for (int i = 0; i < cell.entries(); ++i) {
    if (cell.is_stopping(i)) {
      return true;
    }
  }
  return false;
}

void CheckRecovery(Cell* cell) {
  cell->EndAllFaults();
  // The second EndAllFaults() restarts the entries that are still shutting
  // down.
  cell->RunUntil(kShutdownBound, [cell] { return !IsAnyStopping(*cell); });
  if (IsAnyStopping(*cell)) {
    RC_FAIL("an entry didn't stop in time");
  }
  cell->EndAllFaults();
  if (!RestoreConfig(cell)) {
    RC_FAIL("no ticket was accepted after all faults had ended");
  }
  const auto none_running = [&] {
    return cell->ledger().totals().running == 0;
  };
  cell->Run(seconds(60));
  cell->RunUntil(kRecoveryBound - seconds(60), none_running);
  if (const auto violation = cell->FirstViolation()) {
    RC_FAIL(*violation);
  }
  if (const auto unanswered = cell->oracle().FirstUnanswered()) {
    RC_FAIL(*unanswered);
  }
  for (const auto& [token, asked] : cell->oracle().asked()) {
    const bool accepted = !asked.answers.empty() &&
                          asked.answers.front().outcome == Outcome::kAccepted;
    if (!accepted) {
      continue;
    }
    if (const auto wrong = CheckJob(cell, asked)) {
      RC_FAIL(*wrong);
    }
  }
}

TEST_CASE("all rules hold under random work and faults") {
  const bool passed = rc::check("random work and faults", [](std::uint8_t s) {
    Cell cell(CellSize(), s);
    cell.Run(seconds(4));
    const auto ticket = cell.SubmitTicket(0, SetupTicket(1));
    cell.Run(seconds(3));
    RC_ASSERT(cell.TicketAnswerTo(ticket) != nullptr);
    rc::state::check(
        Model(), cell,
        rc::state::gen::execOneOfWithArgs<
            SubmitWork, SubmitWork, SubmitBurst, SubmitBurst, CancelWork,
            ChangeConfig, ChangeConfig, DisturbEntry, DisturbEntry,
            DisturbBackend, DisturbPlatform, Wait, Wait>());
    CheckRecovery(&cell);
  });
  std::printf("fuzz: %d commands run, %d requests with revoked keys\n",
              CommandsRun(), RevokedKeyRequests());
  CHECK(passed);
}

}  // namespace
}  // namespace dotterelbarrow::fuzz
