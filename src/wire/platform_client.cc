// Makes platform calls over HTTP and translates their outcomes for the core.
#include "dotterelbarrow/wire/platform_client.h"

#include <optional>
#include <utility>

#include "dotterelbarrow/wire/codec.h"

namespace dotterelbarrow::wire {
namespace {

using core::TableStatus;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

bool IsStatus(const HttpResult& result, int status) {
  return result.outcome == HttpOutcome::kAnswered && result.status == status;
}

bool IsSuccess(const HttpResult& result) {
  return result.outcome == HttpOutcome::kAnswered && result.status / 100 == 2;
}

// Returns whether the platform is certain not to have executed the call.
bool IsNotExecuted(const HttpResult& result) {
  return result.outcome == HttpOutcome::kNotSent ||
         IsStatus(result, kServiceUnavailable);
}

// Returns the status of a write whose answer does not state its outcome.
TableStatus StatusOfFailedWrite(const HttpResult& result) {
  return IsNotExecuted(result) ? TableStatus::kUnavailable
                               : TableStatus::kUnknown;
}

template <typename Message>
std::optional<Message> DecodeAnswer(const HttpResult& result) {
  if (!IsStatus(result, kOk)) {
    return std::nullopt;
  }
  base::Failure reason;
  return Decode<Message>(result.body, Members::kAny, &reason);
}

TableStatus TransactionStatus(const HttpResult& result) {
  const auto answer = DecodeAnswer<TransactAnswer>(result);
  if (answer && (answer->status == TableStatus::kCommitted ||
                 answer->status == TableStatus::kConflict)) {
    return answer->status;
  }
  return StatusOfFailedWrite(result);
}

TableStatus ObjectReadStatus(const HttpResult& result) {
  if (IsStatus(result, kOk)) {
    return TableStatus::kCommitted;
  }
  return IsStatus(result, kNotFound) ? TableStatus::kConflict
                                     : TableStatus::kUnavailable;
}

std::string ObjectUri(const std::string& key) {
  return "/v1/objects/" + EncodeUriComponent(key);
}

}  // namespace

PlatformClient::PlatformClient(HttpClient* client, std::string address,
                               base::Duration timeout, Deliver deliver,
                               core::Counters* counters)
    : client_(client),
      address_(std::move(address)),
      timeout_(timeout),
      deliver_(std::move(deliver)),
      counters_(counters) {}

void PlatformClient::Send(const core::TableTransaction& transaction) {
  Call(HttpMethod::kPost, "/v1/table/transact", Encode(transaction),
       [this, call = transaction.call](const HttpResult& result) {
         const TableStatus status = TransactionStatus(result);
         if (status == TableStatus::kUnavailable ||
             status == TableStatus::kUnknown) {
           CountFailure("transact", result);
         }
         deliver_(core::TableResult{call, status});
       });
}

void PlatformClient::Send(const core::TableRead& read) {
  std::string uri = "/v1/table/read?prefix=" + EncodeUriComponent(read.prefix) +
                    "&after=" + EncodeUriComponent(read.after) +
                    "&limit=" + std::to_string(read.limit);
  Call(
      HttpMethod::kGet, std::move(uri), {},
      [this, call = read.call](const HttpResult& result) {
        auto rows = DecodeAnswer<core::TableRows>(result);
        if (!rows) {
          CountFailure("table_read", result);
          deliver_(core::TableRows{call, TableStatus::kUnavailable, {}, false});
          return;
        }
        rows->call = call;
        rows->status = TableStatus::kCommitted;
        deliver_(*std::move(rows));
      });
}

void PlatformClient::Send(const core::ObjectWrite& write) {
  const HttpMethod method =
      write.value.empty() ? HttpMethod::kDelete : HttpMethod::kPut;
  Call(method, ObjectUri(write.key), write.value,
       [this, call = write.call](const HttpResult& result) {
         if (IsSuccess(result)) {
           deliver_(core::ObjectResult{call, TableStatus::kCommitted, {}});
           return;
         }
         CountFailure("object_write", result);
         deliver_(core::ObjectResult{call, StatusOfFailedWrite(result), {}});
       });
}

void PlatformClient::Send(const core::ObjectRead& read) {
  Call(HttpMethod::kGet, ObjectUri(read.key), {},
       [this, call = read.call](const HttpResult& result) {
         const TableStatus status = ObjectReadStatus(result);
         if (status == TableStatus::kUnavailable) {
           CountFailure("object_read", result);
         }
         const bool found = status == TableStatus::kCommitted;
         deliver_(core::ObjectResult{call, status,
                                     found ? result.body : std::string()});
       });
}

void PlatformClient::Send(const core::HostListRead& /*read*/) {
  Call(HttpMethod::kGet, "/v1/hosts", {}, [this](const HttpResult& result) {
    auto records = DecodeAnswer<HostRecords>(result);
    if (!records) {
      CountFailure("hosts", result);
      deliver_(core::HostList{false, {}});
      return;
    }
    deliver_(core::HostList{true, std::move(records->hosts)});
  });
}

void PlatformClient::Call(HttpMethod method, std::string uri, std::string body,
                          HttpClient::Callback done) {
  client_->Call({.address = address_,
                 .method = method,
                 .uri = std::move(uri),
                 .body = std::move(body),
                 .timeout = timeout_},
                std::move(done));
}

void PlatformClient::CountFailure(const char* call, const HttpResult& result) {
  const char* outcome = "bad_answer";
  if (IsNotExecuted(result)) {
    outcome = "unavailable";
  } else if (result.outcome == HttpOutcome::kLost) {
    outcome = "lost";
  }
  counters_->Increment("platform_calls_failed",
                       (std::string(call) + "_" + outcome).c_str());
}

}  // namespace dotterelbarrow::wire
