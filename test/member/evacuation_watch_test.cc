// Tests that evacuations are followed beside the desired state, also through
// outages of the store, and that an owner knows them before it schedules.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "src/member/clock.h"
#include "src/member/desired_watch.h"
#include "src/member/owner_term.h"
#include "test/member/desired_stores.h"
#include "test/member/run_until.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than any of these tests needs.
constexpr base::Duration kTestTimeout = seconds(20);
constexpr base::Duration kPeriod = milliseconds(50);

class EventLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField>) override {
    events.emplace_back(event);
  }
  std::ptrdiff_t CountOf(const char* event) const {
    return std::count(events.begin(), events.end(), event);
  }
  std::vector<std::string> events;
};

std::set<std::string> NamesOf(const DesiredWatch::Zones& zones) {
  std::set<std::string> names;
  for (const base::AvailabilityZone& zone : zones) {
    names.insert(zone.value());
  }
  return names;
}

// A DesiredWatch of a store that answers at once.
struct Watched {
  Watched()
      : store(loop),
        client(loop, {}),
        store_client(&client, store.address(), &counters) {
    store.Put(DesiredText(7, 1));
  }

  void Begin() {
    watch = std::make_unique<DesiredWatch>(
        loop, &store_client,
        core::scheduler::Telemetry{&log, &counters, nullptr}, kPeriod,
        [](const auto&) {},
        [this](const DesiredWatch::Zones& changed) {
          zones = NamesOf(changed);
        });
  }
  bool RunUntil(const std::function<bool()>& done) {
    return RunLoopUntil(&loop, done, kTestTimeout);
  }
  bool RunUntilZones(const std::set<std::string>& expected) {
    return RunUntil([&] { return zones == expected; });
  }
  // Lets the watch receive the answers to a few further calls.
  void RunFeeds() {
    const int feeds = store.feeds();
    CHECK(RunUntil([&] { return store.feeds() > feeds + 3; }));
  }

  wire::EventLoop loop;
  FastStore store;
  core::Counters counters;
  EventLog log;
  wire::HttpClient client;
  platform::StoreClient store_client;
  std::unique_ptr<DesiredWatch> watch;
  std::set<std::string> zones;
};

TEST_CASE("DesiredWatch: evacuations") {
  Watched w;
  w.store.PutRow("evacuate/z0", "{}");

  SUBCASE("are read together with the desired state, in several pages too") {
    w.store.PutRow("evacuate/z1", R"({"by": "operator"})");
    w.store.PutRow("evacuation-notes", "{}");
    w.store.set_pages(true);
    w.Begin();
    CHECK(w.RunUntilZones({"z0", "z1"}));
    CHECK(w.watch->current() != nullptr);
  }
  SUBCASE("are followed without a desired state") {
    w.store.Delete();
    w.Begin();
    CHECK(w.RunUntilZones({"z0"}));
    w.store.DeleteRow("evacuate/z0");
    CHECK(w.RunUntilZones({}));
  }
}

TEST_CASE("DesiredWatch: changes of evacuations") {
  Watched w;
  w.store.PutRow("evacuate/z0", "{}");
  w.Begin();
  REQUIRE(w.RunUntilZones({"z0"}));
  const int reads = w.store.reads();

  SUBCASE("are taken from the feed, one zone after the other") {
    w.store.PutRow("evacuate/z1", "{}");
    CHECK(w.RunUntilZones({"z0", "z1"}));
    w.store.DeleteRow("evacuate/z0");
    CHECK(w.RunUntilZones({"z1"}));
    w.store.DeleteRow("evacuate/z1");
    w.store.PutRow("evacuate/z2", "{}");
    CHECK(w.RunUntilZones({"z2"}));
    CHECK(w.store.reads() == reads);
  }
  SUBCASE("are taken from a feed with several desired states") {
    w.store.Put(DesiredText(8, 1));
    w.store.PutRow("evacuate/z1", "{}");
    w.store.Put(DesiredText(9, 1));
    CHECK(w.RunUntilZones({"z0", "z1"}));
    CHECK(w.watch->current()->version() == base::ConfigVersion(9));
  }
  SUBCASE("are read again if the history is gone") {
    w.store.DeleteRow("evacuate/z0");
    w.store.PutRow("evacuate/z1", "{}");
    w.store.DropHistory();
    CHECK(w.RunUntilZones({"z1"}));
    CHECK(w.store.reads() > reads);
  }
  SUBCASE(
      "that an outage of the store hid follow it; the last known zones "
      "remain meanwhile") {
    w.store.set_refusing(true);
    w.store.DeleteRow("evacuate/z0");
    w.store.PutRow("evacuate/z1", "{}");
    const auto lost = [&] { return w.log.CountOf("desired_lost") > 0; };
    REQUIRE(w.RunUntil(lost));
    CHECK(w.zones == std::set<std::string>{"z0"});
    w.store.set_refusing(false);
    CHECK(w.RunUntilZones({"z1"}));
  }
  SUBCASE("that can't be read are logged once and evacuate nothing") {
    w.store.PutRow("evacuate/z1", "[");
    w.store.PutRow("evacuate/", "{}");
    w.store.PutRow("evacuate/z2", "{}");
    CHECK(w.RunUntilZones({"z0", "z2"}));
    w.store.PutRow("notes", "{}");
    w.store.DropHistory();
    CHECK(w.RunUntil([&] { return w.store.reads() > reads; }));
    w.RunFeeds();
    CHECK(w.zones == std::set<std::string>{"z0", "z2"});
    CHECK(w.log.CountOf("evacuation_unreadable") == 2);
  }
  SUBCASE("are learned by an owner although another host confirms the state") {
    // Such a host says nothing about evacuations.
    w.watch->set_always_asks(true);
    w.store.PutRow("evacuate/z1", "{}");
    const base::TimePoint begun = Now();
    CHECK(w.RunUntil([&] {
      w.watch->OnPeerVersion(base::ConfigVersion(7), Now(), base::Duration(0));
      return w.zones.contains("z1");
    }));
    CHECK(Now() - begun < seconds(5));
  }
  SUBCASE("are not lost to a desired state that another host supplied") {
    w.store.set_refusing(true);
    REQUIRE(w.RunUntil([&] { return w.log.CountOf("desired_lost") > 0; }));
    w.watch->OnPeerText(DesiredText(8, 1), Now(), base::Duration(0));
    w.store.Put(DesiredText(8, 1));
    CHECK(w.zones == std::set<std::string>{"z0"});
    w.store.PutRow("evacuate/z1", "{}");
    w.store.set_refusing(false);
    CHECK(w.RunUntilZones({"z0", "z1"}));
  }
}

