// Encodes and decodes JSON-RPC requests and responses.
#include "src/member/rpc.h"

#include <chrono>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::member {
namespace {

// A connection attempt that fails sooner was refused; one that gets no response
// takes the whole connect time-out.
constexpr base::Duration kRefusalMaxLatency = std::chrono::milliseconds(200);

// A request is kept about this many times its size until it is answered: as
// its parameters, and as the state of the call that they describe.
constexpr std::size_t kCallSizeFactor = 4;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;

}  // namespace

void RpcClient::Call(const std::string& address, const std::string& method,
                     Json::Value params, base::Duration timeout, Done done,
                     base::Duration max_transfer_time) {
  Json::Value request(Json::objectValue);
  request["jsonrpc"] = "2.0";
  request["id"] = 1;  // A connection carries one request at a time.
  request["method"] = method;
  request["params"] = std::move(params);
  const base::TimePoint begun = wire::MonotonicNow();
  const auto on_answer =
      [this, begun, done = std::move(done)](const wire::HttpResult& answer) {
        RpcResult result;
        if (answer.outcome == wire::HttpOutcome::kNotSent) {
          result.outcome = wire::MonotonicNow() - begun < kRefusalMaxLatency
                               ? RpcOutcome::kRefused
                               : RpcOutcome::kNotSent;
        } else if (answer.outcome == wire::HttpOutcome::kAnswered) {
          base::Failure reason;
          auto value = core::ReadJson(answer.body, &reason);
          if (value && value->isObject() && (*value)["result"].isObject()) {
            result.outcome = RpcOutcome::kAnswered;
            result.result = std::move((*value)["result"]);
          }
        }
        if (result.outcome != RpcOutcome::kAnswered) {
          counters_->Increment(
              "peer_calls_failed",
              result.outcome == RpcOutcome::kLost ? "lost" : "not_sent");
        }
        done(result);
      };
  client_->Call({.address = address,
                 .method = wire::HttpMethod::kPost,
                 .uri = "/rpc",
                 .body = core::WriteJson(request),
                 .timeout = timeout,
                 .max_transfer_time = max_transfer_time},
                on_answer);
}

RpcServer::RpcServer(wire::HttpServer* server, core::Counters* counters)
    : server_(server), counters_(counters) {
  server->Route(wire::HttpMethod::kPost, "/rpc",
                [this](const wire::HttpRequest& post) { OnPost(post); });
}

void RpcServer::OnPost(const wire::HttpRequest& post) {
  if (!server_->Reserve(post.exchange, kCallSizeFactor * post.body.size())) {
    counters_->Increment("peer_calls_refused", "request_memory");
    return;
  }
  base::Failure reason;
  const auto request = core::ReadJson(post.body, &reason);
  const auto handler =
      request && request->isObject() && (*request)["method"].isString()
          ? handlers_.find((*request)["method"].asString())
          : handlers_.end();
  if (handler == handlers_.end()) {
    counters_->Increment("peer_calls_refused", "malformed");
    server_->Reply(post.exchange, {.status = kStatusBadRequest, .body = {}});
    return;
  }
  handler->second((*request)["params"], [this, exchange = post.exchange,
                                         id = (*request)["id"],
                                         method = handler->first](
                                            Json::Value result) {
    Json::Value response(Json::objectValue);
    response["jsonrpc"] = "2.0";
    response["id"] = id;
    response["result"] = std::move(result);
    std::string body = core::WriteJson(response);
    counters_->Increment("peer_answer_bytes", method.c_str(), body.size());
    server_->Reply(exchange, {.status = kStatusOk, .body = std::move(body)});
  });
}

}  // namespace dotterelbarrow::member
