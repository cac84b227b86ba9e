// JSON-RPC 2.0 between entry hosts, over HTTP. A handler may answer a request
// at any later time. The server of libjsonrpccpp can only answer before its
// handler returns, so this file reads and writes the JSON-RPC messages itself,
// with jsoncpp.
#ifndef DOTTERELBARROW_SRC_MEMBER_RPC_H_
#define DOTTERELBARROW_SRC_MEMBER_RPC_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::member {

enum class RpcOutcome {
  kAnswered,
  kNotSent,  // The request wasn't sent, so it was not handled.
  kRefused,  // The connection was refused at once: no process listens there.
  kLost,     // No valid answer came; the request may have been handled.
};

struct RpcResult {
  RpcOutcome outcome = RpcOutcome::kLost;
  Json::Value result;
};

class RpcClient {
 public:
  using Done = std::function<void(const RpcResult&)>;

  // `client` and `counters` must outlive this.
  RpcClient(wire::HttpClient* client, core::Counters* counters)
      : client_(client), counters_(counters) {}

  // Calls `done` once, with the result or the reason why there is none. See
  // wire::HttpCall about `timeout` and `max_transfer_time`.
  void Call(const std::string& address, const std::string& method,
            Json::Value params, base::Duration timeout, Done done,
            base::Duration max_transfer_time = base::Duration(0));

 private:
  wire::HttpClient* client_;
  core::Counters* counters_;
};

class RpcServer {
 public:
  // To be called exactly once for each request, at once or later.
  using Reply = std::function<void(Json::Value result)>;
  using Handler = std::function<void(const Json::Value& params, Reply reply)>;

  // Answers POST /rpc on `server`, which must outlive this.
  RpcServer(wire::HttpServer* server, core::Counters* counters);

  void Bind(const std::string& method, Handler handler) {
    handlers_[method] = std::move(handler);
  }

 private:
  void OnPost(const wire::HttpRequest& post);

  wire::HttpServer* server_;
  core::Counters* counters_;
  std::map<std::string, Handler> handlers_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_RPC_H_
