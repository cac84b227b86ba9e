// Tests to which owner calls go, before and after a host knows the plan of the
// shards.
#include "src/member/shard_set.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/wire/http_server.h"
#include "platform/base64.h"
#include "src/member/clock.h"
#include "src/member/store_layout.h"
#include "test/core/scheduler/null_log.h"
#include "test/member/run_until.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kTestTimeout = seconds(20);
const base::OrganisationId kFirst("first");
const base::OrganisationId kSecond("second");

constexpr core::leadership::FencingToken kOwnerToken(512);

using core::scheduler::NullLog;

std::string ListenOn(wire::HttpServer* server) {
  base::Failure reason;
  return "127.0.0.1:" +
         std::to_string(server->Listen("127.0.0.1:0", &reason).value_or(0));
}

// Another host, which answers submissions as the owner of a shard.
class FakeOwner {
 public:
  explicit FakeOwner(const wire::EventLoop& loop)
      : http_(loop, wire::HttpServerOptions()), rpc_(&http_, &counters_) {
    rpc_.Bind("greet",
              [this](const Json::Value& params, const RpcServer::Reply& reply) {
                heartbeats.push_back(params);
                reply(Json::Value(Json::objectValue));
              });
    rpc_.Bind(kSubmit,
              [this](const Json::Value& params, const RpcServer::Reply& reply) {
                submissions.push_back(params);
                reply(ToJson(OwnerAnswer(Accepted{})));
              });
    rpc_.Bind(kPending,
              [this](const Json::Value& params, const RpcServer::Reply& reply) {
                counts.push_back(params);
                reply(ToJson(OwnerAnswer(PendingAnswer{3})));
              });
    address_ = ListenOn(&http_);
  }
  const std::string& address() const { return address_; }

  std::vector<Json::Value> heartbeats;
  std::vector<Json::Value> submissions;
  std::vector<Json::Value> counts;

 private:
  core::Counters counters_;
  wire::HttpServer http_;
  RpcServer rpc_;
  std::string address_;
};

// A store that holds the ownership records and the plan, and can keep its
// answers back.
class FakeStore {
 public:
  explicit FakeStore(const wire::EventLoop& loop)
      : http_(loop, wire::HttpServerOptions()) {
    http_.Route(wire::HttpMethod::kGet, "/rows-get",
                [this](const wire::HttpRequest& request) {
                  waiting_.emplace_back(request.exchange, request.query);
                  if (is_answering_) {
                    AnswerAll();
                  }
                });
    address_ = ListenOn(&http_);
  }
  const std::string& address() const { return address_; }
  void Put(const platform::RowKey& key, const std::string& value) {
    rows_[{key.part, key.key}] = value;
  }
  // How many reads of ownership records were answered.
  int reads() const { return reads_; }
  void BeginToAnswer() {
    is_answering_ = true;
    AnswerAll();
  }

 private:
  void AnswerAll() {
    for (const auto& [exchange, query] : std::exchange(waiting_, {})) {
      Json::Value answer(Json::objectValue);
      answer["rows"] = Json::Value(Json::arrayValue);
      answer["has_more"] = false;
      answer["schema_version"] = 7;
      for (const auto& [key, value] : rows_) {
        const auto parameter = [&query = query](const char* name) {
          const auto it = query.find(name);
          return it == query.end() ? std::string() : it->second;
        };
        const std::string end = parameter("target");
        if (parameter("table") != kOwnershipTable ||
            parameter("part") != key.first || key.second < parameter("from") ||
            (!end.empty() && key.second >= end)) {
          continue;
        }
        Json::Value row(Json::objectValue);
        row["table"] = kOwnershipTable;
        row["part"] = key.first;
        row["key"] = key.second;
        row["value"] = platform::EncodeBase64(value);
        row["schema_version"] = 5;
        answer["rows"].append(std::move(row));
      }
      const auto table = query.find("table");
      reads_ +=
          table != query.end() && table->second == kOwnershipTable ? 1 : 0;
      http_.Reply(exchange, {.status = 200, .body = core::WriteJson(answer)});
    }
  }

  wire::HttpServer http_;
  std::string address_;
  bool is_answering_ = false;
  int reads_ = 0;
  std::map<std::pair<std::string, std::string>, std::string> rows_;
  std::vector<std::pair<wire::ExchangeId, std::map<std::string, std::string>>>
      waiting_;
};

// A host of a cell of two shards, each with an owner elsewhere.
struct DividedCell {
  DividedCell() {
    settings.host = base::EntryId("host");
    settings.cpu_share = 0.1;
    for (std::uint64_t shard = 0; shard < owners.size(); ++shard) {
      store.Put(OwnershipRow(core::shards::ShardNumber(shard)),
                core::leadership::EncodeOwnershipRecord(
                    {.token = kOwnerToken,
                     .holder = base::EntryId("owner"),
                     .incarnation = base::Incarnation(1),
                     .address = owners[shard]->address()}));
    }
    const core::shards::ShardPlan plan(
        2, core::scheduler::FencingToken(256),
        {.organisations = {{kFirst, core::shards::ShardNumber(0)},
                           {kSecond, core::shards::ShardNumber(1)}},
         .racks = {}});
    store.Put({kOwnershipTable, kCellPart, kPlanKey},
              core::shards::EncodeShardPlan(plan));
    shards.Start();
  }

