// Decodes JSON-RPC notifications into typed messages.
#include "dotterelbarrow/wire/peer_server.h"

#include <jsonrpccpp/server/abstractserver.h>

#include <exception>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "dotterelbarrow/wire/codec.h"

namespace dotterelbarrow::wire {
namespace {

// The most values of a message. Parsed, each takes about a hundred bytes.
constexpr std::size_t kMaxValues = 1'000'000;

// A connector that has no transport: the library handles each text
// synchronously on the calling thread, and the connector stores the response
// instead of sending it.
class ImmediateConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* /*info*/) override {
    response_ = response;
    return true;
  }
  // Returns the last response and clears it.
  std::string TakeResponse() { return std::exchange(response_, {}); }

 private:
  std::string response_;
};

// Returns the member `name` of `params`, or a JSON null if there is none.
const Json::Value& Member(const Json::Value& params, const char* name) {
  const Json::Value& object =
      params.isObject() ? params : Json::Value::nullSingleton();
  return object[name];
}

}  // namespace

// ImmediateConnector is the first base class, so that it is constructed before
// the library's server, which refers to it.
class PeerServer::Impl : private ImmediateConnector,
                         public jsonrpc::AbstractServer<PeerServer::Impl> {
 public:
  Impl(HttpServer* server, const core::NodeSettings& settings, Deliver deliver,
       core::Counters* counters)
      : AbstractServer(static_cast<ImmediateConnector&>(*this)),
        server_(server),
        deliver_(std::move(deliver)),
        counters_(counters) {
    for (const core::EntryRecord& record : settings.entries) {
      entries_.insert(record.entry.value());
    }
    BindAll(static_cast<core::PeerMessage*>(nullptr));
    server->Route(HttpMethod::kPost, "/rpc",
                  [this](const HttpRequest& post) { OnPost(post); });
  }

 private:
  template <typename... Messages>
  void BindAll(std::variant<Messages...>* /*tag*/) {
    (Bind<Messages>(), ...);
  }

  template <typename Message>
  void Bind() {
    bindAndAddNotification(jsonrpc::Procedure(MethodName<Message>(),
                                              jsonrpc::PARAMS_BY_NAME, nullptr),
                           &Impl::OnNotification<Message>);
  }

  void OnPost(const HttpRequest& post) {
    if (core::MaxJsonValues(post.body) > kMaxValues) {
      counters_->Increment("peer_messages_refused", "too_many_values");
      server_->Reply(post.exchange, {.status = 413, .body = {}});
      return;
    }
    if (!HandleText(post.body)) {
      counters_->Increment("peer_messages_refused", "malformed");
      server_->Reply(post.exchange, {.status = 400, .body = {}});
      return;
    }
    server_->Reply(post.exchange, {.status = 204, .body = {}});
  }

  // Passes `text` to the library. Returns whether it was valid JSON-RPC with
  // known methods only.
  bool HandleText(const std::string& text) {
    try {
      OnRequest(text);
    } catch (const std::exception&) {
      return false;
    }
    // The library responds to a notification only to report an error.
    return TakeResponse().empty();
  }

  template <typename Message>
  void OnNotification(const Json::Value& params) {
    const Json::Value& from = Member(params, "from");
    const Json::Value& incarnation = Member(params, "incarnation");
    if (!from.isString() || !incarnation.isUInt64()) {
      counters_->Increment("peer_messages_refused", "no_sender");
      return;
    }
    if (!entries_.contains(from.asString())) {
      counters_->Increment("peer_messages_refused", "unknown_sender");
      return;
    }
    base::Failure reason;
    std::optional<Message> message =
        FromJson<Message>(Member(params, "message"), Members::kAny, &reason);
    if (!message) {
      counters_->Increment("peer_messages_refused", ToString(reason.code));
      return;
    }
    deliver_({base::EntryId(from.asString()),
              base::Incarnation(incarnation.asUInt64()), *std::move(message)});
  }

  HttpServer* server_;
  Deliver deliver_;
  core::Counters* counters_;
  std::set<std::string> entries_;
};

PeerServer::PeerServer(HttpServer* server, const core::NodeSettings& settings,
                       Deliver deliver, core::Counters* counters)
    : impl_(std::make_unique<Impl>(server, settings, std::move(deliver),
                                   counters)) {}

PeerServer::~PeerServer() = default;

}  // namespace dotterelbarrow::wire
