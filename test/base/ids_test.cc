// Tests of identifiers, quantities and hashing.
#include "dotterelbarrow/base/ids.h"

#include <doctest/doctest.h>

#include <set>

#include "dotterelbarrow/base/hash.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::base {
namespace {

TEST_CASE("epochs are ordered by counter, then by holder") {
  const Epoch first{1, EntryId("b")};
  SUBCASE("a higher counter wins whatever the holder") {
    CHECK(first < Epoch{2, EntryId("a")});
  }
  SUBCASE("an equal counter is decided by the holder's name") {
    CHECK(Epoch{1, EntryId("a")} < first);
  }
}

TEST_CASE("resources fit only where every dimension fits") {
  const Resources available{Millicores(1000), Mebibytes(64), Accelerators(0),
                            Slots(0)};
  CHECK(Resources{Millicores(1000), Mebibytes(64), {}, {}}.FitsIn(available));
  CHECK_FALSE(
      Resources{Millicores(1), Mebibytes(65), {}, {}}.FitsIn(available));
  CHECK_FALSE(Resources{{}, {}, Accelerators(1), {}}.FitsIn(available));
  CHECK(DominantFraction({Millicores(500), Mebibytes(16), {}, {}}, available) ==
        doctest::Approx(0.5));
}

TEST_CASE("no two attempts of a job's tasks share a hash") {
  const JobId job{TeamId("ovens"), RequestId("nightly")};
  std::set<std::size_t> hashes;
  for (std::uint32_t index = 0; index < 100; ++index) {
    for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
      hashes.insert(std::hash<TaskId>()(TaskId{job, index, attempt}));
    }
  }
  CHECK(hashes.size() == 10000);
}

TEST_CASE("rendezvous weights move only the subjects of a lost candidate") {
  const auto winner = [](const std::string& subject, int candidates) {
    int best = 0;
    for (int i = 1; i < candidates; ++i) {
      const auto weight = [&](int c) {
        return RendezvousSubject(subject).Weight("entry" + std::to_string(c));
      };
      if (weight(i) > weight(best)) {
        best = i;
      }
    }
    return best;
  };
  for (int s = 0; s < 200; ++s) {
    const std::string subject = "shard" + std::to_string(s);
    const int before = winner(subject, 7);
    if (before != 6) {
      CHECK(winner(subject, 6) == before);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::base
