// Serves a StoreModel over HTTP in place of the platform's store, and injects
// faults.
#ifndef DOTTERELBARROW_STANDINS_SITE_STORE_SERVICE_H_
#define DOTTERELBARROW_STANDINS_SITE_STORE_SERVICE_H_

#include <json/json.h>

#include <cstdint>
#include <random>
#include <string>

#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/site/delayed_calls.h"
#include "src/standins/site/faults.h"
#include "src/standins/site/store_model.h"

namespace dotterelbarrow::standins::site {

class StoreService {
 public:
  // `loop` and `delayed_calls` must outlive this object.
  StoreService(const wire::EventLoop& loop, DelayedCalls* delayed_calls,
               std::uint32_t seed);

  bool Listen(const std::string& address, base::Failure* reason);
  // Sets the fault. `permille` is the share of writes that kLosing and kLate
  // affect.
  void SetFault(StoreFault fault, int permille) {
    fault_ = fault;
    permille_ = permille;
  }
  // Writes a row on behalf of the operator or a worker; faults don't apply.
  void PutText(const std::string& table, const std::string& key,
               const std::string& text);
  // Removes such a row; faults don't apply.
  void Remove(const std::string& table, const std::string& key);

 private:
  void OnTransaction(const wire::HttpRequest& request);
  void OnRead(const wire::HttpRequest& request);
  void OnFeed(const wire::HttpRequest& request);
  // Answers with the changes since the version that the caller has; if there
  // are none, tries again until `wait_until_ms`.
  void AnswerFeed(const wire::HttpRequest& request, std::int64_t wait_until_ms);
  void Reply(wire::ExchangeId exchange, int status, const Json::Value& body);
  // Handles a call under kRefusing or kSilent. Returns false under any other
  // fault; the caller must then process the call.
  bool HandleOutage(const wire::HttpRequest& request);
  // Returns true with a probability of permille_ / 1000.
  bool DrawFault() {
    return std::uniform_int_distribution<int>(0, 999)(random_) < permille_;
  }

  wire::HttpServer server_;
  DelayedCalls* delayed_calls_;
  StoreModel model_;
  StoreFault fault_ = StoreFault::kNone;
  int permille_ = 0;
  std::mt19937 random_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_STORE_SERVICE_H_
