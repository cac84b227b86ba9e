// Combines the services of a site and handles control requests.
#include "src/standins/site/site_service.h"

#include <optional>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "src/standins/site/clock.h"
#include "src/standins/site/gang_model.h"

namespace dotterelbarrow::standins::site {
namespace {

constexpr base::Duration kTickPeriod = std::chrono::milliseconds(5);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr std::int64_t kMillicores = 1000;
constexpr std::int64_t kMemoryMb = 65536;
constexpr int kRackSize = 4;
constexpr int kZones = 3;
// Most that a worker's clock loses, in thousandths. The platform allows a clock
// error of 2%.
constexpr int kMaxClockLossPermille = 20;
// The platform removes the registration of an unresponsive worker after three
// missed heartbeats.
constexpr std::int64_t kRegistrationTimeoutMs = 4500;

core::workers::Listing ListingOf(const SiteOptions& options, int number) {
  core::workers::Listing listing;
  listing.id = base::BackendId("worker-" + std::to_string(number));
  listing.address = options.worker_ip + ":" +
                    std::to_string(options.first_worker_port + number);
  listing.service = base::ServiceId("tasks");
  listing.zone =
      base::AvailabilityZone("zone-" + std::to_string(number % kZones));
  listing.rack = std::to_string(number / kRackSize);
  listing.capacity = {base::Millicores(options.cores * kMillicores),
                      base::Mebibytes(kMemoryMb), base::Accelerators(0),
                      base::Slots(0)};
  listing.born_ms = UnixMillis();
  return listing;
}

}  // namespace

SiteService::SiteService(wire::EventLoop* loop, const SiteOptions& options)
    : loop_(loop),
      options_(options),
      random_(options.seed),
      store_(*loop, &delayed_calls_, options.seed),
      advisor_(*loop, &delayed_calls_, options.workers),
      control_(*loop, wire::HttpServerOptions()),
      tick_timer_(*loop, kTickPeriod, [this] { Tick(); }) {
  control_.Route(wire::HttpMethod::kPost, "/fault",
                 [this](const wire::HttpRequest& r) { OnFault(r); });
  control_.Route(wire::HttpMethod::kGet, "/truth",
                 [this](const wire::HttpRequest& r) { OnTruth(r); });
  for (int i = 0; i < options.workers; ++i) {
    core::workers::Listing listing = ListingOf(options, i);
    const std::string id = listing.id.value();
    workers_[id] = std::make_unique<WorkerService>(
        *loop, Site{&delayed_calls_, &store_, &ledger_, &silences_, &random_},
        std::move(listing), i % (kMaxClockLossPermille + 1));
  }
}

bool SiteService::Listen(base::Failure* reason) {
  for (const auto& [id, worker] : workers_) {
    if (!worker->Listen(reason)) {
      return false;
    }
  }
  return store_.Listen(options_.store, reason) &&
         advisor_.Listen(options_.advisor, reason) &&
         control_.Listen(options_.control, reason).has_value();
}

void SiteService::Tick() {
  delayed_calls_.RunDue();
  std::vector<WorkerModel*> models;
  for (const auto& [id, worker] : workers_) {
    worker->Tick();
    models.push_back(worker->model());
  }
  EndDueGangs(models);
}

void SiteService::ControlWorker(const std::string& id,
                                const std::string& operation,
                                std::int64_t duration_ms) {
  WorkerService* worker = workers_.at(id).get();
  if (operation == "drain") {
    worker->Drain();
  } else if (operation == "restart") {
    worker->Restart();
  } else if (operation == "restart_unnoticed") {
    worker->RestartUnnoticed(duration_ms);
  } else if (operation == "leave") {
    worker->Crash();
    store_.Remove("servers", id);
  } else if (operation == "crash") {
    worker->Crash();
    delayed_calls_.After(kRegistrationTimeoutMs, [this, id] {
      if (!workers_.at(id)->model()->is_up()) {
        store_.Remove("servers", id);
      }
    });
  }
}

void SiteService::Evacuate(const std::string& zone, const Json::Value& body) {
  const std::string key = "evacuate/" + zone;
  if (!body["active"].asBool()) {
    ledger_.OnEvacuationEnded(zone);
    store_.Remove("op", key);
    return;
  }
  store_.PutText("op", key, "{}");
  ledger_.OnEvacuated(zone, NowMillis(),
                      body["bound_ms"].isInt64()
                          ? std::optional(body["bound_ms"].asInt64())
                          : std::nullopt);
}

void SiteService::OnFault(const wire::HttpRequest& request) {
  base::Failure reason;
  const auto body = core::ReadJson(request.body, &reason);
  const int permille =
      body && (*body)["permille"].isInt() ? (*body)["permille"].asInt() : 1000;
  const std::string id =
      body && (*body)["worker"].isString() ? (*body)["worker"].asString() : "";
  if (body && (*body)["store"].isString()) {
    store_.SetFault(ParseStoreFault((*body)["store"].asString()), permille);
  } else if (body && (*body)["desired"].isObject()) {
    store_.PutText("op", "config", core::WriteJson((*body)["desired"]));
  } else if (body && (*body)["silences"].isInt() && (*body)["ms"].isInt64()) {
    silences_.Add((*body)["silences"].asInt(), (*body)["ms"].asInt64());
  } else if (body && (*body)["evacuate"].isString()) {
    Evacuate((*body)["evacuate"].asString(), *body);
  } else if (workers_.contains(id) && (*body)["fault"].isString()) {
    workers_.at(id)->SetFault(ParseWorkerFault((*body)["fault"].asString()),
                              permille);
  } else if (workers_.contains(id) && (*body)["term"].isUInt64()) {
    workers_.at(id)->SetTerm(
        core::scheduler::FencingToken((*body)["term"].asUInt64()),
        (*body)["hears"].asBool());
  } else if (workers_.contains(id) && (*body)["cpu"].isInt64()) {
    workers_.at(id)->Resize(base::Millicores((*body)["cpu"].asInt64()));
  } else if (workers_.contains(id) && (*body)["do"].isString()) {
    const Json::Value& duration = (*body)["ms"];
    ControlWorker(id, (*body)["do"].asString(),
                  duration.isInt64() ? duration.asInt64() : 0);
  } else {
    control_.Reply(request.exchange, {.status = kBadRequest, .body = {}});
    return;
  }
  control_.Reply(request.exchange, {.status = kOk, .body = "{}"});
}

void SiteService::OnTruth(const wire::HttpRequest& request) {
  Json::Value answer(Json::objectValue);
  answer["starts"] = static_cast<Json::UInt64>(ledger_.starts());
  answer["silences"] = static_cast<Json::UInt64>(silences_.begun());
  answer["broken"] = Json::Value(Json::arrayValue);
  for (const std::string& violation : ledger_.broken()) {
    answer["broken"].append(violation);
  }
  for (const auto& [zone, starts] : ledger_.starts_by_zone()) {
    answer["starts_by_zone"][zone] = static_cast<Json::UInt64>(starts);
  }
  const auto job = request.query.find("job");
  if (job != request.query.end()) {
    if (const auto key = core::jobs::ParseJobKey(job->second)) {
      answer["done"] = static_cast<Json::UInt64>(ledger_.DoneTasksOf(*key));
      answer["has_started"] = ledger_.HasStarted(*key);
    }
  }
  control_.Reply(request.exchange,
                 {.status = kOk, .body = core::WriteJson(answer)});
}

}  // namespace dotterelbarrow::standins::site
