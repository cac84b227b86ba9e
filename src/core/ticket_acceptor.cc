// Processes one ticket at a time: reads the rows, decides, commits, and
// resolves unknown outcomes.
#include "src/core/ticket_acceptor.h"

#include <algorithm>
#include <utility>

#include "src/core/config_rows.h"

namespace dotterelbarrow::core {
namespace {

// How long a ticket may wait for the table before it is answered.
constexpr base::Duration kTicketTimeout = std::chrono::seconds(10);

// The delay between two reads of the table while an outcome is unknown.
constexpr base::Duration kReadBackDelay = std::chrono::milliseconds(200);

constexpr std::size_t kMaxWaitingTickets = 64;
constexpr std::size_t kMaxPendingReads = 64;
constexpr std::uint32_t kMaxConflicts = 16;

}  // namespace

TicketAcceptor::Attempt::Attempt(Submission submission)
    : submission(std::move(submission)) {}

TicketAcceptor::TicketAcceptor(const NodeSettings* settings, Outbox* outbox,
                               Counters* counters, const Membership* membership,
                               ConfigFollower* follower)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      membership_(membership),
      follower_(follower) {}

void TicketAcceptor::OnTicket(const OperatorTicket& input,
                              base::TimePoint now) {
  TicketAnswer refusal;
  refusal.token = input.token;
  std::vector<base::Failure> faults;
  std::optional<config::Ticket> ticket =
      config::ParseTicket(input.ticket, &faults);
  if (!ticket) {
    refusal.status = TicketStatus::kInvalid;
    refusal.detail = config::Describe(faults);
    return Answer(std::move(refusal));
  }
  if (waiting_.size() >= kMaxWaitingTickets) {
    refusal.status = TicketStatus::kUnavailable;
    refusal.detail = "too many tickets are waiting on this entry host";
    return Answer(std::move(refusal));
  }
  Submission submission{input.token, std::move(*ticket), "", "",
                        now + kTicketTimeout};
  submission.text = config::CanonicalText(submission.ticket);
  submission.hash = TicketHash(submission.text);
  waiting_.push_back(std::move(submission));
  StartNext(now);
}

void TicketAcceptor::StartNext(base::TimePoint now) {
  if (attempt_ || waiting_.empty()) {
    return;
  }
  attempt_.emplace(std::move(waiting_.front()));
  waiting_.pop_front();
  ReadHead(now);
}

void TicketAcceptor::Tick(base::TimePoint now) {
  if (attempt_ && now >= attempt_->phase_end) {
    OnPhaseTimeout(now);
  }
  if (attempt_ && now >= attempt_->submission.deadline) {
    if (attempt_->phase == Phase::kCommitting) {
      attempt_->in_doubt_head_version = attempt_->head.version;
    }
    FinishUnavailable("the table didn't answer in time", now);
  }
}

void TicketAcceptor::OnPhaseTimeout(base::TimePoint now) {
  switch (attempt_->phase) {
    case Phase::kReadingHead:
    case Phase::kReadingRows:
      return OnUnavailable(now);
    case Phase::kCommitting:
      return OnUnknown(now);
    case Phase::kPausing:
      return ReadHead(now);
  }
}

void TicketAcceptor::ReadHead(base::TimePoint now) {
  attempt_->phase = Phase::kReadingHead;
  attempt_->phase_end = now + 2 * settings_->call_timeout;
  attempt_->reads.clear();
  attempt_->rows.clear();
  attempt_->unread = {kConfigHeadKey};
  SendReads();
}

void TicketAcceptor::ReadRows(base::TimePoint now) {
  attempt_->phase = Phase::kReadingRows;
  attempt_->phase_end = now + 2 * settings_->call_timeout;
  const config::Ticket& ticket = attempt_->submission.ticket;
  attempt_->unread = {ConfigTicketKey(ticket.number)};
  for (const config::TicketObject& object : ticket.objects) {
    attempt_->unread.push_back(ConfigObjectKey(object.id));
  }
  SendReads();
}

void TicketAcceptor::SendReads() {
  while (!attempt_->unread.empty() &&
         attempt_->reads.size() < kMaxPendingReads) {
    const std::string key = attempt_->unread.back();
    attempt_->unread.pop_back();
    const base::CallId call = outbox_->NextCall();
    attempt_->reads.emplace(call, key);
    // A limit of 1 suffices: a key sorts before all longer keys that start with
    // it.
    outbox_->Send(TableRead{call, key, "", 1});
  }
}

bool TicketAcceptor::OnTableRows(const TableRows& rows, base::TimePoint now) {
  if (!attempt_) {
    return false;
  }
  const auto it = attempt_->reads.find(rows.call);
  if (it == attempt_->reads.end()) {
    return false;
  }
  const std::string key = it->second;
  attempt_->reads.erase(it);
  if (rows.status != TableStatus::kCommitted) {
    OnUnavailable(now);
    return true;
  }
  Row row{key, base::RowVersion(0), ""};
  if (!rows.rows.empty() && rows.rows.front().key == key) {
    row = rows.rows.front();
  }
  if (attempt_->phase == Phase::kReadingHead) {
    OnHead(row, now);
    return true;
  }
  attempt_->rows.emplace(key, std::move(row));
  SendReads();
  if (attempt_->reads.empty()) {
    Decide(now);
  }
  return true;
}

void TicketAcceptor::OnHead(const Row& row, base::TimePoint now) {
  const bool is_absent = row.version == base::RowVersion(0);
  const std::optional<std::uint64_t> version = DecodeNumber(row.value);
  if (!is_absent && !version) {
    return FinishUnavailable(
        "the row config/head in the table holds no version number", now);
  }
  follower_->OnKnownVersion(base::ConfigVersion(version.value_or(0)), now);
  attempt_->head = row;
  ReadRows(now);
}

const Row& TicketAcceptor::TicketRow() const {
  return attempt_->rows.at(ConfigTicketKey(attempt_->submission.ticket.number));
}

base::TicketNumber TicketAcceptor::HighestTicketOfObjects() const {
  base::TicketNumber winner;
  for (const config::TicketObject& object :
       attempt_->submission.ticket.objects) {
    const Row& row = attempt_->rows.at(ConfigObjectKey(object.id));
    const std::uint64_t number = DecodeNumber(row.value).value_or(0);
    winner = std::max(winner, base::TicketNumber(number));
  }
  return winner;
}

void TicketAcceptor::Decide(base::TimePoint now) {
  const Submission& submission = attempt_->submission;
  const Row& ticket_row = TicketRow();
  if (ticket_row.version != base::RowVersion(0)) {
    const std::optional<AcceptedTicket> accepted =
        DecodeAcceptedTicket(ticket_row.value);
    if (!accepted || accepted->hash != submission.hash) {
      return Finish(MakeAnswer(TicketStatus::kNumberTaken,
                               "another ticket was accepted under this number"),
                    now);
    }
    follower_->OnKnownVersion(accepted->version, now);
    TicketAnswer answer = MakeAnswer(attempt_->in_doubt_head_version
                                         ? TicketStatus::kAccepted
                                         : TicketStatus::kAlreadyAccepted,
                                     "");
    answer.version = accepted->version;
    return Finish(std::move(answer), now);
  }
  if (attempt_->in_doubt_head_version &&
      *attempt_->in_doubt_head_version != attempt_->head.version) {
    // The head row had already changed when the ticket's row was read and found
    // absent, so the transaction with the unknown outcome can no longer take
    // effect.
    attempt_->in_doubt_head_version.reset();
  }
  const base::TicketNumber winner = HighestTicketOfObjects();
  if (winner > submission.ticket.number) {
    TicketAnswer answer =
        MakeAnswer(TicketStatus::kOvertaken,
                   "ticket " + std::to_string(winner.value()) +
                       ", which changes one of the same objects, was accepted");
    answer.winner = winner;
    return Finish(std::move(answer), now);
  }
  if (!membership_->holds_lease()) {
    if (attempt_->in_doubt_head_version) {
      return Pause(now);
    }
    return FinishUnavailable("a majority of the entry hosts can't be reached",
                             now);
  }
  const std::uint64_t head = DecodeNumber(attempt_->head.value).value_or(0);
  Commit(base::ConfigVersion(head + 1), now);
}

void TicketAcceptor::Commit(base::ConfigVersion version, base::TimePoint now) {
  const Submission& submission = attempt_->submission;
  TableTransaction transaction;
  transaction.call = outbox_->NextCall();
  const auto write = [&](const std::string& key, base::RowVersion if_version,
                         const std::string& value) {
    transaction.conditions.push_back({key, if_version});
    transaction.writes.push_back({key, value});
  };
  write(kConfigHeadKey, attempt_->head.version,
        std::to_string(version.value()));
  write(ConfigLogKey(version), base::RowVersion(0), submission.text);
  write(ConfigTicketKey(submission.ticket.number), base::RowVersion(0),
        EncodeAcceptedTicket({version, submission.hash}));
  for (const config::TicketObject& object : submission.ticket.objects) {
    const std::string key = ConfigObjectKey(object.id);
    write(key, attempt_->rows.at(key).version,
          std::to_string(submission.ticket.number.value()));
  }
  attempt_->phase = Phase::kCommitting;
  attempt_->phase_end = now + 2 * settings_->call_timeout;
  attempt_->commit = transaction.call;
  attempt_->commit_version = version;
  outbox_->Send(std::move(transaction));
}

bool TicketAcceptor::OnTableResult(const TableResult& result,
                                   base::TimePoint now) {
  if (!attempt_ || attempt_->phase != Phase::kCommitting ||
      result.call != attempt_->commit) {
    return false;
  }
  switch (result.status) {
    case TableStatus::kCommitted:
      OnCommitted(now);
      break;
    case TableStatus::kConflict:
      OnConflict(now);
      break;
    case TableStatus::kUnavailable:
      OnUnavailable(now);
      break;
    case TableStatus::kUnknown:
      OnUnknown(now);
      break;
  }
  return true;
}

void TicketAcceptor::OnCommitted(base::TimePoint now) {
  follower_->OnAccepted({attempt_->commit_version, attempt_->submission.text},
                        now);
  TicketAnswer answer = MakeAnswer(TicketStatus::kAccepted, "");
  answer.version = attempt_->commit_version;
  Finish(std::move(answer), now);
}

void TicketAcceptor::OnConflict(base::TimePoint now) {
  counters_->Increment("ticket_retries", "conflict");
  if (++attempt_->conflicts > kMaxConflicts) {
    return FinishUnavailable(
        "other tickets were accepted first on every attempt", now);
  }
  ReadHead(now);
}

void TicketAcceptor::OnUnknown(base::TimePoint now) {
  counters_->Increment("ticket_retries", "unknown");
  attempt_->in_doubt_head_version = attempt_->head.version;
  Pause(now);
}

void TicketAcceptor::OnUnavailable(base::TimePoint now) {
  if (!attempt_->in_doubt_head_version) {
    return FinishUnavailable("the table is unavailable", now);
  }
  counters_->Increment("ticket_retries", "unavailable");
  Pause(now);
}

void TicketAcceptor::Pause(base::TimePoint now) {
  attempt_->phase = Phase::kPausing;
  attempt_->phase_end = now + kReadBackDelay;
  attempt_->reads.clear();
  attempt_->unread.clear();
}

TicketAnswer TicketAcceptor::MakeAnswer(TicketStatus status,
                                        const std::string& detail) const {
  TicketAnswer answer;
  answer.token = attempt_->submission.token;
  answer.status = status;
  answer.detail = detail;
  return answer;
}

void TicketAcceptor::FinishUnavailable(const std::string& detail,
                                       base::TimePoint now) {
  if (attempt_->in_doubt_head_version) {
    return Finish(MakeAnswer(TicketStatus::kUnknown,
                             detail + "; submit the same ticket again"),
                  now);
  }
  Finish(MakeAnswer(TicketStatus::kUnavailable, detail + "; not accepted"),
         now);
}

void TicketAcceptor::Finish(TicketAnswer answer, base::TimePoint now) {
  Answer(std::move(answer));
  attempt_.reset();
  StartNext(now);
}

void TicketAcceptor::Answer(TicketAnswer answer) {
  counters_->Increment("tickets", ToString(answer.status));
  outbox_->Send(std::move(answer));
}

}  // namespace dotterelbarrow::core
