// Tests of Membership: which members are alive, which may grant leases, and
// which are certain to have lost them.
#include "dotterelbarrow/core/membership.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Several members in virtual time. Messages are delivered at once, unless the
// link is cut or the receiver is paused.
class Cell {
 public:
  explicit Cell(int size) {
    for (int i = 0; i < size; ++i) {
      entries_.push_back({Name(i), "", base::AvailabilityZone("az"), {}});
    }
    for (int i = 0; i < size; ++i) {
      Start(i);
    }
  }

  static base::EntryId Name(int i) {
    return base::EntryId("e" + std::to_string(i));
  }
  Membership& at(int i) { return *members_.at(i)->membership; }
  base::TimePoint now() const { return now_; }

  void Start(int i) {
    auto member = std::make_unique<Member>();
    member->settings.self = Name(i);
    member->settings.incarnation = base::Incarnation(++incarnations_);
    member->settings.entries = entries_;
    member->membership =
        std::make_unique<Membership>(&member->settings, &member->outbox, now_);
    if (i < static_cast<int>(members_.size())) {
      members_[i] = std::move(member);
    } else {
      members_.push_back(std::move(member));
    }
  }
  void Pause(int i) { paused_.insert(i); }
  void Resume(int i) { paused_.erase(i); }
  // Cuts or restores the link from `a` to `b`, in that direction only.
  void Cut(int a, int b) { cut_.insert({a, b}); }
  void Restore(int a, int b) { cut_.erase({a, b}); }

  void Run(
      base::Duration time, const std::function<void()>& check = [] {}) {
    const base::TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(50);
      for (int i = 0; i < static_cast<int>(members_.size()); ++i) {
        if (!paused_.contains(i)) {
          at(i).CheckLease(now_);
          at(i).Tick(now_);
          Deliver(i);
        }
      }
      check();
    }
  }

 private:
  struct Member {
    NodeSettings settings;
    Outbox outbox;
    std::unique_ptr<Membership> membership;
  };

  void Deliver(int from) {
    for (Output& output : members_[from]->outbox.Take()) {
      const auto& message = std::get<ToPeer>(output);
      const int to = std::stoi(message.to.value().substr(1));
      if (paused_.contains(to) || cut_.contains({from, to})) {
        continue;
      }
      at(to).CheckLease(now_);
      if (const auto* beat = std::get_if<Heartbeat>(&message.message)) {
        at(to).OnHeartbeat(Name(from), members_[from]->settings.incarnation,
                           *beat, now_);
        Deliver(to);
      } else if (const auto* ack =
                     std::get_if<HeartbeatAck>(&message.message)) {
        at(to).OnHeartbeatAck(Name(from), *ack, now_);
      }
    }
  }

  std::vector<EntryRecord> entries_;
  std::vector<std::unique_ptr<Member>> members_;
  std::set<int> paused_;
  std::set<std::pair<int, int>> cut_;
  base::TimePoint now_;
  std::uint64_t incarnations_ = 0;
};