TEST_CASE("DesiredWatch: a read of the evacuations on demand") {
  Watched w;
  w.Begin();
  REQUIRE(w.RunUntil([&] { return w.watch->current() != nullptr; }));
  w.store.PutRow("evacuate/z0", "{}");
  std::vector<std::set<std::string>> answers;
  const auto record = [&](const DesiredWatch::Zones& read) {
    answers.push_back(NamesOf(read));
  };

  SUBCASE("returns the rows that exist when it begins") {
    w.watch->ReadEvacuations(record);
    CHECK(w.RunUntil([&] { return answers.size() == 1; }));
    CHECK(answers.at(0) == std::set<std::string>{"z0"});
    // The feed lists the row as well; it doesn't undo a later change.
    w.store.DeleteRow("evacuate/z0");
    CHECK(w.RunUntilZones({}));
  }
  SUBCASE("is repeated until the store answers") {
    w.store.set_refusing(true);
    w.watch->ReadEvacuations(record);
    w.watch->ReadEvacuations(record);
    REQUIRE(w.RunUntil([&] { return w.log.CountOf("desired_lost") > 0; }));
    CHECK(answers.empty());
    w.store.set_refusing(false);
    CHECK(w.RunUntil([&] { return answers.size() == 2; }));
    CHECK(answers.at(1) == std::set<std::string>{"z0"});
  }
}

// Guards against evacuations that wait behind a desired state on a slow link.
TEST_CASE("DesiredWatch: evacuations while a desired state takes long") {
  wire::EventLoop loop;
  const std::string text = DesiredText(7, 4000);
  constexpr int kTicks = 200;
  SlowStore store(loop, milliseconds(20),
                  platform::EncodeBase64(text).size() / kTicks);
  store.Put(text);
  core::Counters counters;
  EventLog log;
  wire::HttpClient client(loop, {});
  platform::StoreClient store_client(&client, store.address(), &counters);
  std::set<std::string> zones;
  DesiredWatch watch(
      loop, &store_client, {&log, &counters, nullptr}, kPeriod,
      [](const auto&) {},
      [&](const DesiredWatch::Zones& changed) { zones = NamesOf(changed); });
  watch.set_always_asks(true);
  const base::TimePoint begun = Now();
  const auto run_until = [&](const std::function<bool()>& done) {
    bool is_done = false;
    loop.RunUntil([&] {
      is_done = done();
      return is_done || Now() - begun > kTestTimeout;
    });
    return is_done;
  };
  REQUIRE(run_until([&] { return store.texts_begun() == 1; }));
  store.Evacuate("z0");
  CHECK(run_until([&] { return zones.contains("z0"); }));
  CHECK(watch.current() == nullptr);
  CHECK(run_until([&] { return watch.current() != nullptr; }));
  CHECK(zones == std::set<std::string>{"z0"});
}

// Guards against an owner that places work before it knows the evacuations.
TEST_CASE("OwnerTerm: schedules only once it has read the evacuations") {
  Watched w;
  platform::WorkerClient workers(&w.client, platform::WorkerClientSettings());
  core::leadership::Leadership leadership({});
  leadership.OnRead(std::nullopt, base::RowVersion(1), milliseconds(1), Now());
  REQUIRE(leadership.BeginClaim(Now()));
  leadership.OnWritten(base::RowVersion(2), Now());
  const core::scheduler::Telemetry telemetry{&w.log, &w.counters, nullptr};
  OwnershipWriter writer(w.loop, &w.store_client, core::shards::ShardNumber(0),
                         &leadership, telemetry);
  std::function<void(const DesiredWatch::Zones&)> answer;
  OwnerTerm term({.loop = &w.loop,
                  .store = &w.store_client,
                  .workers = &workers,
                  .writer = &writer,
                  .leadership = &leadership,
                  .telemetry = telemetry,
                  .listings_period = milliseconds(100),
                  .advise = [](const auto&, const auto&) {},
                  .read_evacuations = [&](const auto& done) { answer = done; },
                  .ended = [] {},
                  .on_store_failing = [] {}},
                 core::scheduler::SchedulerSettings(), 0);
  REQUIRE(answer);

  // Long enough for the reads of the records, which are answered at once.
  const base::TimePoint begun = Now();
  w.RunUntil([&] { return Now() - begun > milliseconds(300); });
  CHECK_FALSE(term.is_ready());
  answer({base::AvailabilityZone("z0")});
  CHECK(w.RunUntil([&] { return term.is_ready(); }));
  CHECK(term.scheduler().fleet().evacuated_zones() ==
        DesiredWatch::Zones{base::AvailabilityZone("z0")});
}

}  // namespace
}  // namespace dotterelbarrow::member
