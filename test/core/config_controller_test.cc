// Tests how entries accept tickets and follow the sequence: races, lost
// answers, stale reads, and entries without a connection to the table or to
// peers.
#include "dotterelbarrow/core/config_controller.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

#include "dotterelbarrow/config/ticket.h"
#include "test/core/config_cell.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns a ticket that assigns each of `keys` to `team`, or revokes the keys
// if `team` is empty.
std::string KeyTicket(int number, const std::vector<std::string>& keys,
                      const std::string& team) {
  std::string objects;
  for (const std::string& key : keys) {
    objects += objects.empty() ? "" : ",";
    objects += R"({"kind":"key","name":")" + key + R"(","state":)" +
               (team.empty() ? "null" : R"({"team":")" + team + "\"}") + "}";
  }
  return "{\"ticket\":" + std::to_string(number) + ",\"objects\":[" + objects +
         "]}";
}

std::string TeamTicket(int number, const std::string& team) {
  return "{\"ticket\":" + std::to_string(number) +
         R"(,"objects":[{"kind":"team","name":")" + team +
         R"(","state":{"organisation":"school"}}]})";
}

// Returns the ticket numbers in the order of the log, one for each version.
std::vector<std::uint64_t> LoggedTickets(const FakeTable& table) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [key, row] : table.rows()) {
    if (key.starts_with("config/log/")) {
      std::vector<base::Failure> faults;
      numbers.push_back(
          config::ParseTicket(row.value, &faults).value().number.value());
    }
  }
  return numbers;
}

using Numbers = std::vector<std::uint64_t>;

TEST_CASE("of tickets for one object, the highest number takes effect") {
  ConfigCell cell;
  ConfigEntry& entry = cell.Add();
  CHECK(cell.SubmitAndRunUntilIdle(entry, KeyTicket(10, {"a", "b"}, "x"))
            .status == TicketStatus::kAccepted);

  SUBCASE(
      "the same ticket again, with reordered objects, is already accepted") {
    const TicketAnswer again =
        cell.SubmitAndRunUntilIdle(entry, KeyTicket(10, {"b", "a"}, "x"));
    CHECK(again.status == TicketStatus::kAlreadyAccepted);
    CHECK(again.version == base::ConfigVersion(1));
  }
  SUBCASE("another ticket with its number is rejected") {
    CHECK(cell.SubmitAndRunUntilIdle(entry, KeyTicket(10, {"a"}, "y")).status ==
          TicketStatus::kNumberTaken);
  }
  SUBCASE("an older ticket that changes one of its objects is overtaken") {
    const TicketAnswer late =
        cell.SubmitAndRunUntilIdle(entry, KeyTicket(9, {"b", "c"}, "y"));
    CHECK(late.status == TicketStatus::kOvertaken);
    CHECK(late.winner == base::TicketNumber(10));
  }
  SUBCASE("an older ticket that changes other objects is accepted") {
    CHECK(cell.SubmitAndRunUntilIdle(entry, KeyTicket(9, {"c"}, "y")).version ==
          base::ConfigVersion(2));
  }
  SUBCASE("an older ticket can't restore a removed object") {
    cell.SubmitAndRunUntilIdle(entry, KeyTicket(12, {"a"}, ""));
    CHECK(cell.SubmitAndRunUntilIdle(entry, KeyTicket(11, {"a"}, "x")).winner ==
          base::TicketNumber(12));
  }
  SUBCASE("an invalid ticket is rejected with the cause") {
    const TicketAnswer answer =
        cell.SubmitAndRunUntilIdle(entry, "{\"ticket\":1}");
    CHECK(answer.status == TicketStatus::kInvalid);
    CHECK(answer.detail.find("objects") != std::string::npos);
  }
}

