// The platform's store over HTTP, with faults.
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
  // All must outlive this.
  StoreService(const wire::EventLoop& loop, DelayedCalls* later,
               std::uint32_t seed);

  bool Listen(const std::string& address, base::Failure* reason);
  // `permille` is the part of the writes that a fault meets.
  void SetFault(StoreFault fault, int permille) {
    fault_ = fault;
    permille_ = permille;
  }
  // Writes a row of the operator or of a worker, whatever the fault.
  void PutText(const std::string& table, const std::string& key,
               const std::string& text);
  void Remove(const std::string& table, const std::string& key);

 private:
  void OnTransaction(const wire::HttpRequest& request);
  void OnRead(const wire::HttpRequest& request);
  void Reply(wire::ExchangeId exchange, int status, const Json::Value& body);
  // Returns whether the call goes no further.
  bool MeetsOutage(const wire::HttpRequest& request);
  bool Chance() {
    return std::uniform_int_distribution<int>(0, 999)(random_) < permille_;
  }

  wire::HttpServer server_;
  DelayedCalls* later_;
  StoreModel model_;
  StoreFault fault_ = StoreFault::kNone;
  int permille_ = 0;
  std::mt19937 random_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_STORE_SERVICE_H_
