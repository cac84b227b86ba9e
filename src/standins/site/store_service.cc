// Request handlers of the store.
#include "src/standins/site/store_service.h"

#include <cstdlib>
#include <utility>

#include "dotterelbarrow/core/codec.h"
#include "platform/base64.h"
#include "src/standins/site/clock.h"

namespace dotterelbarrow::standins::site {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kGone = 410;
constexpr int kConflict = 412;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxRowsPerRead = 500;
constexpr std::size_t kMaxTransactionEntries = 100;
constexpr std::size_t kMaxTransactionBytes = 1'000'000;
// Of a value that is encoded as base64.
constexpr std::size_t kMaxRowBytes = 65'536;
// Time that a transaction and a read take, and the factor under kSlow.
constexpr std::int64_t kTransactionDelayMs = 8;
constexpr std::int64_t kReadDelayMs = 2;
constexpr std::int64_t kSlowFactor = 60;
// How often a feed without changes looks for some.
constexpr std::int64_t kFeedCheckMs = 10;
constexpr std::int64_t kMinLateDelayMs = 1000;
constexpr std::int64_t kMaxLateDelayMs = 6000;

std::string TextOf(const Json::Value& value, const char* name) {
  return value[name].isString() ? value[name].asString() : std::string();
}

RowName RowOf(const Json::Value& value) {
  return {TextOf(value, "table"), TextOf(value, "part"), TextOf(value, "key")};
}

std::uint64_t VersionOf(const Json::Value& value) {
  const Json::Value& version = value["schema_version"];
  return version.isUInt64() ? version.asUInt64() : 0;
}

Json::Value ToJson(const RowName& name, const StoredRow& row) {
  Json::Value value(Json::objectValue);
  value["table"] = name.table;
  value["part"] = name.part;
  value["key"] = name.key;
  value["value"] = row.value;
  value["schema_version"] = static_cast<Json::UInt64>(row.version);
  return value;
}

std::string QueryText(const wire::HttpRequest& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

// Whether the scheduler may only read the row: the operator and the workers
// write these tables.
bool IsReadOnly(const RowName& row) {
  return row.table == "op" || row.table == "servers";
}

}  // namespace

StoreService::StoreService(const wire::EventLoop& loop,
                           DelayedCalls* delayed_calls, std::uint32_t seed)
    : server_(loop, wire::HttpServerOptions()),
      delayed_calls_(delayed_calls),
      random_(seed) {
  server_.Route(
      wire::HttpMethod::kPost, "/rows-tx",
      [this](const wire::HttpRequest& request) { OnTransaction(request); });
  server_.Route(wire::HttpMethod::kGet, "/rows-get",
                [this](const wire::HttpRequest& request) { OnRead(request); });
  server_.Route(wire::HttpMethod::kGet, "/rows-feed",
                [this](const wire::HttpRequest& request) { OnFeed(request); });
}

bool StoreService::Listen(const std::string& address, base::Failure* reason) {
  return server_.Listen(address, reason).has_value();
}

void StoreService::PutText(const std::string& table, const std::string& key,
                           const std::string& text) {
  model_.Put({table, "", key}, platform::EncodeBase64(text));
}

void StoreService::Remove(const std::string& table, const std::string& key) {
  model_.Remove({table, "", key});
}

bool StoreService::HandleOutage(const wire::HttpRequest& request) {
  if (fault_ == StoreFault::kRefusing) {
    Reply(request.exchange, kUnavailable, Json::Value(Json::objectValue));
  }
  return fault_ == StoreFault::kRefusing || fault_ == StoreFault::kSilent;
}

void StoreService::OnTransaction(const wire::HttpRequest& request) {
  if (HandleOutage(request)) {
    return;
  }
  base::Failure reason;
  const auto body = core::ReadJson(request.body, &reason);
  StoreTransaction transaction;
  bool is_allowed = true;
  bool has_large_row = false;
  std::size_t entries = 0;
  for (const Json::Value& row :
       body ? (*body)["expected_revision"] : Json::Value()) {
    transaction.conditions.push_back({RowOf(row), VersionOf(row)});
    ++entries;
  }
  for (const Json::Value& row : body ? (*body)["put"] : Json::Value()) {
    is_allowed = is_allowed && !IsReadOnly(RowOf(row));
    std::string value = TextOf(row, "value");
    has_large_row |= value.size() > kMaxRowBytes;
    transaction.puts[RowOf(row)] = std::move(value);
    ++entries;
  }
  for (const Json::Value& row : body ? (*body)["remove"] : Json::Value()) {
    is_allowed = is_allowed && !IsReadOnly(RowOf(row));
    transaction.removals.push_back(RowOf(row));
    ++entries;
  }
  if (!body || entries > kMaxTransactionEntries || !is_allowed ||
      has_large_row || request.body.size() > kMaxTransactionBytes) {
    Reply(request.exchange, is_allowed ? kBadRequest : kForbidden,
          Json::Value(Json::objectValue));
    return;
  }
  const bool is_late = fault_ == StoreFault::kLate && DrawFault();
  const bool is_lost =
      is_late || (fault_ == StoreFault::kLosing && DrawFault());
  std::int64_t delay =
      kTransactionDelayMs * (fault_ == StoreFault::kSlow ? kSlowFactor : 1);
  if (is_late) {
    delay = std::uniform_int_distribution<std::int64_t>(
        kMinLateDelayMs, kMaxLateDelayMs)(random_);
  }
  delayed_calls_->After(delay, [this, exchange = request.exchange, is_lost,
                                transaction = std::move(transaction)] {
    const auto version = model_.Apply(transaction);
    if (is_lost) {
      return;
    }
    Json::Value answer(Json::objectValue);
    answer["schema_version"] =
        static_cast<Json::UInt64>(version.value_or(model_.version()));
    for (const auto& condition : transaction.conditions) {
      const StoredRow* row = model_.Find(condition.row);
      if (!version && row != nullptr) {
        answer["rows"].append(ToJson(condition.row, *row));
      }
    }
    Reply(exchange, version ? kOk : kConflict, answer);
  });
}

void StoreService::OnRead(const wire::HttpRequest& request) {
  if (HandleOutage(request)) {
    return;
  }
  const std::int64_t delay =
      kReadDelayMs * (fault_ == StoreFault::kSlow ? kSlowFactor : 1);
  delayed_calls_->After(delay, [this, request] {
    const StoreModel::Range range =
        model_.Read(QueryText(request, "table"), QueryText(request, "part"),
                    QueryText(request, "from"), QueryText(request, "target"),
                    kMaxRowsPerRead);
    Json::Value answer(Json::objectValue);
    answer["rows"] = Json::Value(Json::arrayValue);
    for (const auto& [name, row] : range.rows) {
      answer["rows"].append(ToJson(name, row));
    }
    answer["has_more"] = range.has_more;
    answer["schema_version"] = static_cast<Json::UInt64>(model_.version());
    Reply(request.exchange, kOk, answer);
  });
}

void StoreService::OnFeed(const wire::HttpRequest& request) {
  if (HandleOutage(request)) {
    return;
  }
  const std::int64_t delay =
      kReadDelayMs * (fault_ == StoreFault::kSlow ? kSlowFactor : 1);
  const std::int64_t wait_ms =
      std::atoll(QueryText(request, "wait_ms").c_str());
  delayed_calls_->After(delay,
                        [this, request, until = NowMillis() + delay + wait_ms] {
                          AnswerFeed(request, until);
                        });
}

void StoreService::AnswerFeed(const wire::HttpRequest& request,
                              std::int64_t wait_until_ms) {
  const std::uint64_t after =
      std::strtoull(QueryText(request, "depends_on").c_str(), nullptr, 10);
  const auto changes = model_.ChangesOf(QueryText(request, "table"), after);
  if (!changes) {
    Reply(request.exchange, kGone, Json::Value(Json::objectValue));
    return;
  }
  if (changes->empty() && NowMillis() < wait_until_ms) {
    delayed_calls_->After(kFeedCheckMs, [this, request, wait_until_ms] {
      AnswerFeed(request, wait_until_ms);
    });
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["rows"] = Json::Value(Json::arrayValue);
  for (const StoreModel::Change& change : *changes) {
    Json::Value row = ToJson(
        change.row, change.value.value_or(StoredRow{"", change.version}));
    if (!change.value) {
      row.removeMember("value");
      row["deleted"] = true;
    }
    answer["rows"].append(std::move(row));
  }
  answer["schema_version"] = static_cast<Json::UInt64>(model_.version());
  Reply(request.exchange, kOk, answer);
}

void StoreService::Reply(wire::ExchangeId exchange, int status,
                         const Json::Value& body) {
  Json::Value answer = body;
  answer["now_ms"] = static_cast<Json::Int64>(StoreMillis());
  server_.Reply(exchange, {.status = status, .body = core::WriteJson(answer)});
}

}  // namespace dotterelbarrow::standins::site
