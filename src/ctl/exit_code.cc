// Maps answers to exit codes.
#include "src/ctl/exit_code.h"

namespace dotterelbarrow::ctl {

ExitCode ExitCodeOf(const core::Answer& answer) {
  switch (answer.outcome) {
    case core::Outcome::kDone:
    case core::Outcome::kAccepted:
    case core::Outcome::kRunning:
      return ExitCode::kOk;
    case core::Outcome::kFailed:
    case core::Outcome::kCancelled:
      return ExitCode::kFailed;
    case core::Outcome::kNotRun:
      return ExitCode::kRefused;
    case core::Outcome::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kUnknown;
}

ExitCode ExitCodeOf(core::TicketStatus status) {
  switch (status) {
    case core::TicketStatus::kAccepted:
    case core::TicketStatus::kAlreadyAccepted:
      return ExitCode::kOk;
    case core::TicketStatus::kOvertaken:
    case core::TicketStatus::kNumberTaken:
    case core::TicketStatus::kInvalid:
    case core::TicketStatus::kUnavailable:
      return ExitCode::kRefused;
    case core::TicketStatus::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kUnknown;
}

}  // namespace dotterelbarrow::ctl