TEST_CASE("seven members discover each other and hold their leases") {
  Cell cell(7);
  cell.Run(seconds(2));
  for (int i = 0; i < 7; ++i) {
    CHECK(cell.at(i).live().size() == 7);
    CHECK(cell.at(i).holds_lease());
    CHECK(cell.at(i).OwnerOf("rack1") == cell.at(0).OwnerOf("rack1"));
  }

  SUBCASE("a paused member soon leaves the live list and is voted out later") {
    cell.Pause(3);
    cell.Run(seconds(2));
    CHECK_FALSE(cell.at(0).IsLive(Cell::Name(3)));
    CHECK_FALSE(cell.at(0).IsVotedOut(Cell::Name(3), cell.now()));
    cell.Run(seconds(6));
    CHECK(cell.at(0).IsVotedOut(Cell::Name(3), cell.now()));
    CHECK_FALSE(cell.at(0).IsVotedOut(Cell::Name(4), cell.now()));

    SUBCASE(
        "a resumed member notices the expired lease before it does anything") {
      cell.Resume(3);
      cell.at(3).CheckLease(cell.now());
      CHECK_FALSE(cell.at(3).holds_lease());
      CHECK(cell.at(3).lease_term() == 1);
      cell.Run(seconds(2));
      CHECK(cell.at(3).holds_lease());
      CHECK(cell.at(3).lease_term() == 1);
      CHECK(cell.at(0).FindMember(Cell::Name(3))->lease_term == 1);
    }
  }
  SUBCASE(
      "a member that receives nothing loses its lease though others hear it") {
    for (int i = 1; i < 7; ++i) {
      cell.Cut(i, 0);
    }
    cell.Run(seconds(5));
    CHECK_FALSE(cell.at(0).holds_lease());
    CHECK(cell.at(1).holds_lease());
  }
  SUBCASE("a minority loses its leases; a majority keeps them") {
    for (int a = 0; a < 3; ++a) {
      for (int b = 3; b < 7; ++b) {
        cell.Cut(a, b);
        cell.Cut(b, a);
      }
    }
    cell.Run(seconds(5));
    CHECK_FALSE(cell.at(0).holds_lease());
    CHECK(cell.at(6).holds_lease());
  }
  SUBCASE("a restarted voter doesn't vote before a full lease has passed") {
    for (int i = 0; i < 7; ++i) {
      if (i != 3) {
        cell.Start(i);
      }
    }
    cell.Run(seconds(3));
    CHECK_FALSE(cell.at(0).IsVotedOut(Cell::Name(3), cell.now()));
  }
  SUBCASE("a member that restarts within the member timeout is noticed") {
    int changes = 0;
    cell.at(0).changed().connect([&](base::TimePoint) { ++changes; });
    cell.Pause(3);
    cell.Run(seconds(1));
    CHECK(changes == 0);
    cell.Start(3);
    cell.Resume(3);
    cell.Run(seconds(2));
    CHECK(cell.at(0).IsLive(Cell::Name(3)));
    CHECK(changes > 0);
  }
  SUBCASE("members that stay take over what a leaving member owned") {
    cell.at(2).BeginLeaving();
    cell.Run(seconds(1));
    for (int s = 0; s < 50; ++s) {
      CHECK(cell.at(5).OwnerOf("rack" + std::to_string(s)) != Cell::Name(2));
    }
  }
}

TEST_CASE("63 members keep each other live") {
  constexpr int kMembers = 63;
  Cell cell(kMembers);
  cell.Run(seconds(3));
  const std::uint64_t initial_version = cell.at(0).owners_version();

  SUBCASE("owners stay the same while no member fails") {
    cell.Run(seconds(10));
    CHECK(cell.at(0).owners_version() == initial_version);
    CHECK(cell.at(0).live().size() == kMembers);
  }
  SUBCASE("members keep their leases when a third of them fails") {
    for (int i = kMembers * 2 / 3; i < kMembers; ++i) {
      cell.Pause(i);
    }
    cell.Run(seconds(10));
    CHECK(cell.at(0).live().size() == kMembers * 2 / 3);
    for (int i = 0; i < kMembers * 2 / 3; ++i) {
      CHECK(cell.at(i).lease_term() == 0);
    }
  }
}

TEST_CASE("a voted-out member was without a lease within the vote window") {
  Cell cell(5);
  cell.Run(seconds(2));
  std::uint64_t seed = 20261203;
  const auto random = [&seed](int bound) {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<int>((seed >> 33) % bound);
  };
  // When each member was last seen without its lease.
  std::vector<base::TimePoint> without_lease(5);
  int voted_out = 0;
  for (int round = 0; round < 400; ++round) {
    const int a = random(5);
    const int b = random(5);
    random(2) == 0 ? cell.Cut(a, b) : cell.Restore(a, b);
    if (random(6) == 0) {
      random(2) == 0 ? cell.Pause(a) : cell.Resume(a);
    }
    for (int i = 0; i < 5; ++i) {
      if (random(3) == 0) {
        cell.Restore(i, random(5));
        cell.Restore(random(5), i);
      }
    }
    cell.Run(milliseconds(500), [&] {
      for (int subject = 0; subject < 5; ++subject) {
        cell.at(subject).CheckLease(cell.now());
        if (!cell.at(subject).holds_lease()) {
          without_lease[subject] = cell.now();
        }
        for (int observer = 0; observer < 5; ++observer) {
          if (cell.at(observer).IsVotedOut(Cell::Name(subject), cell.now())) {
            ++voted_out;
            // It may have gained a new lease, in a new term, since the oldest
            // vote.
            CHECK(cell.now() - without_lease[subject] <=
                  Membership::kVoteWindow);
          }
        }
      }
    });
  }
  CHECK(voted_out > 0);
}

}  // namespace
}  // namespace dotterelbarrow::core
