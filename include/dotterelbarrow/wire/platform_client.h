// Performs the core's reads and writes on the platform: the table service, the
// object store and the host list.
//
// If no answer arrives, a write ends as kUnknown, since it may have been
// applied, and a read as kUnavailable.
#ifndef DOTTERELBARROW_WIRE_PLATFORM_CLIENT_H_
#define DOTTERELBARROW_WIRE_PLATFORM_CLIENT_H_

#include <functional>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/wire/http_client.h"

namespace dotterelbarrow::wire {

class PlatformClient {
 public:
  using Deliver = std::function<void(core::Input)>;

  // `address` is the platform's "ip:port". Each call ends within `timeout` and
  // passes exactly one result to `deliver`. All pointers must outlive this
  // object.
  PlatformClient(HttpClient* client, std::string address,
                 base::Duration timeout, Deliver deliver,
                 core::Counters* counters);
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  void Send(const core::TableTransaction& transaction);
  void Send(const core::TableRead& read);
  void Send(const core::ObjectWrite& write);
  void Send(const core::ObjectRead& read);
  void Send(const core::HostListRead& read);

 private:
  void Call(HttpMethod method, std::string uri, std::string body,
            HttpClient::Callback done);
  // Counts a call, named `call`, that failed or whose outcome is unknown.
  void CountFailure(const char* call, const HttpResult& result);

  HttpClient* client_;
  std::string address_;
  base::Duration timeout_;
  Deliver deliver_;
  core::Counters* counters_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_PLATFORM_CLIENT_H_
