// A keep-alive HTTP client connection, which carries one call at a time.
#ifndef DOTTERELBARROW_SRC_WIRE_HTTP_CONNECTION_H_
#define DOTTERELBARROW_SRC_WIRE_HTTP_CONNECTION_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <functional>
#include <optional>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_types.h"

namespace dotterelbarrow::wire {

// A call that has ended but whose callback `done` has not been called yet.
struct EndedCall {
  HttpResult result;
  HttpClient::Callback done;
};

class HttpConnection {
 public:
  // Calls `on_change` after a call has ended or the connection was closed. It
  // is called from the loop, never from within another member function, and may
  // destroy the connection.
  HttpConnection(const EventLoop& loop, const SocketAddress& address,
                 const HttpClientOptions& options,
                 std::function<void(HttpConnection*)> on_change);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Starts `call`, which fails if it has not ended by `deadline`, or at a later
  // time that `call.max_transfer_time` permits. Must be called only while
  // is_idle().
  void Start(const HttpCall& call, HttpClient::Callback done,
             base::TimePoint deadline);
  // Removes and returns the call that has ended, if there is one.
  std::optional<EndedCall> TakeEndedCall();

  // Returns whether a call may be started on this connection.
  bool is_idle() const { return !broken_ && !done_ && !ended_; }
  // Returns whether the connection is unusable and should be destroyed.
  bool is_broken() const { return broken_; }
  base::TimePoint idle_since() const { return idle_since_; }

 private:
  static void OnDone(evhttp_request* request, void* self);
  static void OnClosed(evhttp_connection* connection, void* self);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* self);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                      void* self);
  void OnDeadline();
  // Returns when the pending call fails unless more bytes are transferred.
  base::TimePoint CurrentDeadline() const;
  evhttp_request* MakeRequest(const HttpCall& call);
  void SetSocketOptions();
  void Fail();
  void End(HttpResult result);

  const HttpClientOptions& options_;
  std::string host_;
  evhttp_connection* connection_;
  // The callback of the pending call; empty if there is none.
  HttpClient::Callback done_;
  std::optional<EndedCall> ended_;
  base::TimePoint deadline_;
  // The `timeout` of the pending call, and the time by which its answer must be
  // complete however steadily it arrives.
  base::Duration stall_timeout_{0};
  base::TimePoint final_deadline_;
  std::function<void()> on_request_progress_;
  std::function<void()> on_answer_begun_;
  base::TimePoint idle_since_;
  // Whether a first call has opened the socket and its options have been set.
  bool opened_ = false;
  // Whether any byte of the pending call was handed to the kernel.
  bool sent_ = false;
  // How many bytes of the pending call's answer have arrived.
  std::size_t received_bytes_ = 0;
  // When the last bytes of the answer arrived or, except for the first ones, of
  // the request were handed to the kernel; not set before.
  std::optional<base::TimePoint> last_progress_at_;
  // Set when a call fails or the connection is closed. Invariant: never reset
  // to false.
  bool broken_ = false;
  Timer deadline_timer_;
  Timer on_change_timer_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_SRC_WIRE_HTTP_CONNECTION_H_
