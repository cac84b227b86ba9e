// Tests how an owner answers the submissions that other hosts send it.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "src/member/clock.h"
#include "src/member/shard_set.h"
#include "test/core/scheduler/null_log.h"
#include "test/member/desired_stores.h"
#include "test/member/run_until.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than any of these tests needs.
constexpr base::Duration kTestTimeout = seconds(20);

using core::scheduler::NullLog;

// A host that owns the only shard of a cell without workers.
struct OwningHost {
  using Answer = std::shared_ptr<std::optional<OwnerAnswer>>;

  OwningHost() {
    store.Put(DesiredText(1, 1));
    settings.host = base::EntryId("host");
    settings.cpu_share = 1;
    shards.Start();
    REQUIRE(RunUntil([this] {
      ShardController* shard = shards.Find(Json::Value(Json::objectValue));
      return shard->has_ready_term();
    }));
  }

  ShardController* shard() {
    return shards.Find(Json::Value(Json::objectValue));
  }
  std::uint64_t token() { return shard()->owner()->token.value(); }
  // Delivers a submission that names the owner with `token`, and returns where
  // its answer arrives.
  Answer Submit(std::uint64_t job, std::uint64_t token) {
    SubmitCall call;
    call.submission.key = core::jobs::JobKey(job);
    call.submission.queue = core::desired::QueueId("queue-0");
    call.submission.spec.steps.resize(1);
    Json::Value params = ToJson(OwnerCall(call));
    params[kOwnerTokenField] = static_cast<Json::UInt64>(token);
    return Deliver(call, params);
  }
  // Delivers any other call.
  Answer Call(const OwnerCall& call) { return Deliver(call, ToJson(call)); }
  bool RunUntil(const std::function<bool()>& done) {
    return RunLoopUntil(&loop, done, kTestTimeout);
  }
  template <typename Expected>
  bool IsAnswered(const Answer& answer) {
    return RunUntil([&] { return answer->has_value(); }) &&
           std::holds_alternative<Expected>(**answer);
  }
  Answer Deliver(const OwnerCall& call, const Json::Value& params) {
    const auto answer = std::make_shared<std::optional<OwnerAnswer>>();
    shard()->HandleOwnerCall(call, params, [answer](const Json::Value& result) {
      *answer = OwnerAnswerFromJson(result);
    });
    return answer;
  }

  wire::EventLoop loop;
  NullLog log;
  core::Counters counters;
  core::scheduler::Telemetry telemetry{&log, &counters, nullptr};
  platform::PlatformSettings settings;
  FastStore store{loop};
  wire::HttpClient client{loop, {}};
  platform::StoreClient store_client{&client, store.address(), &counters};
  platform::WorkerClient workers{&client, platform::WorkerClientSettings()};
  RpcClient rpc{&client, &counters};
  DesiredWatch desired{loop,
                       &store_client,
                       telemetry,
                       milliseconds(50),
                       [](const auto&) {},
                       [](const auto&) {}};
  ShardSet shards{{.loop = &loop,
                   .settings = &settings,
                   .incarnation = base::Incarnation(2),
                   .planner = {},
                   .telemetry = telemetry,
                   .peer_client = &client,
                   .store = &store_client,
                   .workers = &workers,
                   .rpc = &rpc,
                   .desired = &desired,
                   .fetch_desired = [](const std::string&) {},
                   .is_isolated = [] { return false; },
                   .on_plan = nullptr,
                   .owned_shards = nullptr,
                   .on_terms_changed = [] {},
                   .may_resign = nullptr}};
};

TEST_CASE("an owner that gets a submission from another host") {
  OwningHost host;

  SUBCASE("accepts one that names it") {
    CHECK(host.IsAnswered<Accepted>(host.Submit(1, host.token())));
  }
  // Guards against a refused job that runs: a copy that was sent to an earlier
  // term of this host arrives after the owner in between refused another one.
  SUBCASE("leaves one that names an earlier term without effect") {
    CHECK(host.IsAnswered<NoOwner>(host.Submit(1, host.token() - 1)));
    CHECK_FALSE(
        host.shard()->term()->scheduler().IsKnown(core::jobs::JobKey(1)));
  }
}

