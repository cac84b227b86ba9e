// A stand-in for the placement advisor over HTTP. For one step it always allows
// the same workers, and it answers after a fixed delay.
#ifndef DOTTERELBARROW_STANDINS_SITE_ADVISOR_SERVICE_H_
#define DOTTERELBARROW_STANDINS_SITE_ADVISOR_SERVICE_H_

#include <string>

#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/site/delayed_calls.h"

namespace dotterelbarrow::standins::site {

class AdvisorService {
 public:
  // `delayed_calls` must outlive this object. `workers` is the number of
  // workers at the site.
  AdvisorService(const wire::EventLoop& loop, DelayedCalls* delayed_calls,
                 int workers);

  // Starts to serve on "ip:port". Returns false and sets `reason` on failure.
  bool Listen(const std::string& address, base::Failure* reason);

 private:
  void OnAdvise(const wire::HttpRequest& request);

  wire::HttpServer server_;
  DelayedCalls* delayed_calls_;
  std::size_t workers_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_ADVISOR_SERVICE_H_
