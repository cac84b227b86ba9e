// A client that calls entry hosts, one after the other until one answers.
#ifndef DOTTERELBARROW_SRC_CTL_ENTRY_CLIENT_H_
#define DOTTERELBARROW_SRC_CTL_ENTRY_CLIENT_H_

#include <string>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"

namespace dotterelbarrow::ctl {

// A call that any entry host can serve.
struct EntryCall {
  wire::HttpMethod method = wire::HttpMethod::kGet;
  std::string uri;
  std::string body;
  // Whether repeating the call has no further effect.
  bool idempotent = true;
};

class EntryClient {
 public:
  // `loop` must outlive this. `timeout` applies to the call to each entry host.
  EntryClient(wire::EventLoop* loop, std::vector<std::string> entries,
              std::string key, base::Duration timeout);

  // Runs the loop until an entry host has answered or none is left to try. The
  // call is repeated at the next entry host if the request is certain not to
  // have been sent, or if its answer was lost and it is idempotent. Returns the
  // last result, but kLost instead of kNotSent if any answer was lost.
  wire::HttpResult Call(const EntryCall& call);
  // Runs the loop for `duration`.
  void Wait(base::Duration duration);

 private:
  wire::HttpResult CallOne(const std::string& entry, const EntryCall& call);

  wire::EventLoop* loop_;
  std::vector<std::string> entries_;
  std::string key_;
  base::Duration timeout_;
  wire::HttpClient client_;
};

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_ENTRY_CLIENT_H_
