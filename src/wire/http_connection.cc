// Implements a client connection with evhttp and timers of its own.
#include "src/wire/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace dotterelbarrow::wire {
namespace {

// evhttp restarts its timeouts with each byte, so they do not limit the
// duration of a call. They are set too long to matter, and timers here limit it
// instead.
constexpr timeval kNoTimeout = {
    .tv_sec = std::chrono::seconds(std::chrono::hours(24)).count(),
    .tv_usec = 0};
// The kernel closes a connection after this many consecutive keepalive probes
// without an answer.
constexpr int kMaxUnansweredProbes = 2;
// The bytes that libevent may read or write per turn of the loop. Its default
// is 16 KiB, so a large transaction would take many turns on a busy loop. This
// limit is larger than any message.
constexpr std::size_t kMaxBytesPerTurn = std::size_t{1} << 21;
// The kernel takes no more bytes while it holds this many that it hasn't sent
// yet. Otherwise it may take a whole request that the link carries in seconds,
// and the progress of the transfer is not visible. The slowest links, of 10
// Mbit/s, carry this many in 50 ms.
constexpr int kMaxUnsentBytes = 64 * 1024;

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

}  // namespace

HttpConnection::HttpConnection(const EventLoop& loop,
                               const SocketAddress& address,
                               const HttpClientOptions& options,
                               std::function<void(HttpConnection*)> on_change)
    : options_(options),
      host_(address.ip + ":" + std::to_string(address.port)),
      connection_(evhttp_connection_base_new(loop.base(), nullptr,
                                             address.ip.c_str(), address.port)),
      deadline_timer_(loop, [this] { OnDeadline(); }),
      on_change_timer_(
          loop, [this, on_change = std::move(on_change)] { on_change(this); }) {
  evhttp_connection_set_retries(connection_, 0);
  evhttp_connection_set_timeout_tv(connection_, &kNoTimeout);
  evhttp_connection_set_max_body_size(
      connection_, static_cast<ev_ssize_t>(options.max_body_bytes));
  evhttp_connection_set_closecb(connection_, &HttpConnection::OnClosed, this);
  bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
  bufferevent_set_max_single_read(stream, kMaxBytesPerTurn);
  bufferevent_set_max_single_write(stream, kMaxBytesPerTurn);
  evbuffer_add_cb(bufferevent_get_output(stream), &HttpConnection::OnOutput,
                  this);
  evbuffer_add_cb(bufferevent_get_input(stream), &HttpConnection::OnInput,
                  this);
}

HttpConnection::~HttpConnection() {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
  evbuffer_remove_cb(bufferevent_get_output(stream), &HttpConnection::OnOutput,
                     this);
  evbuffer_remove_cb(bufferevent_get_input(stream), &HttpConnection::OnInput,
                     this);
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  // Frees a pending request without calling its callback.
  evhttp_connection_free(connection_);
}

void HttpConnection::Start(const HttpCall& call, HttpClient::Callback done,
                           base::TimePoint deadline) {
  done_ = std::move(done);
  deadline_ = deadline;
  stall_timeout_ = call.timeout;
  final_deadline_ =
      std::max(deadline, deadline - call.timeout + call.max_transfer_time);
  on_request_progress_ = call.on_request_progress;
  on_answer_begun_ = call.on_answer_begun;
  sent_ = false;
  received_bytes_ = 0;
  last_progress_at_.reset();
  const base::Duration left = deadline - MonotonicNow();
  deadline_timer_.StartOnce(opened_ ? left
                                    : std::min(left, options_.connect_timeout));
  evhttp_request* request = MakeRequest(call);
  if (evhttp_make_request(connection_, request, ToCommand(call.method),
                          call.uri.c_str()) != 0) {
    Fail();
    return;
  }
  if (!opened_) {
    opened_ = true;
    SetSocketOptions();
  }
}

std::optional<EndedCall> HttpConnection::TakeEndedCall() {
  if (ended_ && ended_->result.outcome == HttpOutcome::kNotSent && sent_) {
    ended_->result.outcome = HttpOutcome::kLost;
  }
  return std::exchange(ended_, std::nullopt);
}

evhttp_request* HttpConnection::MakeRequest(const HttpCall& call) {
  evhttp_request* request = evhttp_request_new(&HttpConnection::OnDone, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", host_.c_str());
  if (!call.bearer.empty()) {
    const std::string authorization = "Bearer " + call.bearer;
    evhttp_add_header(headers, "Authorization", authorization.c_str());
  }
  for (const auto& [name, value] : call.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(),
                 call.body.size());
  }
  return request;
}

void HttpConnection::SetSocketOptions() {
  const evutil_socket_t fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  if (fd < 0) {
    return;
  }
  const auto set = [fd](int level, int option, int value) {
    setsockopt(fd, level, option, &value, sizeof(value));
  };
  using std::chrono::duration_cast;
  const auto silence =
      duration_cast<std::chrono::milliseconds>(options_.unacknowledged_timeout);
  const auto probe_period = std::max(std::chrono::seconds(1),
                                     duration_cast<std::chrono::seconds>(
                                         silence / (kMaxUnansweredProbes + 1)));
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(IPPROTO_TCP, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(probe_period.count()));
  set(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(probe_period.count()));
  set(IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silence.count()));
}

void HttpConnection::OnDone(evhttp_request* request, void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  const int status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) {
    connection->Fail();
    return;
  }
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  connection->End({HttpOutcome::kAnswered, status, std::move(body)});
}

void HttpConnection::OnClosed(evhttp_connection* /*connection*/, void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  connection->broken_ = true;
  connection->on_change_timer_.RunSoon();
}

void HttpConnection::OnOutput(evbuffer* /*buffer*/,
                              const evbuffer_cb_info* info, void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  if (info->n_deleted == 0) {
    return;
  }
  if (std::exchange(connection->sent_, true)) {
    connection->last_progress_at_ = MonotonicNow();
  }
  if (connection->done_ && connection->on_request_progress_) {
    connection->on_request_progress_();
  }
}

void HttpConnection::OnInput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                             void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  if (info->n_added == 0) {
    return;
  }
  connection->received_bytes_ += info->n_added;
  connection->last_progress_at_ = MonotonicNow();
  if (const auto begun = std::exchange(connection->on_answer_begun_, nullptr)) {
    begun();
  }
}

base::TimePoint HttpConnection::CurrentDeadline() const {
  if (!last_progress_at_) {
    return deadline_;
  }
  return std::max(deadline_, std::min(*last_progress_at_ + stall_timeout_,
                                      final_deadline_));
}

void HttpConnection::OnDeadline() {
  const base::TimePoint now = MonotonicNow();
  const base::TimePoint deadline = CurrentDeadline();
  if (sent_ && now < deadline) {
    deadline_timer_.StartOnce(deadline - now);
    return;
  }
  Fail();
}

void HttpConnection::Fail() {
  broken_ = true;
  End({sent_ ? HttpOutcome::kLost : HttpOutcome::kNotSent, 0, {}});
}

void HttpConnection::End(HttpResult result) {
  if (!done_) {
    return;
  }
  result.received_bytes = received_bytes_;
  ended_ = EndedCall{std::move(result), std::exchange(done_, nullptr)};
  idle_since_ = MonotonicNow();
  deadline_timer_.Cancel();
  on_change_timer_.RunSoon();
}

}  // namespace dotterelbarrow::wire
