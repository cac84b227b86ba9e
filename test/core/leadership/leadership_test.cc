// Tests of cell ownership: entry hosts compete for the ownership record.
#include "dotterelbarrow/core/leadership/leadership.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::leadership {
namespace {

using std::chrono::milliseconds;

// A fake of the store's row. A write succeeds only if its expected version is
// the current one.
class HeadRow {
 public:
  bool Write(const OwnershipWrite& write) {
    if (write.expected != version_) {
      return false;
    }
    head_ = write.record;
    version_ = version_.next();
    return true;
  }
  const std::optional<OwnershipRecord>& head() const { return head_; }
  base::RowVersion version() const { return version_; }

 private:
  std::optional<OwnershipRecord> head_;
  base::RowVersion version_;
};

Leadership MakeHost(const char* name, std::uint64_t incarnation = 1) {
  LeadershipSettings settings;
  settings.self = base::EntryId(name);
  settings.incarnation = base::Incarnation(incarnation);
  settings.address = std::string(name) + ":1";
  return Leadership(settings);
}

struct Cell {
  HeadRow row;
  base::TimePoint now = base::TimePoint(std::chrono::seconds(100));

  void Read(Leadership* host, milliseconds latency = milliseconds(4)) {
    host->OnRead(row.head(), row.version(), latency, now);
  }
  // Applies the write of a host to the row and reports the outcome to the host.
  void Apply(Leadership* host, const OwnershipWrite& write) {
    if (row.Write(write)) {
      host->OnWritten(row.version(), now);
    } else {
      host->OnConflict(row.head(), row.version(), now);
    }
  }
  bool Claim(Leadership* host) {
    const auto claim = host->BeginClaim(now);
    if (claim) {
      Apply(host, *claim);
    }
    return host->role() == Role::kOwner;
  }
  // Lets `duration` pass while `host` reads the record every 300 ms, as
  // followers do.
  void Watch(Leadership* host, milliseconds duration,
             milliseconds latency = milliseconds(4)) {
    for (milliseconds passed{0}; passed < duration;
         passed += milliseconds(300)) {
      now += milliseconds(300);
      Read(host, latency);
    }
  }
};

TEST_CASE("a cell without an owner goes to the host that writes first") {
  Cell cell;
  Leadership first = MakeHost("first");
  Leadership second = MakeHost("second");
  cell.Read(&first);
  cell.Read(&second);
  const auto late_claim = second.BeginClaim(cell.now);
  REQUIRE(cell.Claim(&first));
  CHECK(first.token() == FencingToken(scheduler::kTokensPerTerm));
  cell.Apply(&second, *late_claim);
  CHECK(second.role() == Role::kFollower);
  CHECK(second.owner()->holder == base::EntryId("first"));
}

TEST_CASE("an owner and a follower") {
  Cell cell;
  Leadership owner = MakeHost("owner");
  Leadership other = MakeHost("other");
  cell.Read(&owner);
  REQUIRE(cell.Claim(&owner));
  cell.Read(&other);

  SUBCASE("an owner that writes is not replaced") {
    for (int i = 0; i < 20; ++i) {
      cell.Apply(&owner, owner.BeginWrite(cell.now));
      cell.Watch(&other, milliseconds(300));
      CHECK_FALSE(other.BeginClaim(cell.now));
    }
  }
  SUBCASE("an owner that stops writing is replaced, under a higher token") {
    cell.Watch(&other, milliseconds(1500));
    REQUIRE(cell.Claim(&other));
    CHECK(other.token() == FencingToken(2 * scheduler::kTokensPerTerm));

    SUBCASE(
        "and its later writes fail although it believes that it is the owner") {
      const OwnershipWrite write = owner.BeginWrite(cell.now);
      CHECK_FALSE(cell.row.Write(write));
      CHECK(owner.OnConflict(cell.row.head(), cell.row.version(), cell.now) ==
            ConflictOutcome::kReplaced);
      CHECK(owner.role() == Role::kFollower);
      CHECK_FALSE(owner.HoldsOwnershipLease(cell.now));
    }
  }
  SUBCASE("no owner is replaced after a gap in the reads of the record") {
    cell.now += std::chrono::seconds(5);
    cell.Read(&other);
    CHECK_FALSE(other.BeginClaim(cell.now));
  }
  SUBCASE("an owner is replaced later if reads of the store are slow") {
    cell.Watch(&other, milliseconds(1500), milliseconds(270));
    CHECK_FALSE(other.BeginClaim(cell.now));
  }
  SUBCASE("an owner that neither writes nor answers calls is replaced sooner") {
    cell.Watch(&other, milliseconds(900));
    CHECK_FALSE(other.BeginClaim(cell.now));
    other.set_owner_unresponsive(true);
    CHECK(cell.Claim(&other));
  }
  SUBCASE("an owner that writes but answers no calls is not replaced") {
    for (int i = 0; i < 10; ++i) {
      cell.Apply(&owner, owner.BeginWrite(cell.now));
      cell.Watch(&other, milliseconds(300));
      other.set_owner_unresponsive(true);
      CHECK_FALSE(other.BeginClaim(cell.now));
    }
  }
  SUBCASE("a host that the store rejects learns the next owner from others") {
    const OwnershipRecord next{FencingToken(2 * scheduler::kTokensPerTerm),
                               base::EntryId("next"), base::Incarnation(1),
                               "10.0.0.9:1"};
    other.OnPeerRecord(next);
    CHECK(other.owner()->holder == base::EntryId("next"));
    SUBCASE("and doesn't claim the cell because of that") {
      CHECK_FALSE(other.BeginClaim(cell.now));
    }
    SUBCASE("and ignores a report of an earlier owner") {
      other.OnPeerRecord({FencingToken(1), base::EntryId("owner"),
                          base::Incarnation(1), "10.0.0.1:1"});
      cell.Read(&other);
      CHECK(other.owner()->holder == base::EntryId("next"));
    }
    SUBCASE("and follows the store again once it shows a newer owner") {
      Leadership third = MakeHost("third");
      cell.Read(&third);
      third.OnOwnerReplaceable();
      REQUIRE(cell.Claim(&third));
      cell.Read(&other);
      CHECK(other.owner()->holder == base::EntryId("third"));
    }
  }
  SUBCASE("an owner that refuses connections is replaced at once") {
    other.OnOwnerReplaceable();
    CHECK(cell.Claim(&other));
  }
  SUBCASE("an owner whose process has ended is replaced at once") {
    other.OnOwnerStopped(owner.token());
    CHECK(cell.Claim(&other));
  }
  SUBCASE("a host with a claim delay waits before it claims a free cell") {
    other.set_claim_delay(milliseconds(300));
    other.OnOwnerReplaceable();
    CHECK_FALSE(cell.Claim(&other));
    cell.now += milliseconds(300);
    CHECK(cell.Claim(&other));
  }
  SUBCASE("a restarted host replaces its own earlier process at once") {
    Leadership restarted = MakeHost("owner", 2);
    cell.Read(&restarted);
    CHECK(cell.Claim(&restarted));
  }
  SUBCASE("a cell whose owner resigned is free") {
    cell.Apply(&owner, owner.BeginResignation(cell.now));
    CHECK(owner.role() == Role::kFollower);
    cell.Read(&other);
    CHECK(cell.Claim(&other));
  }
  SUBCASE("a write whose answer was lost takes effect once") {
    const OwnershipWrite write = owner.BeginWrite(cell.now);
    REQUIRE(cell.row.Write(write));
    // The retry finds the version that the first attempt wrote.
    CHECK_FALSE(cell.row.Write(write));
    CHECK(owner.OnConflict(cell.row.head(), cell.row.version(), cell.now) ==
          ConflictOutcome::kTookEffect);
    CHECK(owner.role() == Role::kOwner);
    cell.Apply(&owner, owner.BeginWrite(cell.now));
    CHECK(owner.role() == Role::kOwner);
  }
  SUBCASE("an owner without a confirmed write must stop commanding workers") {
    const base::Duration authority = LeadershipSettings().ownership_lease;
    CHECK(owner.HoldsOwnershipLease(cell.now + authority - milliseconds(100)));
    CHECK_FALSE(owner.HoldsOwnershipLease(cell.now + authority));
  }
}

// Guards against a next owner that takes the leases of silent workers for
// expired while the previous owner, cut off and alive, renews them.
TEST_CASE("what proves that the previous owner has stopped") {
  Cell cell;
  Leadership owner = MakeHost("owner");
  Leadership other = MakeHost("other");
  cell.Read(&owner);
  REQUIRE(cell.Claim(&owner));
  CHECK(owner.has_previous_owner_stopped());  // There was none.
  cell.Read(&other);

  SUBCASE("not that it refuses connections or offers the cell") {
    other.OnOwnerReplaceable();
    REQUIRE(cell.Claim(&other));
    CHECK_FALSE(other.has_previous_owner_stopped());

    SUBCASE("but that it follows this term") {
      other.OnFollower(base::EntryId("owner"), other.token());
      CHECK(other.has_previous_owner_stopped());
    }
    SUBCASE("and not that another host follows this term") {
      other.OnFollower(base::EntryId("third"), other.token());
      CHECK_FALSE(other.has_previous_owner_stopped());
    }
    SUBCASE("and not that it followed an earlier term, by a delayed message") {
      other.OnFollower(base::EntryId("owner"),
                       FencingToken(owner.token().value() - 1));
      CHECK_FALSE(other.has_previous_owner_stopped());
    }
    SUBCASE("and not a message that doesn't tell which term it is for") {
      other.OnFollower(base::EntryId("owner"), std::nullopt);
      CHECK_FALSE(other.has_previous_owner_stopped());
    }
    SUBCASE("but that it is seen to have stopped, also after the claim") {
      other.OnOwnerStopped(owner.token());
      CHECK(other.has_previous_owner_stopped());
    }
    SUBCASE("and not that an earlier owner has stopped") {
      other.OnOwnerStopped(FencingToken(1));
      CHECK_FALSE(other.has_previous_owner_stopped());
    }
  }
  SUBCASE("not that it stopped writing") {
    cell.Watch(&other, milliseconds(1500));
    REQUIRE(cell.Claim(&other));
    CHECK_FALSE(other.has_previous_owner_stopped());
  }
  SUBCASE("not that its resignation is stored: it may not know that yet") {
    REQUIRE(cell.row.Write(owner.BeginResignation(cell.now)));
    CHECK(owner.HoldsOwnershipLease(cell.now));
    cell.Read(&other);
    REQUIRE(cell.Claim(&other));
    CHECK_FALSE(other.has_previous_owner_stopped());
  }
  SUBCASE("that another process answers in its place") {
    other.OnOwnerStopped(owner.token());
    REQUIRE(cell.Claim(&other));
    CHECK(other.has_previous_owner_stopped());

    SUBCASE("which says nothing about the next owner") {
      Leadership third = MakeHost("third");
      cell.Read(&third);
      third.OnOwnerStopped(owner.token());
      CHECK_FALSE(cell.Claim(&third));
      third.OnOwnerReplaceable();
      REQUIRE(cell.Claim(&third));
      CHECK_FALSE(third.has_previous_owner_stopped());
    }
  }
  SUBCASE("that this host was the previous owner") {
    Leadership restarted = MakeHost("owner", 2);
    cell.Read(&restarted);
    REQUIRE(cell.Claim(&restarted));
    CHECK(restarted.has_previous_owner_stopped());
  }
  SUBCASE("and a late report of an earlier owner doesn't take that back") {
    other.OnOwnerStopped(owner.token());
    other.OnOwnerStopped(FencingToken(1));
    REQUIRE(cell.Claim(&other));
    CHECK(other.has_previous_owner_stopped());
  }
}

// Guards against a third owner that waits for the leases of the second one
// only, while the first one, cut off and alive, still grants leases.
TEST_CASE("a record tells until when earlier owners may grant leases") {
  constexpr std::int64_t kStoreMs = 5'000'000;
  const auto lease_ms =
      scheduler::kOwnershipLease / std::chrono::milliseconds(1);
  Cell cell;
  Leadership first = MakeHost("first");
  Leadership second = MakeHost("second");
  Leadership third = MakeHost("third");
  // The store's clock is read 10 ms after the claimant asked.
  const auto read = [&cell](Leadership* host, std::int64_t store_ms) {
    host->OnStoreClock(store_ms, cell.now - milliseconds(10));
    cell.Read(host);
  };
  const auto until = [&cell] {
    return cell.row.head()->earlier_owners_until_ms;
  };
  read(&first, kStoreMs);
  REQUIRE(cell.Claim(&first));
  CHECK(until() == 0);  // There was none.
  read(&second, kStoreMs);
  second.OnOwnerReplaceable();
  REQUIRE(cell.Claim(&second));
  const std::int64_t until_first = kStoreMs + 10 + lease_ms;
  CHECK(until() == until_first);

  SUBCASE("in each write of an owner that hasn't settled their workers") {
    cell.Apply(&second, second.BeginWrite(cell.now));
    CHECK(until() == until_first);
    cell.Apply(&second, second.BeginResignation(cell.now));
    CHECK(until() == until_first);
  }
  SUBCASE("until an owner has settled their workers") {
    const OwnershipWrite in_flight = second.BeginWrite(cell.now);
    second.OnEarlierOwnersSettled();
    cell.Apply(&second, in_flight);
    CHECK(until() == until_first);
    cell.Apply(&second, second.BeginWrite(cell.now));
    CHECK(until() == 0);
  }
  SUBCASE("also through a second owner that stops two seconds later") {
    cell.now += std::chrono::seconds(2);
    read(&third, kStoreMs + 2000);
    third.OnOwnerStopped(second.token());
    REQUIRE(cell.Claim(&third));
    CHECK(third.has_previous_owner_stopped());
    CHECK(third.previous_owner()->earlier_owners_until_ms == until_first);
    CHECK(until() == until_first);

    SUBCASE("and no longer than that is passed on") {
      cell.now += std::chrono::seconds(6);
      read(&first, kStoreMs + 8000);
      first.OnConflict(cell.row.head(), cell.row.version(), cell.now);
      first.OnOwnerStopped(third.token());
      REQUIRE(cell.Claim(&first));
      CHECK(until() == kStoreMs + 8010);
    }
  }
}

TEST_CASE(
    "a claim whose answer was lost is recognised when its retry conflicts") {
  Cell cell;
  Leadership host = MakeHost("host");
  cell.Read(&host);
  const auto claim = host.BeginClaim(cell.now);
  REQUIRE(cell.row.Write(*claim));
  CHECK_FALSE(cell.row.Write(*claim));
  CHECK(host.OnConflict(cell.row.head(), cell.row.version(), cell.now) ==
        ConflictOutcome::kTookEffect);
  CHECK(host.role() == Role::kOwner);
}

// Guards against workers that reject a new owner: tokens of a term stay below
// those of later terms, also across versions that hold one token per term, the
// successor of the recorded one.
TEST_CASE("the tokens of a term are between those of the terms around it") {
  Cell cell;
  const OwnershipRecord earlier{FencingToken(7),
                                base::EntryId("earlier"),
                                base::Incarnation(1),
                                "10.0.0.1:1",
                                3,
                                true};
  REQUIRE(cell.row.Write({cell.row.version(), earlier}));
  Leadership host = MakeHost("host");
  cell.Read(&host);
  REQUIRE(cell.Claim(&host));
  const auto token_at = [&host](std::uint64_t earlier_incarnations) {
    return scheduler::TokenFor(
        {.id = {}, .address = {}, .earlier_incarnations = earlier_incarnations},
        host.token());
  };
  CHECK(token_at(0) == FencingToken(8));
  CHECK(token_at(1) == FencingToken(9));
  // A worker that restarts without end.
  CHECK(token_at(1'000'000) == host.token());
  CHECK(cell.row.head()->token == host.token());
}

TEST_CASE("encoding and decoding of ownership records") {
  base::Failure reason;
  const OwnershipRecord head{FencingToken(7),
                             base::EntryId("a"),
                             base::Incarnation(9),
                             "10.0.0.1:1",
                             3,
                             true,
                             5'000'000};
  CHECK(DecodeOwnershipRecord(EncodeOwnershipRecord(head), &reason) == head);
  // Records of earlier versions don't tell until when earlier owners granted
  // leases.
  OwnershipRecord without = head;
  without.earlier_owners_until_ms = 0;
  const std::string earlier_version = EncodeOwnershipRecord(without);
  CHECK(earlier_version.find("earlier_owners") == std::string::npos);
  CHECK(DecodeOwnershipRecord(earlier_version, &reason) == without);
  for (const char* text :
       {"", "[]", "{}", R"({"token":"7"})",
        R"({"token":7,"holder":"a","incarnation":9,"address":"b","sequence":3,)"
        R"("resigned":true,"earlier_owners_until_ms":"5"})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeOwnershipRecord(text, &reason));
  }
}

// Guards against a worker that sees a lower token after the division of a cell.
TEST_CASE("the first owner of a shard holds higher tokens than those before") {
  LeadershipSettings settings;
  settings.self = base::EntryId("a");
  settings.last_token = FencingToken(5 * scheduler::kTokensPerTerm);
  Leadership host(settings);
  Cell cell;
  cell.Read(&host);
  REQUIRE(cell.Claim(&host));
  CHECK(host.token() == FencingToken(6 * scheduler::kTokensPerTerm));
  CHECK(scheduler::TokenFor({}, host.token()) > settings.last_token);
}

}  // namespace
}  // namespace dotterelbarrow::core::leadership
