// Accepts tickets with one conditional transaction each. If a transaction gets
// no answer, its outcome is determined by reading the rows back.
//
// Tickets are processed one at a time. For each, the acceptor reads the head of
// the sequence, and then the ticket's own row and the rows of the objects that
// the ticket changes. If it accepts the ticket, it writes everything in one
// transaction, on condition that all these rows are unchanged. Whatever happens
// to the answer, a ticket never appears in the sequence twice, because the
// transaction requires that the ticket's row is absent.
#ifndef DOTTERELBARROW_SRC_CORE_TICKET_ACCEPTOR_H_
#define DOTTERELBARROW_SRC_CORE_TICKET_ACCEPTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/ticket.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"
#include "src/core/config_follower.h"

namespace dotterelbarrow::core {

class TicketAcceptor {
 public:
  // All pointers must outlive the acceptor.
  TicketAcceptor(const NodeSettings* settings, Outbox* outbox,
                 Counters* counters, const Membership* membership,
                 ConfigFollower* follower);

  void Tick(base::TimePoint now);
  // Exactly one TicketAnswer is sent for each call.
  void OnTicket(const OperatorTicket& input, base::TimePoint now);
  // Each returns whether the result answers a call of this acceptor.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnTableRows(const TableRows& rows, base::TimePoint now);

  bool is_idle() const { return !attempt_ && waiting_.empty(); }

 private:
  struct Submission {
    CallerToken token;
    config::Ticket ticket;
    // The canonical text and its hash.
    std::string text;
    std::string hash;
    base::TimePoint deadline;
  };

  enum class Phase {
    kReadingHead,
    kReadingRows,
    kCommitting,
    kPausing,  // Until `phase_end`, then reads the head again.
  };

  // The ticket that is being processed.
  struct Attempt {
    explicit Attempt(Submission submission);

    Submission submission;
    Phase phase = Phase::kReadingHead;
    base::TimePoint phase_end;
    // The head row as read; version 0 if the row is absent.
    Row head;
    // The other rows as read, by key; an absent row has version 0.
    std::map<std::string, Row> rows;
    // Keys still to be read, and the keys of pending reads.
    std::vector<std::string> unread;
    std::map<base::CallId, std::string> reads;
    base::CallId commit;
    base::ConfigVersion commit_version;
    std::uint32_t conflicts = 0;
    // Set while the outcome of a transaction is unknown: the version of the
    // head row that it requires. Once the head row has another version, that
    // transaction can no longer take effect.
    std::optional<base::RowVersion> in_doubt_head_version;
  };

  void StartNext(base::TimePoint now);
  void ReadHead(base::TimePoint now);
  void ReadRows(base::TimePoint now);
  void SendReads();
  void OnHead(const Row& row, base::TimePoint now);
  void OnPhaseTimeout(base::TimePoint now);
  // Called when a read failed or the table refused the transaction.
  void OnUnavailable(base::TimePoint now);
  void OnUnknown(base::TimePoint now);
  void OnConflict(base::TimePoint now);
  void Pause(base::TimePoint now);
  // Answers or commits the ticket, once all rows have been read.
  void Decide(base::TimePoint now);
  void Commit(base::ConfigVersion version, base::TimePoint now);
  void OnCommitted(base::TimePoint now);
  // Returns the highest number among the latest accepted tickets of the objects
  // that the ticket changes.
  base::TicketNumber HighestTicketOfObjects() const;
  const Row& TicketRow() const;

  TicketAnswer MakeAnswer(TicketStatus status, const std::string& detail) const;
  // Answers the current ticket and starts the next one.
  void Finish(TicketAnswer answer, base::TimePoint now);
  // Answers kUnavailable, or kUnknown if a transaction may have taken effect or
  // still can.
  void FinishUnavailable(const std::string& detail, base::TimePoint now);
  void Answer(TicketAnswer answer);

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const Membership* membership_;
  ConfigFollower* follower_;
  std::optional<Attempt> attempt_;
  std::deque<Submission> waiting_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_TICKET_ACCEPTOR_H_
