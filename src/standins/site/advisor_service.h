// The placement advisor over HTTP: always the same workers for one step, after
// some time for each that is named.
#ifndef DOTTERELBARROW_STANDINS_SITE_ADVISOR_SERVICE_H_
#define DOTTERELBARROW_STANDINS_SITE_ADVISOR_SERVICE_H_

#include <string>

#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/site/delayed_calls.h"

namespace dotterelbarrow::standins::site {

class AdvisorService {
 public:
  // `later` must outlive this. The site has this many workers.
  AdvisorService(const wire::EventLoop& loop, DelayedCalls* later, int workers);

  bool Listen(const std::string& address, base::Failure* reason);

 private:
  void OnAdvise(const wire::HttpRequest& request);

  wire::HttpServer server_;
  DelayedCalls* later_;
  std::size_t workers_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_ADVISOR_SERVICE_H_