  ShardHost Host() {
    return {.loop = &loop,
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
            .may_resign = nullptr};
  }
  void Submit(const base::OrganisationId& organisation) {
    answer.reset();
    shards.Call(organisation,
                SubmitCall{{core::jobs::JobKey(1),
                            core::desired::QueueId("queue"),
                            organisation,
                            {}}},
                [this](const OwnerAnswer& answered) { answer = answered; });
  }
  bool RunUntil(const std::function<bool()>& done) {
    return RunLoopUntil(&loop, done, kTestTimeout);
  }

  wire::EventLoop loop;
  NullLog log;
  core::Counters counters;
  core::scheduler::Telemetry telemetry{&log, &counters, nullptr};
  platform::PlatformSettings settings;
  FakeStore store{loop};
  std::vector<std::unique_ptr<FakeOwner>> owners = [this] {
    std::vector<std::unique_ptr<FakeOwner>> made;
    made.push_back(std::make_unique<FakeOwner>(loop));
    made.push_back(std::make_unique<FakeOwner>(loop));
    return made;
  }();
  wire::HttpClient client{loop, {}};
  platform::StoreClient store_client{&client, store.address(), &counters};
  platform::WorkerClient workers{&client, platform::WorkerClientSettings()};
  RpcClient rpc{&client, &counters};
  DesiredWatch desired{loop,         &store_client,      telemetry,
                       seconds(100), [](const auto&) {}, [](const auto&) {}};
  ShardSet shards{Host()};
  std::optional<OwnerAnswer> answer;
};

TEST_CASE("ShardSet: calls in a cell of two shards") {
  DividedCell cell;
  // Guards against a job that the owner of another shard accepts, after a
  // restart of all hosts: its own owner doesn't know it, and may accept it too.
  SUBCASE("a call that came before the plan has no effect") {
    cell.Submit(kSecond);
    cell.store.BeginToAnswer();
    REQUIRE(cell.RunUntil([&] { return cell.answer.has_value(); }));
    CHECK(std::holds_alternative<NoOwner>(*cell.answer));
    CHECK(cell.owners[0]->submissions.empty());
    CHECK(cell.owners[1]->submissions.empty());
  }
  // Guards against a host that takes shard 0 for the whole cell.
  SUBCASE("a host that can't read the plan follows no owner") {
    cell.store.Put({kOwnershipTable, kCellPart, kPlanKey}, "{");
    cell.store.BeginToAnswer();
    REQUIRE(cell.RunUntil([&] { return cell.store.reads() >= 3; }));
    CHECK(cell.shards.home_owner() == nullptr);
  }
  // Guards against an owner that takes a delayed heartbeat to an earlier term
  // of its own for the proof that its predecessor has stopped.
  SUBCASE("a heartbeat names the term of the owner that the host follows") {
    cell.store.BeginToAnswer();
    const auto has_heartbeat = [](const auto& owner) {
      return !owner->heartbeats.empty();
    };
    REQUIRE(cell.RunUntil([&] {
      return std::any_of(cell.owners.begin(), cell.owners.end(), has_heartbeat);
    }));
    const auto& owner =
        *std::find_if(cell.owners.begin(), cell.owners.end(), has_heartbeat);
    CHECK(owner->heartbeats.front()["owner_token"].asUInt64() ==
          kOwnerToken.value());
  }
  SUBCASE("then each goes to the owner of its organisation's shard") {
    cell.store.BeginToAnswer();
    const auto submit_until_accepted = [&](const auto& organisation) {
      do {
        cell.Submit(organisation);
        cell.RunUntil([&] { return cell.answer.has_value(); });
      } while (cell.answer && std::holds_alternative<NoOwner>(*cell.answer));
      return cell.answer && std::holds_alternative<Accepted>(*cell.answer);
    };
    REQUIRE(submit_until_accepted(kSecond));
    CHECK(cell.owners[0]->submissions.empty());
    REQUIRE_FALSE(cell.owners[1]->submissions.empty());
    const Json::Value& sent = cell.owners[1]->submissions.back();
    CHECK(sent[kShardField].asUInt64() == 1);
    CHECK(sent[kShardCountField].asUInt64() == 2);
    REQUIRE(submit_until_accepted(kFirst));
    CHECK(cell.owners[0]->submissions.size() == 1);

    SUBCASE("and waiting jobs are counted at both") {
      cell.answer.reset();
      cell.shards.Call({}, PendingCall{core::desired::QueueId("queue")},
                       [&](const OwnerAnswer& sum) { cell.answer = sum; });
      REQUIRE(cell.RunUntil([&] { return cell.answer.has_value(); }));
      const auto* pending = std::get_if<PendingAnswer>(&*cell.answer);
      REQUIRE(pending != nullptr);
      CHECK(pending->jobs == 6);
      CHECK(cell.owners[0]->counts.size() == 1);
      CHECK(cell.owners[1]->counts.size() == 1);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
