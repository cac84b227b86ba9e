// Tests the results of calls to the platform.
#include "dotterelbarrow/wire/platform_client.h"

#include <doctest/doctest.h>

#include <vector>

#include "dotterelbarrow/wire/codec.h"
#include "test/wire/scripted_server.h"

namespace dotterelbarrow::wire {
namespace {

using core::TableStatus;

struct Fixture {
  EventLoop loop;
  ScriptedServer server{loop};
  HttpClient http{loop, HttpClientOptions()};
  core::Counters counters;
  std::vector<core::Input> inputs;
  PlatformClient client = ClientAt(server.address());

  PlatformClient ClientAt(const std::string& address) {
    return PlatformClient(
        &http, address, std::chrono::milliseconds(50),
        [this](core::Input input) { inputs.push_back(std::move(input)); },
        &counters);
  }
  template <typename Result, typename Call>
  Result ResultOf(PlatformClient* sender, const Call& call) {
    sender->Send(call);
    loop.RunUntil([&] { return !inputs.empty(); });
    const Result result = std::get<Result>(inputs.back());
    inputs.clear();
    return result;
  }
};

TEST_CASE("the status of a transaction") {
  Fixture f;
  const core::TableTransaction transaction{
      base::CallId(9), {{"k", base::RowVersion(3)}}, {{"k", "v"}}};
  const auto status_of = [&](PlatformClient* client) {
    const auto result = f.ResultOf<core::TableResult>(client, transaction);
    CHECK(result.call == transaction.call);
    return result.status;
  };
  SUBCASE("tells whether its conditions held") {
    f.server.Answer(200, R"({"status":"committed"})");
    CHECK(status_of(&f.client) == TableStatus::kCommitted);
    f.server.Answer(200, R"({"status":"conflict"})");
    CHECK(status_of(&f.client) == TableStatus::kConflict);
    base::Failure reason;
    const auto sent = Decode<core::TableTransaction>(
        f.server.requests()[0].body, Members::kRejected, &reason);
    REQUIRE(sent);
    CHECK(sent->conditions == transaction.conditions);
    CHECK(sent->writes == transaction.writes);
  }
  SUBCASE("is kUnavailable when it was refused or not sent") {
    f.server.Answer(503, "");
    CHECK(status_of(&f.client) == TableStatus::kUnavailable);
    PlatformClient unreachable = f.ClientAt(kClosedAddress);
    CHECK(status_of(&unreachable) == TableStatus::kUnavailable);
  }
  SUBCASE("is kUnknown when it may have been committed") {
    CHECK(status_of(&f.client) == TableStatus::kUnknown);
    f.server.Answer(500, "");
    CHECK(status_of(&f.client) == TableStatus::kUnknown);
    f.server.Answer(200, R"({"status":"unavailable"})");
    CHECK(status_of(&f.client) == TableStatus::kUnknown);
    CHECK(f.counters.value("platform_calls_failed", "transact_lost") == 1);
  }
}

TEST_CASE("a read of rows") {
  Fixture f;
  const core::TableRead read{base::CallId(2), "a b/", "a b/\xc3\xb3", 10};
  SUBCASE("returns them") {
    f.server.Answer(
        200, R"({"rows":[{"key":"k","version":4,"value":""}],"more":true})");
    const auto rows = f.ResultOf<core::TableRows>(&f.client, read);
    CHECK(rows.call == read.call);
    CHECK(rows.status == TableStatus::kCommitted);
    CHECK(rows.rows == std::vector<core::Row>{{"k", base::RowVersion(4), ""}});
    CHECK(rows.more);
    CHECK(f.server.requests()[0].query.at("prefix") == read.prefix);
    CHECK(f.server.requests()[0].query.at("after") == read.after);
  }
  SUBCASE("that gets no valid answer is unavailable") {
    SUBCASE("because no answer arrives") {}
    SUBCASE("because it is refused") { f.server.Answer(503, ""); }
    SUBCASE("because the answer is incomplete") {
      f.server.Answer(200, R"({"rows":[]})");
    }
    const auto rows = f.ResultOf<core::TableRows>(&f.client, read);
    CHECK(rows.status == TableStatus::kUnavailable);
  }
}

TEST_CASE("objects") {
  Fixture f;
  const core::ObjectRead read{base::CallId(3), "a/b c"};
  const core::ObjectWrite write{base::CallId(4), "a/b c",
                                std::string("\0{", 2)};
  SUBCASE("are written and read unchanged, under their own key") {
    f.server.Answer(200, std::string("\0\xff", 2));
    const auto got = f.ResultOf<core::ObjectResult>(&f.client, read);
    CHECK(got == core::ObjectResult{read.call, TableStatus::kCommitted,
                                    std::string("\0\xff", 2)});
    const auto put = f.ResultOf<core::ObjectResult>(&f.client, write);
    CHECK(put == core::ObjectResult{write.call, TableStatus::kCommitted, {}});
    CHECK(f.server.requests()[0].path == "/v1/objects/a/b c");
    CHECK(f.server.requests()[1].body == write.value);
  }
  SUBCASE("that do not exist are distinguished from those that can't be read") {
    f.server.Answer(404, "");
    CHECK(f.ResultOf<core::ObjectResult>(&f.client, read).status ==
          TableStatus::kConflict);
    f.server.Answer(503, "");
    CHECK(f.ResultOf<core::ObjectResult>(&f.client, read).status ==
          TableStatus::kUnavailable);
  }
  SUBCASE("may have been written when no answer arrived") {
    CHECK(f.ResultOf<core::ObjectResult>(&f.client, write).status ==
          TableStatus::kUnknown);
  }
}

TEST_CASE("the host list is delivered completely or not at all") {
  Fixture f;
  core::HostRecord host;
  host.backend = base::BackendId("w1");
  host.address = "127.0.0.1:2";
  host.leaving = true;
  f.server.Answer(200, Encode(HostRecords{{host}}));
  CHECK(f.ResultOf<core::HostList>(&f.client, core::HostListRead()) ==
        core::HostList{true, {host}});
  f.server.Answer(200, R"({"hosts":[{"backend":"w1"}]})");
  CHECK(f.ResultOf<core::HostList>(&f.client, core::HostListRead()) ==
        core::HostList{false, {}});
}

}  // namespace
}  // namespace dotterelbarrow::wire
