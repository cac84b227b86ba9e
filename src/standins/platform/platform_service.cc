// Routes and request handlers of the stand-in platform.
#include "src/standins/platform/platform_service.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::standins {
namespace {

using wire::HttpMethod;
using wire::HttpReply;
using wire::HttpRequest;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr std::uint32_t kDefaultReadLimit = 1000;

HttpReply MakeBadRequest(const base::Failure& reason) {
  Json::Value body;
  body["error"] = base::ToString(reason.code);
  body["detail"] = reason.detail;
  return {.status = kBadRequest, .body = core::WriteJson(body)};
}

std::string QueryText(const HttpRequest& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

// Returns the query parameter `name` as a number, or `default_value` if there
// is none.
std::uint32_t QueryNumber(const HttpRequest& request, const char* name,
                          std::uint32_t default_value) {
  const std::string text = QueryText(request, name);
  std::uint32_t number = default_value;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<base::Duration> Milliseconds(const Json::Value& value) {
  if (!value.isUInt()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value.asUInt());
}

// Parses the body of a fault request; returns nothing and sets `reason` if it
// is invalid.
std::optional<PlatformFault> ParseFault(const std::string& text,
                                        base::TimePoint now,
                                        base::Failure* reason) {
  const std::optional<Json::Value> json = core::ReadJson(text, reason);
  if (!json || !json->isObject() || !(*json)["mode"].isString()) {
    *reason = {base::FailureCode::kMissingField, "expected {\"mode\":...}"};
    return std::nullopt;
  }
  const auto mode = ParsePlatformFaultMode((*json)["mode"].asString());
  if (!mode) {
    *reason = {base::FailureCode::kUnknownValue, "mode"};
    return std::nullopt;
  }
  PlatformFault fault;
  fault.mode = *mode;
  fault.delay = Milliseconds((*json)["delay_ms"]).value_or(base::Duration(0));
  if (const auto lasts = Milliseconds((*json)["for_ms"])) {
    fault.until = now + *lasts;
  }
  for (const Json::Value& port : (*json)["only_from"]) {
    if (port.isUInt()) {
      fault.only_from.insert(static_cast<std::uint16_t>(port.asUInt()));
    }
  }
  return fault;
}

}  // namespace

PlatformService::PlatformService(const wire::EventLoop* loop,
                                 base::Duration host_list_lag)
    : loop_(loop), hosts_(host_list_lag) {}

bool PlatformService::Listen(const std::string& address,
                             base::Failure* reason) {
  ListeningPort& listener = listeners_.emplace_back();
  listener.server =
      std::make_unique<wire::HttpServer>(*loop_, wire::HttpServerOptions());
  AddRoutes(&listener);
  const auto port = listener.server->Listen(address, reason);
  listener.port = port.value_or(0);
  return port.has_value();
}

void PlatformService::AddRoutes(ListeningPort* listener) {
  RouteWithFaults(
      listener, HttpMethod::kPost, "/v1/table/transact",
      [this](const HttpRequest& request) { return Transact(request); });
  RouteWithFaults(
      listener, HttpMethod::kGet, "/v1/table/read",
      [this](const HttpRequest& request) { return ReadRows(request); });
  RouteWithFaults(
      listener, HttpMethod::kPut, "/v1/objects/",
      [this](const HttpRequest& request) { return PutObject(request); });
  RouteWithFaults(
      listener, HttpMethod::kDelete, "/v1/objects/",
      [this](const HttpRequest& request) { return DeleteObject(request); });
  RouteWithFaults(
      listener, HttpMethod::kGet, "/v1/objects/",
      [this](const HttpRequest& request) { return ReadObject(request); });
  RouteWithFaults(listener, HttpMethod::kGet, "/v1/hosts",
                  [this](const HttpRequest&) { return ReadHosts(); });
  wire::HttpServer* server = listener->server.get();
  server->Route(HttpMethod::kPut, "/v1/hosts",
                [this, server](const HttpRequest& request) {
                  server->Reply(request.exchange, PutHosts(request));
                });
  server->Route(HttpMethod::kPost, "/v1/fault",
                [this, server](const HttpRequest& request) {
                  server->Reply(request.exchange, PostFault(request));
                });
  server->Route(HttpMethod::kGet, "/v1/stats",
                [this, server](const HttpRequest& request) {
                  server->Reply(request.exchange, StatsPage());
                });
}

void PlatformService::RouteWithFaults(ListeningPort* listener,
                                      HttpMethod method,
                                      const std::string& path,
                                      RequestHandler handler) {
  listener->server->Route(
      method, path,
      [this, listener,
       handler = std::move(handler)](const HttpRequest& request) {
        const PlatformFaultMode mode =
            fault_.ModeFor(listener->port, wire::MonotonicNow());
        if (mode != PlatformFaultMode::kNone) {
          ++stats_.struck;
        }
        if (mode == PlatformFaultMode::kSilent) {
          return;
        }
        if (mode == PlatformFaultMode::kDown) {
          listener->server->Reply(
              request.exchange, {.status = kServiceUnavailable, .body = "{}"});
          return;
        }
        stats_.bytes_in += request.body.size();
        HttpReply reply = handler(request);
        stats_.bytes_out += reply.body.size();
        if (mode == PlatformFaultMode::kSlow) {
          ReplyLater(listener, request.exchange, std::move(reply));
        } else if (mode != PlatformFaultMode::kAnswerLost) {
          listener->server->Reply(request.exchange, reply);
        }
      });
}

void PlatformService::ReplyLater(ListeningPort* listener,
                                 wire::ExchangeId exchange, HttpReply reply) {
  const std::uint64_t number = ++last_delayed_reply_;
  auto send = [this, listener, exchange, number, reply = std::move(reply)] {
    listener->server->Reply(exchange, reply);
    delayed_replies_.erase(number);
  };
  auto timer = std::make_unique<wire::Timer>(*loop_, std::move(send));
  timer->StartOnce(fault_.delay);
  delayed_replies_.emplace(number, std::move(timer));
}

HttpReply PlatformService::Transact(const HttpRequest& request) {
  base::Failure reason;
  const auto transaction = core::Decode<core::TableTransaction>(
      request.body, core::Members::kAny, &reason);
  if (!transaction) {
    return MakeBadRequest(reason);
  }
  ++stats_.transactions;
  const core::TableStatus status = table_.Transact(*transaction);
  if (status == core::TableStatus::kCommitted) {
    stats_.rows_written += transaction->writes.size();
  } else {
    ++stats_.conflicts;
  }
  return {.status = kOk, .body = core::Encode(core::TransactAnswer{status})};
}

HttpReply PlatformService::ReadRows(const HttpRequest& request) {
  core::TableRead read;
  read.prefix = QueryText(request, "prefix");
  read.after = QueryText(request, "after");
  read.limit = QueryNumber(request, "limit", kDefaultReadLimit);
  const core::TableRows rows = table_.Read(read);
  ++stats_.reads;
  stats_.rows_read += rows.rows.size();
  return {.status = kOk, .body = core::Encode(rows)};
}

HttpReply PlatformService::PutObject(const HttpRequest& request) {
  ++stats_.object_writes;
  table_.PutObject(request.path_suffix, request.body);
  return {.status = kOk, .body = "{}"};
}

HttpReply PlatformService::DeleteObject(const HttpRequest& request) {
  ++stats_.object_writes;
  table_.DeleteObject(request.path_suffix);
  return {.status = kOk, .body = "{}"};
}

HttpReply PlatformService::ReadObject(const HttpRequest& request) {
  ++stats_.object_reads;
  const std::optional<std::string> value =
      table_.FindObject(request.path_suffix);
  if (!value) {
    return {.status = kNotFound, .body = "{}"};
  }
  return {.status = kOk, .body = *value};
}

HttpReply PlatformService::ReadHosts() {
  ++stats_.host_reads;
  const core::HostRecords records{hosts_.Shown(wire::MonotonicNow())};
  return {.status = kOk, .body = core::Encode(records)};
}

HttpReply PlatformService::PutHosts(const HttpRequest& request) {
  base::Failure reason;
  const auto records = core::Decode<core::HostRecords>(
      request.body, core::Members::kRejected, &reason);
  if (!records) {
    return MakeBadRequest(reason);
  }
  hosts_.Replace(records->hosts, wire::MonotonicNow());
  return {.status = kOk, .body = "{}"};
}

HttpReply PlatformService::PostFault(const HttpRequest& request) {
  base::Failure reason;
  const auto fault = ParseFault(request.body, wire::MonotonicNow(), &reason);
  if (!fault) {
    return MakeBadRequest(reason);
  }
  fault_ = *fault;
  return {.status = kOk, .body = "{}"};
}

HttpReply PlatformService::StatsPage() const {
  const auto number = [](std::uint64_t value) {
    return Json::Value(static_cast<Json::UInt64>(value));
  };
  Json::Value body;
  body["transactions"] = number(stats_.transactions);
  body["conflicts"] = number(stats_.conflicts);
  body["rows_written"] = number(stats_.rows_written);
  body["reads"] = number(stats_.reads);
  body["rows_read"] = number(stats_.rows_read);
  body["object_writes"] = number(stats_.object_writes);
  body["object_reads"] = number(stats_.object_reads);
  body["host_reads"] = number(stats_.host_reads);
  body["struck"] = number(stats_.struck);
  body["bytes_in"] = number(stats_.bytes_in);
  body["bytes_out"] = number(stats_.bytes_out);
  return {.status = kOk, .body = core::WriteJson(body)};
}

}  // namespace dotterelbarrow::standins
