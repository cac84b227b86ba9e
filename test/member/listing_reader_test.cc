// Tests that ListingReader delivers whole lists when the store pages its
// answers or refuses reads.
#include "src/member/listing_reader.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <map>
#include <string>

#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/wire/http_server.h"
#include "platform/base64.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;

// A fake store that answers reads with at most `rows_per_page` workers.
class PagedStore {
 public:
  PagedStore(const wire::EventLoop& loop, std::size_t rows_per_page)
      : rows_per_page_(rows_per_page), http_(loop, wire::HttpServerOptions()) {
    http_.Route(wire::HttpMethod::kGet, "/rows-get",
                [this](const wire::HttpRequest& request) { OnRead(request); });
    base::Failure reason;
    address_ = "127.0.0.1:" +
               std::to_string(http_.Listen("127.0.0.1:0", &reason).value_or(0));
  }

  void Add(const std::string& worker, const std::string& text) {
    rows_[worker] = platform::EncodeBase64(text);
  }
  // Refuses the next `count` reads.
  void RefuseReads(int count) { refusals_ = count; }
  const std::string& address() const { return address_; }

 private:
  void OnRead(const wire::HttpRequest& request) {
    if (refusals_ > 0) {
      --refusals_;
      http_.Reply(request.exchange, {.status = 503, .body = "{}"});
      return;
    }
    const auto from = request.query.find("from");
    auto it = from == request.query.end() ? rows_.begin()
                                          : rows_.lower_bound(from->second);
    Json::Value answer(Json::objectValue);
    answer["rows"] = Json::Value(Json::arrayValue);
    for (; it != rows_.end() && answer["rows"].size() < rows_per_page_; ++it) {
      Json::Value row(Json::objectValue);
      row["table"] = "servers";
      row["part"] = "";
      row["key"] = it->first;
      row["value"] = it->second;
      row["schema_version"] = 7;
      answer["rows"].append(row);
    }
    answer["has_more"] = it != rows_.end();
    http_.Reply(request.exchange,
                {.status = 200, .body = core::WriteJson(answer)});
  }

  std::size_t rows_per_page_;
  std::map<std::string, std::string> rows_;
  int refusals_ = 0;
  wire::HttpServer http_;
  std::string address_;
};

constexpr const char* kRegistration =
    R"({"service":"tasks","address":"127.0.0.1:9","zone":"z","state":"ready",)"
    R"("born":5,"capacity":{"cpu":4000,"mem_mb":1024,"gpu":0}})";

struct Fixture {
  explicit Fixture(std::size_t rows_per_page)
      : fake_store(loop, rows_per_page) {}

  wire::EventLoop loop;
  PagedStore fake_store;
  core::Counters counters;
  wire::HttpClient http{loop, wire::HttpClientOptions()};
  platform::StoreClient store{&http, fake_store.address(), &counters};
  std::vector<std::vector<core::workers::Listing>> lists;
  ListingReader reader{
      loop, &store, &counters, milliseconds(5),
      [this](std::vector<core::workers::Listing> list, base::TimePoint) {
        lists.push_back(std::move(list));
      }};

  void RunUntilLists(std::size_t count) {
    loop.RunUntil([&] { return lists.size() >= count; });
  }
};

TEST_CASE("ListingReader: a list of several pages") {
  Fixture f(2);
  for (const char* worker : {"a", "b", "c", "d", "e"}) {
    f.fake_store.Add(worker, kRegistration);
  }
  f.reader.Read();
  f.RunUntilLists(1);
  SUBCASE("is delivered as one list") {
    REQUIRE(f.lists[0].size() == 5);
    CHECK(f.lists[0][0].id.value() == "a");
    CHECK(f.lists[0][4].id.value() == "e");
    CHECK(f.lists[0][4].revision == 7);
  }
  SUBCASE("is read again after the period") {
    f.fake_store.Add("f", kRegistration);
    f.RunUntilLists(2);
    CHECK(f.lists[1].size() == 6);
  }
  SUBCASE("is delivered later, but never in part, if the store refuses reads") {
    f.fake_store.RefuseReads(3);
    f.RunUntilLists(3);
    CHECK(f.lists[1].size() == 5);
    CHECK(f.lists[2].size() == 5);
  }
}

TEST_CASE("ListingReader: a malformed entry is left out and counted") {
  Fixture f(2);
  f.fake_store.Add("a", kRegistration);
  f.fake_store.Add("b", "{\"service\":7}");
  f.fake_store.Add("c", kRegistration);
  f.reader.Read();
  f.RunUntilLists(1);
  REQUIRE(f.lists[0].size() == 2);
  CHECK(f.lists[0][1].id.value() == "c");
  CHECK(f.counters.value("registrations_unreadable", "missing_field") == 1);
}

}  // namespace
}  // namespace dotterelbarrow::member
