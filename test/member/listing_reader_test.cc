// Tests that ListingReader delivers a whole list and then all of its changes,
// when the store pages its answers, refuses reads or drops its history.
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
    http_.Route(wire::HttpMethod::kGet, "/rows-feed",
                [this](const wire::HttpRequest& request) { OnFeed(request); });
    base::Failure reason;
    address_ = "127.0.0.1:" +
               std::to_string(http_.Listen("127.0.0.1:0", &reason).value_or(0));
  }

  void Add(const std::string& worker, const std::string& text) {
    rows_[worker] = platform::EncodeBase64(text);
    changes_.emplace_back(++version_, worker);
  }
  void Remove(const std::string& worker) {
    rows_.erase(worker);
    changes_.emplace_back(++version_, worker);
  }
  // Forgets all changes so far.
  void DropHistory() {
    history_begin_ = version_;
    changes_.clear();
  }
  int reads() const { return reads_; }
  // Refuses the next `count` reads of either kind.
  void RefuseReads(int count) { refusals_ = count; }
  const std::string& address() const { return address_; }

 private:
  bool Refuse(const wire::HttpRequest& request) {
    if (refusals_ == 0) {
      return false;
    }
    --refusals_;
    http_.Reply(request.exchange, {.status = 503, .body = "{}"});
    return true;
  }

  Json::Value RowOf(const std::string& key) const {
    Json::Value row(Json::objectValue);
    row["table"] = "servers";
    row["part"] = "";
    row["key"] = key;
    row["schema_version"] = 7;
    if (const auto it = rows_.find(key); it != rows_.end()) {
      row["value"] = it->second;
    } else {
      row["deleted"] = true;
    }
    return row;
  }

  // Answers at once, also without changes.
  void OnFeed(const wire::HttpRequest& request) {
    if (Refuse(request)) {
      return;
    }
    const std::uint64_t after = std::stoull(request.query.at("depends_on"));
    if (after < history_begin_) {
      http_.Reply(request.exchange, {.status = 410, .body = "{}"});
      return;
    }
    Json::Value answer(Json::objectValue);
    answer["rows"] = Json::Value(Json::arrayValue);
    for (const auto& [version, key] : changes_) {
      if (version > after) {
        answer["rows"].append(RowOf(key));
      }
    }
    answer["schema_version"] = static_cast<Json::UInt64>(version_);
    http_.Reply(request.exchange,
                {.status = 200, .body = core::WriteJson(answer)});
  }

  void OnRead(const wire::HttpRequest& request) {
    if (Refuse(request)) {
      return;
    }
    ++reads_;
    const auto from = request.query.find("from");
    auto it = from == request.query.end() ? rows_.begin()
                                          : rows_.lower_bound(from->second);
    Json::Value answer(Json::objectValue);
    answer["rows"] = Json::Value(Json::arrayValue);
    for (; it != rows_.end() && answer["rows"].size() < rows_per_page_; ++it) {
      answer["rows"].append(RowOf(it->first));
    }
    answer["has_more"] = it != rows_.end();
    answer["schema_version"] = static_cast<Json::UInt64>(version_);
    http_.Reply(request.exchange,
                {.status = 200, .body = core::WriteJson(answer)});
  }

  std::size_t rows_per_page_;
  std::map<std::string, std::string> rows_;
  std::uint64_t version_ = 0;
  std::uint64_t history_begin_ = 0;
  // The version of each change, and the row that it changed.
  std::vector<std::pair<std::uint64_t, std::string>> changes_;
  int refusals_ = 0;
  int reads_ = 0;
  wire::HttpServer http_;
  std::string address_;
};

constexpr const char* kRegistration =
    R"({"service":"tasks","address":"127.0.0.1:9","zone":"z","state":"ready",)"
    R"("born":5,"capacity":{"cpu":4000,"mem_mb":1024,"gpu":0}})";

struct Fixture {
  explicit Fixture(std::size_t rows_per_page,
                   base::Duration reading_period = milliseconds(5))
      : period(reading_period), fake_store(loop, rows_per_page) {}

