// The requests of callers and operators to an entry host, and the answers to
// them.
#ifndef DOTTERELBARROW_CORE_CALLER_MESSAGES_H_
#define DOTTERELBARROW_CORE_CALLER_MESSAGES_H_

#include <cstdint>
#include <string>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// Identifies a caller's unanswered request within this process.
using CallerToken = base::NumberId<struct CallerTokenTag>;

struct CallerRequest {
  CallerToken token;
  WorkRequest request;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

// Queries or cancels a job. The API key determines the team.
struct CallerJobCommand {
  enum class Verb { kStatus, kCancel };
  CallerToken token;
  Verb verb = Verb::kStatus;
  base::ApiKey key;
  base::RequestId request;

  friend bool operator==(const CallerJobCommand&,
                         const CallerJobCommand&) = default;
};

struct CallerAnswer {
  CallerToken token;
  Answer answer;

  friend bool operator==(const CallerAnswer&, const CallerAnswer&) = default;
};

// A configuration change ticket as JSON text; see config/ticket.h.
struct OperatorTicket {
  CallerToken token;
  std::string ticket;

  friend bool operator==(const OperatorTicket&,
                         const OperatorTicket&) = default;
};

enum class TicketStatus {
  kAccepted,         // Stored; in force on all entry hosts within seconds.
  kAlreadyAccepted,  // The same ticket was accepted before.
  kOvertaken,        // A newer ticket changed one of its objects.
  kNumberTaken,      // Another ticket has this number.
  kInvalid,          // The text is not a valid ticket; nothing was changed.
  kUnavailable,      // Not accepted: the table or the peers are unavailable.
  kUnknown,          // May have been accepted; submit the same ticket again.
};

struct TicketAnswer {
  CallerToken token;
  TicketStatus status = TicketStatus::kUnknown;
  base::ConfigVersion version;
  // With kOvertaken, the newer ticket.
  base::TicketNumber winner;
  std::string detail;

  friend bool operator==(const TicketAnswer&, const TicketAnswer&) = default;
};

const char* ToString(TicketStatus status);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_CALLER_MESSAGES_H_