TEST_CASE("a ticket whose answer is lost appears once in the sequence") {
  ConfigCell cell;
  ConfigEntry& entry = cell.Add();
  ConfigEntry& other = cell.Add();
  const std::string ticket = KeyTicket(5, {"a"}, "x");

  SUBCASE("when the write had taken effect") {
    cell.table.LoseAnswers(1);
    cell.Submit(entry, 1, ticket);
    cell.Run(seconds(1));
    CHECK(entry.answers[1].status == TicketStatus::kAccepted);
    CHECK(LoggedTickets(cell.table) == Numbers{5});
  }
  SUBCASE("when the write arrives late, after another ticket") {
    cell.table.HoldTransactions(1);
    cell.Submit(entry, 1, ticket);
    cell.Settle();
    cell.SubmitAndRunUntilIdle(other, KeyTicket(4, {"b"}, "y"));
    cell.Run(seconds(1));
    CHECK(entry.answers[1].version == base::ConfigVersion(2));
    CHECK(cell.table.ReleaseHeld() == 0);
    CHECK(LoggedTickets(cell.table) == Numbers{4, 5});
  }
  SUBCASE("when the write arrives late, with no other ticket") {
    cell.table.HoldTransactions(1);
    cell.Submit(entry, 1, ticket);
    cell.Run(seconds(1));
    CHECK(entry.answers[1].status == TicketStatus::kAccepted);
    CHECK(cell.table.ReleaseHeld() == 0);
    CHECK(LoggedTickets(cell.table) == Numbers{5});
  }
  SUBCASE("or not at all, once another ticket has changed the head") {
    cell.table.HoldTransactions(1);
    cell.Submit(entry, 1, ticket);
    cell.Settle();
    cell.SubmitAndRunUntilIdle(other, KeyTicket(4, {"b"}, "y"));
    cell.table.RefuseTransactions(1);
    cell.Run(seconds(1));
    CHECK(entry.answers[1].status == TicketStatus::kUnavailable);
    CHECK(cell.table.ReleaseHeld() == 0);
  }
  SUBCASE("and is unknown while its outcome can't be read back") {
    cell.table.LoseAnswers(1);
    cell.Submit(entry, 1, ticket);
    cell.Step(entry);
    while (cell.table.transactions() == 0) {
      cell.Step(entry);
    }
    entry.is_cut_off = true;
    cell.Run(seconds(11));
    CHECK(entry.answers[1].status == TicketStatus::kUnknown);
    entry.is_cut_off = false;
    CHECK(cell.SubmitAndRunUntilIdle(entry, ticket).status ==
          TicketStatus::kAlreadyAccepted);
  }
}

TEST_CASE("kUnavailable means that the ticket is certain not to be accepted") {
  ConfigCell cell;
  SUBCASE("while the table refuses") {
    ConfigEntry& entry = cell.Add();
    cell.table.set_down(true);
    CHECK(cell.SubmitAndRunUntilIdle(entry, KeyTicket(1, {"a"}, "x")).status ==
          TicketStatus::kUnavailable);
    CHECK(cell.table.rows().empty());
  }
  SUBCASE("from an entry that no majority has acknowledged") {
    ConfigEntry& entry = cell.Add(/*lease=*/false);
    CHECK(cell.SubmitAndRunUntilIdle(entry, KeyTicket(1, {"a"}, "x")).status ==
          TicketStatus::kUnavailable);
    CHECK(cell.table.transactions() == 0);
  }
}

// Checks every answer against the log, and the log against the ticket numbers.
void CheckRace(const ConfigCell& cell,
               const std::map<std::uint64_t, std::uint64_t>& number_of_token) {
  const Numbers log = LoggedTickets(cell.table);
  const std::set<std::uint64_t> logged(log.begin(), log.end());
  CHECK(logged.size() == log.size());
  for (const auto& entry : cell.entries) {
    for (const auto& [token, answer] : entry->answers) {
      const bool is_in = logged.contains(number_of_token.at(token));
      switch (answer.status) {
        case TicketStatus::kAccepted:
        case TicketStatus::kAlreadyAccepted:
        case TicketStatus::kNumberTaken:
          CHECK(is_in);
          break;
        case TicketStatus::kUnknown:
          break;
        default:
          CHECK_FALSE(is_in);
      }
    }
    CHECK(entry->config->catalogue().version().value() == log.size());
  }
}

TEST_CASE("two entries with concurrent tickets for the same keys agree") {
  const std::vector<std::string> names = {"a", "b", "c"};
  int unknown_outcomes = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto chance = [&](unsigned percent) {
      return random() % 100 < percent;
    };
    ConfigCell cell;
    cell.Add();
    cell.Add();
    std::map<std::uint64_t, std::uint64_t> number_of_token;
    for (std::uint64_t token = 1; token <= 24; ++token) {
      const int number = 1 + static_cast<int>(random() % 16);
      number_of_token[token] = number;
      // A ticket number always has the same text.
      const std::string ticket =
          KeyTicket(number, {names[number % 3], names[(number + 1) % 3]},
                    "t" + std::to_string(number));
      cell.Submit(*cell.entries[random() % 2], token, ticket);
      if (chance(30)) {
        cell.table.LoseAnswers(1);
      }
      if (chance(20)) {
        cell.table.HoldTransactions(1);
      }
      for (unsigned steps = random() % 12; steps > 0; --steps) {
        cell.Step(*cell.entries[random() % 2]);
      }
      if (chance(30)) {
        cell.table.ReleaseHeld();
      }
      if (chance(30)) {
        cell.now += milliseconds(200);
        for (auto& entry : cell.entries) {
          entry->config->Tick(cell.now);
        }
      }
    }
    cell.Run(seconds(5));
    cell.table.ReleaseHeld();
    cell.Run(seconds(5));
    CheckRace(cell, number_of_token);
    for (const auto& entry : cell.entries) {
      unknown_outcomes +=
          static_cast<int>(entry->counters.value("ticket_retries", "unknown"));
    }
    // For each key the ticket numbers increase, so the highest accepted one is
    // in force.
    std::map<std::string, std::uint64_t> latest;
    for (const std::uint64_t number : LoggedTickets(cell.table)) {
      for (const std::string& key :
           {names[number % 3], names[(number + 1) % 3]}) {
        CHECK(latest[key] < number);
        latest[key] = number;
      }
    }
  }
  CHECK(unknown_outcomes > 0);
}

