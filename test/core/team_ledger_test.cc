// Tests of the manager's accounting for the quota slices of a team's limit.
#include "dotterelbarrow/core/team_ledger.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core {
namespace {

const base::TeamId kTeam("ovens");

class LimitOfFour {
 public:
  // Sends a request of incarnation `run` of `entry`; returns the slots granted.
  std::int64_t Ask(const std::string& entry, std::uint64_t run, int holding,
                   int wanted) {
    const SliceRequest request{kTeam, ++sequence_, base::Slots(holding),
                               base::Slots(holding), base::Slots(wanted)};
    const base::Resources limit{{}, {}, {}, base::Slots(4)};
    return ledger
        .Request(kTeam, {base::EntryId(entry), base::Incarnation(run)}, 1,
                 request, limit)
        .value();
  }

  TeamLedger ledger;

 private:
  std::uint64_t sequence_ = 0;
};

TEST_CASE("slices are never more than the limit leaves") {
  LimitOfFour f;
  CHECK(f.Ask("e0", 1, 0, 3) == 3);
  CHECK(f.Ask("e1", 1, 0, 3) == 1);

  SUBCASE("slots that a holder released are granted to another") {
    CHECK(f.Ask("e0", 1, 1, 1) == 1);
    CHECK(f.Ask("e1", 1, 1, 3) == 3);
  }
  SUBCASE("a new incarnation doesn't inherit the slice of the previous one") {
    CHECK(f.Ask("e0", 2, 0, 3) == 0);
    CHECK(f.Ask("e0", 2, 0, 3) == 0);
    CHECK(f.ledger.committed(kTeam).slots == base::Slots(4));
  }
  SUBCASE(
      "requests of a previous owner found on a runner count as outstanding") {
    CHECK(f.Ask("e2", 1, 2, 2) == 0);
    CHECK(f.ledger.committed(kTeam).slots == base::Slots(6));
    CHECK(f.Ask("e0", 1, 1, 3) == 1);
  }
}

// Guards against a holder that is granted again, by the answer to an old or
// repeated request, what it was asked to release.
TEST_CASE("a repeated request is answered with the last grant") {
  LimitOfFour f;
  CHECK(f.Ask("e0", 1, 0, 4) == 4);
  const TeamLedger::Holder holder{base::EntryId("e0"), base::Incarnation(1)};
  f.ledger.slices(kTeam).at(holder).told = base::Slots(2);
  const SliceRequest repeated{kTeam, 1, base::Slots(0), base::Slots(0),
                              base::Slots(4)};
  const base::Resources limit{{}, {}, {}, base::Slots(4)};
  CHECK(f.ledger.Request(kTeam, holder, 1, repeated, limit) == base::Slots(2));
  CHECK(f.ledger.committed(kTeam).slots == base::Slots(4));
}

TEST_CASE("a limit below the total demand is divided evenly") {
  LimitOfFour f;
  const base::Resources limit{{}, {}, {}, base::Slots(4)};
  const TeamLedger::Holder first{base::EntryId("e0"), base::Incarnation(1)};
  const TeamLedger::Holder second{base::EntryId("e1"), base::Incarnation(1)};
  CHECK(f.Ask("e0", 1, 0, 4) == 4);
  CHECK(f.Ask("e1", 1, 0, 4) == 0);
  CHECK(f.ledger.FairShares(kTeam, limit).at(first) == base::Slots(2));
  CHECK(f.ledger.FairShares(kTeam, limit).at(second) == base::Slots(2));

  SUBCASE("a holder above its fair share is granted no more than the share") {
    CHECK(f.Ask("e0", 1, 4, 4) == 2);
    CHECK(f.ledger.committed(kTeam).slots == base::Slots(4));
    CHECK(f.Ask("e0", 1, 2, 4) == 2);
    CHECK(f.Ask("e1", 1, 0, 4) == 2);
  }
  SUBCASE("what a holder does not want goes to the others") {
    CHECK(f.Ask("e1", 1, 0, 1) == 0);
    CHECK(f.ledger.FairShares(kTeam, limit).at(first) == base::Slots(3));
  }
  SUBCASE("slots that a gone holder may still use are not divided") {
    f.ledger.slices(kTeam).at(first).gone_since = base::TimePoint();
    CHECK(f.ledger.FairShares(kTeam, limit).at(second) == base::Slots(0));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
