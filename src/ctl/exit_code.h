// The exit codes of dotterelctl. They must not change, since scripts depend on
// them.
#ifndef DOTTERELBARROW_SRC_CTL_EXIT_CODE_H_
#define DOTTERELBARROW_SRC_CTL_EXIT_CODE_H_

#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::ctl {

enum class ExitCode {
  kOk = 0,
  kUsage = 2,        // The command line, or a file named on it, is invalid.
  kRefused = 3,      // Rejected; nothing was run or changed.
  kFailed = 4,       // The work ran, and failed or was cancelled.
  kUnknown = 5,      // Whether the call took effect is unknown.
  kUnreachable = 6,  // No entry host answered; nothing was run or changed.
};

// Return the exit code for the answer to a request or a status query, and for
// the answer to a ticket.
ExitCode ExitCodeOf(const core::Answer& answer);
ExitCode ExitCodeOf(core::TicketStatus status);

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_EXIT_CODE_H_