TEST_CASE("the configuration in force never reverts") {
  ConfigCell cell;
  ConfigEntry& entry = cell.Add();
  ConfigEntry& follower = cell.Add(/*lease=*/false);
  cell.SubmitAndRunUntilIdle(entry, TeamTicket(1, "x"));
  cell.SubmitAndRunUntilIdle(entry, KeyTicket(2, {"a"}, "x"));
  cell.Run(seconds(2));
  CHECK(follower.config->catalogue()
            .FindTeamByKey(base::ApiKey("a"))
            .has_value());

  SUBCASE("when the table returns stale rows") {
    cell.table.FreezeReads();
    // The entry ignores stale rows, but may still apply changes from a peer.
    follower.config->OnPush(
        entry.settings.self,
        {{{base::ConfigVersion(3), KeyTicket(3, {"a"}, "")}}}, cell.now);
    cell.Run(milliseconds(3000));
    CHECK(follower.config->catalogue().version() == base::ConfigVersion(3));
    CHECK_FALSE(follower.config->catalogue()
                    .FindTeamByKey(base::ApiKey("a"))
                    .has_value());
    CHECK(follower.counters.value("config_reads", "stale") > 0);
    cell.Run(seconds(3));
    CHECK_FALSE(follower.config->IsConfirmed(cell.now));
  }
  SUBCASE("when a peer skips a version or repeats one") {
    follower.config->OnPush(
        entry.settings.self,
        {{{base::ConfigVersion(1), KeyTicket(1, {"a"}, "")},
          {base::ConfigVersion(3), TeamTicket(3, "y")},
          {base::ConfigVersion(5), KeyTicket(5, {"a"}, "")}}},
        cell.now);
    CHECK(follower.config->catalogue().version() == base::ConfigVersion(3));
    CHECK(follower.config->catalogue()
              .FindTeamByKey(base::ApiKey("a"))
              .has_value());
  }
}

TEST_CASE("an entry is confirmed only while it knows the newest version") {
  ConfigCell cell;
  ConfigEntry& writer = cell.Add();
  cell.SubmitAndRunUntilIdle(writer, TeamTicket(1, "x"));

  SUBCASE("not before it has read the sequence, even with a lease") {
    ConfigEntry& fresh = cell.Add();
    fresh.is_cut_off = true;
    cell.Run(seconds(2));
    CHECK(fresh.membership->holds_lease());
    CHECK_FALSE(fresh.config->IsConfirmed(cell.now));
    fresh.is_cut_off = false;
    cell.Run(seconds(2));
    CHECK(fresh.config->IsConfirmed(cell.now));
  }
  SUBCASE("without table and peers, for the trust period") {
    ConfigEntry& isolated = cell.Add(/*lease=*/false);
    cell.Run(seconds(2));
    isolated.is_cut_off = true;
    cell.Run(seconds(2));
    CHECK(isolated.config->IsConfirmed(cell.now));
    cell.Run(seconds(3));
    CHECK_FALSE(isolated.config->IsConfirmed(cell.now));
  }
  SUBCASE("with the table unavailable, for as long as it holds its lease") {
    cell.Run(seconds(2));
    cell.table.set_down(true);
    cell.Run(seconds(60));
    CHECK(writer.config->IsConfirmed(cell.now));
    writer.config->OnPeerVersion(base::EntryId("e9"), base::ConfigVersion(9),
                                 cell.now);
    CHECK_FALSE(writer.config->IsConfirmed(cell.now));
  }
}

TEST_CASE("an entry that can't reach the table pulls a version from a peer") {
  ConfigCell cell;
  ConfigEntry& writer = cell.Add();
  ConfigEntry& reader = cell.Add();
  cell.SubmitAndRunUntilIdle(writer, TeamTicket(1, "x"));
  cell.Run(seconds(2));
  reader.is_cut_off = true;
  for (int number = 2; number <= 40; ++number) {
    cell.SubmitAndRunUntilIdle(writer, KeyTicket(number, {"a"}, "x"));
  }
  reader.config->OnPeerVersion(writer.settings.self, base::ConfigVersion(40),
                               cell.now);
  cell.Run(milliseconds(400));
  CHECK(reader.config->catalogue().version() == base::ConfigVersion(1));
  cell.Run(milliseconds(200));
  CHECK(reader.config->catalogue().version() == base::ConfigVersion(40));
  CHECK(reader.config->IsConfirmed(cell.now));
}

}  // namespace
}  // namespace dotterelbarrow::core
