// Tests that DesiredWatch follows a desired state that is large for the link on
// which it arrives.
#include "src/member/desired_watch.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "platform/base64.h"
#include "src/member/clock.h"
#include "test/member/desired_stores.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than any of these tests needs.
constexpr base::Duration kTestTimeout = seconds(20);

class DiscardingLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view,
             std::initializer_list<core::scheduler::LogField>) override {}
};

// A DesiredWatch of the store at `address`.
struct Watched {
  Watched(wire::EventLoop* event_loop, const std::string& address)
      : loop(event_loop),
        client(*event_loop, {}),
        store(&client, address, &counters),
        watch(
            *event_loop, &store, {&log, &counters, nullptr}, milliseconds(50),
            [](const auto&) {}, [](const auto&) {}) {}

  // Returns whether `done` became true in time.
  bool RunUntil(const std::function<bool()>& done) {
    const base::TimePoint begun = wire::MonotonicNow();
    bool is_done = false;
    loop->RunUntil([&] {
      is_done = done();
      return is_done || wire::MonotonicNow() - begun > kTestTimeout;
    });
    return is_done;
  }
  bool RunUntilVersion(std::uint64_t version) {
    return RunUntil([&] {
      return watch.current() != nullptr &&
             watch.current()->version() == base::ConfigVersion(version);
    });
  }
  // Returns whether the state is confirmed by a call that begins now or later.
  bool IsConfirmedAnew() {
    const base::TimePoint begun = Now();
    return RunUntil([&] {
      const auto age = watch.TimeSinceRead();
      return age && Now() - *age > begun;
    });
  }

  wire::EventLoop* loop;
  core::Counters counters;
  DiscardingLog log;
  wire::HttpClient client;
  platform::StoreClient store;
  DesiredWatch watch;
};

TEST_CASE("DesiredWatch: a state that takes long to arrive") {
  wire::EventLoop loop;
  // Several thousand queues over a link that carries them in two seconds.
  const std::string text = DesiredText(7, 4000);
  constexpr base::Duration kTick = milliseconds(20);
  constexpr int kTicks = 100;
  SlowStore store(loop, kTick, platform::EncodeBase64(text).size() / kTicks);
  store.Put(text);
  Watched w(&loop, store.address());

  SUBCASE("is applied") {
    CHECK(w.RunUntilVersion(7));
    SUBCASE("and confirmed from then on without another transfer") {
      const int requests = store.requests();
      REQUIRE(w.RunUntil([&] { return store.requests() > requests + 5; }));
      CHECK(w.IsConfirmedAnew());
      CHECK(store.texts_begun() == 1);
    }
  }
  SUBCASE("is read as a whole if a list of changes stops arriving") {
    REQUIRE(w.RunUntilVersion(7));
    store.Put(DesiredText(8, 4000));
    REQUIRE(w.RunUntil([&] { return store.texts_begun() == 2; }));
    CHECK(store.last_request().find("/rows-feed") != std::string::npos);
    store.Stall();
    CHECK(w.RunUntil([&] {
      return store.last_request().find("/rows-get") != std::string::npos;
    }));
  }
  SUBCASE("is requested again if it stops arriving") {
    REQUIRE(w.RunUntil([&] { return store.texts_begun() == 1; }));
    store.Stall();
    CHECK(w.RunUntil([&] { return store.texts_begun() > 1; }));
  }
}

TEST_CASE("DesiredWatch: following the feed of changes") {
  wire::EventLoop loop;
  FastStore store(loop);
  Watched w(&loop, store.address());

  SUBCASE("without a state confirms none") {
    REQUIRE(w.RunUntil([&] { return store.feeds() > 0; }));
    store.Delete();
    REQUIRE(w.RunUntil([&] { return store.feeds() > 3; }));
    CHECK(w.watch.current() == nullptr);
    CHECK_FALSE(w.watch.ConfirmationAge());
  }
  SUBCASE("from a first state on") {
    store.Put(DesiredText(7, 1));
    REQUIRE(w.RunUntilVersion(7));
    const int reads = store.reads();
    SUBCASE("applies a newer one") {
      store.Put(DesiredText(8, 1));
      CHECK(w.RunUntilVersion(8));
      CHECK(w.IsConfirmedAnew());
      CHECK(store.reads() == reads);
    }
    SUBCASE("applies the newest of several, and reads it once more") {
      store.Put(DesiredText(8, 1));
      store.Put(DesiredText(9, 1));
      CHECK(w.RunUntilVersion(9));
      CHECK(w.RunUntil([&] { return store.reads() == reads + 1; }));
    }
    SUBCASE("reads only the newest of those that it missed in an outage") {
      store.set_refusing(true);
      const int feeds = store.feeds();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds; }));
      for (std::uint64_t version = 8; version <= 20; ++version) {
        store.Put(DesiredText(version, 1));
      }
      store.set_refusing(false);
      CHECK(w.RunUntilVersion(20));
      CHECK(store.listed() == 0);
    }
    SUBCASE("asks for the rest of a list in pages before it confirms") {
      store.set_pages(true);
      store.Put(DesiredText(8, 1));
      store.Put(DesiredText(9, 1));
      CHECK(w.RunUntilVersion(9));
      CHECK(w.IsConfirmedAnew());
    }
    SUBCASE("reads the state again if the history is gone") {
      store.Put(DesiredText(8, 1));
      store.DropHistory();
      CHECK(w.RunUntilVersion(8));
      CHECK(store.reads() > reads);
    }
    SUBCASE(
        "keeps, but doesn't confirm, a state that was replaced by one it "
        "can't use") {
      bool is_deleted = false;
      SUBCASE("as it isn't readable") {}
      SUBCASE("as it was deleted") { is_deleted = true; }
      is_deleted ? store.Delete() : store.Put("no state");
      const int feeds = store.feeds();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds + 2; }));
      const base::Duration age = *w.watch.ConfirmationAge();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds + 5; }));
      CHECK(*w.watch.ConfirmationAge() > age);
      CHECK(w.watch.current()->version() == base::ConfigVersion(7));
      SUBCASE("until there is a newer one") {
        store.Put(DesiredText(8, 1));
        CHECK(w.RunUntilVersion(8));
        CHECK(w.IsConfirmedAnew());
      }
    }
    SUBCASE("confirms it also after another host sent the same text") {
      w.watch.OnPeerText(DesiredText(7, 1), Now(), base::Duration(0));
      CHECK(w.IsConfirmedAnew());
    }
    SUBCASE("confirms another host's newer state once the store has it") {
      w.watch.OnPeerText(DesiredText(8, 1), Now(), base::Duration(0));
      const int feeds = store.feeds();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds + 2; }));
      CHECK(w.watch.current()->version() == base::ConfigVersion(8));
      store.Put(DesiredText(8, 1));
      CHECK(w.IsConfirmedAnew());
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