// Hosts hold calls while there is no owner, and deliver them in any order.
TEST_CASE("an owner that gets calls for a job before its submission") {
  OwningHost host;
  const core::jobs::JobKey job(1);
  const auto is_known = [&] {
    return host.shard()->term()->scheduler().IsKnown(job);
  };

  // Guards against a job that runs although its cancellation was answered: both
  // calls are answered with the same write.
  SUBCASE("accepts no job whose cancellation it answers") {
    const auto cancelled = host.Call(CancelCall{job});
    const auto submitted = host.Submit(1, host.token());
    CHECK(host.IsAnswered<UnknownJob>(cancelled));
    CHECK(host.IsAnswered<Refused>(submitted));
    CHECK_FALSE(is_known());
    SUBCASE("nor a later copy of its submission") {
      CHECK(host.IsAnswered<Refused>(host.Submit(1, host.token())));
      CHECK_FALSE(is_known());
    }
    SUBCASE("and answers a repeated cancellation") {
      CHECK(host.IsAnswered<UnknownJob>(host.Call(CancelCall{job})));
    }
  }
  SUBCASE("answers no cancellation before the store has it") {
    host.store.set_refusing(true);
    const auto cancelled = host.Call(CancelCall{job});
    const base::TimePoint begun = Now();
    host.RunUntil([&] { return Now() - begun > milliseconds(300); });
    CHECK_FALSE(cancelled->has_value());
    host.store.set_refusing(false);
    CHECK(host.IsAnswered<UnknownJob>(cancelled));
  }
  // Guards against a job that is called unknown after it was accepted.
  SUBCASE("answers a question for its state with what is known then") {
    const auto asked = host.Call(StateCall{job});
    const auto submitted = host.Submit(1, host.token());
    CHECK(host.IsAnswered<Accepted>(submitted));
    CHECK(host.IsAnswered<JobStateAnswer>(asked));
  }
  SUBCASE("answers that the state of no job is known") {
    CHECK(host.IsAnswered<UnknownJob>(host.Call(StateCall{job})));
  }
}

// Guards against a refusal of a job that is accepted, and so runs.
TEST_CASE("an owner that the store doesn't serve") {
  OwningHost host;
  REQUIRE(host.IsAnswered<Accepted>(host.Submit(1, host.token())));
  host.store.set_refusing(true);
  const auto in_batch = host.Submit(2, host.token());
  // Until the write that includes it has begun.
  const base::TimePoint begun = Now();
  host.RunUntil([&] { return Now() - begun > milliseconds(100); });
  std::shared_ptr<std::optional<OwnerAnswer>> unwritten;
  REQUIRE(host.RunUntil([&] {
    unwritten = host.Submit(3, host.token());
    return unwritten->has_value();
  }));

  SUBCASE("refuses a new job") {
    CHECK(std::holds_alternative<Refused>(**unwritten));
    SUBCASE("which it doesn't know then") {
      CHECK_FALSE(
          host.shard()->term()->scheduler().IsKnown(core::jobs::JobKey(3)));
    }
  }
  SUBCASE("answers a repeated submission of an accepted job with success") {
    CHECK(host.IsAnswered<Accepted>(host.Submit(1, host.token())));
  }
  SUBCASE("knows the accepted job and the one whose write is under way") {
    const KnownCall call{
        {core::jobs::JobKey(1), core::jobs::JobKey(2), core::jobs::JobKey(3)}};
    std::optional<OwnerAnswer> answer;
    host.shards.Call({}, call,
                     [&](const OwnerAnswer& known) { answer = known; });
    REQUIRE(host.RunUntil([&] { return answer.has_value(); }));
    REQUIRE(std::holds_alternative<KnownAnswer>(*answer));
    CHECK(std::get<KnownAnswer>(*answer).jobs ==
          std::set{core::jobs::JobKey(1), core::jobs::JobKey(2)});
  }
  SUBCASE("refuses no job whose write is under way") {
    const auto repeated = host.Submit(2, host.token());
    CHECK_FALSE(in_batch->has_value());
    CHECK_FALSE(repeated->has_value());
    host.store.set_refusing(false);
    CHECK(host.IsAnswered<Accepted>(in_batch));
    CHECK(host.IsAnswered<Accepted>(repeated));
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