  base::Duration period;
  wire::EventLoop loop;
  PagedStore fake_store;
  core::Counters counters;
  wire::HttpClient http{loop, wire::HttpClientOptions()};
  platform::StoreClient store{&http, fake_store.address(), &counters};
  std::vector<std::vector<core::workers::Listing>> lists;
  // Of the last list.
  std::vector<base::BackendId> unreadable;
  std::vector<core::scheduler::ListingChanges> changes;
  ListingReader reader{
      loop,
      &store,
      &counters,
      period,
      [this](std::vector<core::workers::Listing> list,
             std::vector<base::BackendId> unreadable_entries, base::TimePoint) {
        lists.push_back(std::move(list));
        unreadable = std::move(unreadable_entries);
      },
      [this](core::scheduler::ListingChanges changed, base::TimePoint) {
        if (!changed.listed.empty() || !changed.removed.empty() ||
            !changed.unusable.empty()) {
          changes.push_back(std::move(changed));
        }
      }};

  void RunUntilLists(std::size_t count) {
    loop.RunUntil([&] { return lists.size() >= count; });
  }
  void RunUntilChanges(std::size_t count) {
    loop.RunUntil([&] { return changes.size() >= count; });
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
  SUBCASE("is not read again while it changes: only the changes are") {
    const int reads = f.fake_store.reads();
    f.fake_store.Add("f", kRegistration);
    f.RunUntilChanges(1);
    REQUIRE(f.changes[0].listed.size() == 1);
    CHECK(f.changes[0].listed[0].id.value() == "f");
    CHECK(f.changes[0].listed[0].revision == 7);
    CHECK(f.changes[0].removed.empty());
    f.fake_store.Remove("b");
    f.RunUntilChanges(2);
    CHECK(f.changes[1].listed.empty());
    REQUIRE(f.changes[1].removed.size() == 1);
    CHECK(f.changes[1].removed[0].value() == "b");
    CHECK(f.fake_store.reads() == reads);
  }
  SUBCASE("names a worker once whose entry changed several times") {
    f.fake_store.Remove("a");
    f.fake_store.Add("a", kRegistration);
    f.RunUntilChanges(1);
    CHECK(f.changes[0].listed.size() == 1);
    CHECK(f.changes[0].removed.empty());
  }
  SUBCASE("tells an entry that can't be read from one that was removed") {
    f.fake_store.Add("a", "{\"service\":7}");
    f.RunUntilChanges(1);
    CHECK(f.changes[0].removed.empty());
    REQUIRE(f.changes[0].unusable.size() == 1);
    CHECK(f.changes[0].unusable[0].value() == "a");
    f.fake_store.Add("b", kRegistration);
    f.fake_store.DropHistory();
    f.RunUntilLists(2);
    CHECK(f.lists[1].size() == 4);
    REQUIRE(f.unreadable.size() == 1);
    CHECK(f.unreadable[0].value() == "a");
  }
  SUBCASE("is read as a whole again if the store has dropped its history") {
    f.fake_store.Remove("a");
    f.fake_store.DropHistory();
    f.RunUntilLists(2);
    CHECK(f.lists[1].size() == 4);
  }
  SUBCASE("loses no change while the store refuses reads") {
    f.fake_store.RefuseReads(3);
    f.fake_store.Add("f", kRegistration);
    f.RunUntilChanges(1);
    CHECK(f.changes[0].listed.size() == 1);
  }
  SUBCASE("can be asked for as a whole at any time") {
    f.reader.Read();
    f.RunUntilLists(2);
    CHECK(f.lists[1].size() == 5);
  }
}

// Load pattern: a store that keeps no history while workers come and go.
// Reading the whole list for each change would cost more than reading it
// regularly.
TEST_CASE("ListingReader: a store without a history") {
  Fixture f(2, std::chrono::hours(1));
  f.fake_store.Add("a", kRegistration);
  f.reader.Read();
  f.RunUntilLists(1);
  const int reads = f.fake_store.reads();
  f.fake_store.Remove("a");
  f.fake_store.DropHistory();
  f.loop.RunUntil(
      [&] { return f.counters.value("store_feeds", "history_gone") == 1; });
  // The answer to another call comes after whatever the reader has sent.
  bool is_answered = false;
  f.store.ReadFeed("servers", base::RowVersion(100), milliseconds(0),
                   std::chrono::seconds(5),
                   [&](const platform::FeedResult&) { is_answered = true; });
  f.loop.RunUntil([&] { return is_answered; });
  CHECK(f.fake_store.reads() == reads);
}

TEST_CASE(
    "ListingReader: a list is delivered late, but never in part, if the "
    "store refuses reads") {
  Fixture f(2);
  for (const char* worker : {"a", "b", "c"}) {
    f.fake_store.Add(worker, kRegistration);
  }
  f.fake_store.RefuseReads(3);
  f.reader.Read();
  f.RunUntilLists(1);
  CHECK(f.lists[0].size() == 3);
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
