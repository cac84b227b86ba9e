// Tests of the admission chain: which requests it admits, and the reasons with
// which it refuses others.
#include "dotterelbarrow/core/admission.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/core/admission_filters.h"

namespace dotterelbarrow::core {
namespace {

struct Fixture {
  config::Catalogue catalogue;
  bool confirmed = true;
  bool behind = false;
  bool shutting_down = false;
  Counters counters;
  WorkRequest request;

  Fixture() {
    catalogue.PutTeam({base::TeamId("ovens"), {}, 1.0, {}});
    catalogue.PutTeam({base::TeamId("pastry"), {}, 1.0, {}});
    catalogue.PutKey(base::ApiKey("k-ovens"), base::TeamId("ovens"));
    catalogue.PutKey(base::ApiKey("k-pastry"), base::TeamId("pastry"));
    catalogue.PutService(
        {base::ServiceId("seats"), false, {}, std::set{base::TeamId("ovens")}});
    catalogue.PutService(
        {base::ServiceId("lobby"), true, base::TeamId("public"), {}});
    request.id = base::RequestId("r1");
    request.key = base::ApiKey("k-ovens");
    request.service = base::ServiceId("seats");
    request.team = base::TeamId("claimed-by-the-caller");
  }

  std::optional<Answer> Apply() {
    const ConfigView view{
        [this]() -> const config::Catalogue& { return catalogue; },
        [this](base::TimePoint) { return confirmed; },
        [this] { return behind; }, std::chrono::seconds(1)};
    std::vector<std::unique_ptr<RequestFilter>> filters;
    filters.push_back(std::make_unique<ShutdownFilter>(&shutting_down));
    filters.push_back(std::make_unique<ValidationFilter>());
    filters.push_back(std::make_unique<ServiceFilter>(view));
    filters.push_back(std::make_unique<IdentityFilter>(view));
    FilterChain chain(std::move(filters), &counters);
    return chain.Apply(&request, base::TimePoint());
  }

  // Expects that the request is refused with kNotRun and `reason`, and that the
  // refusal is counted.
  void CheckRefused(Reason reason) {
    const std::optional<Answer> answer = Apply();
    REQUIRE(answer);
    CHECK(answer->id == request.id);
    CHECK(answer->outcome == Outcome::kNotRun);
    CHECK(ToString(answer->reason) == std::string(ToString(reason)));
    CHECK_FALSE(answer->detail.empty());
    CHECK(counters.value("refusals", ToString(reason)) == 1);
  }
};

TEST_CASE("an interactive request is checked by its API key") {
  Fixture f;
  SUBCASE("it is charged to the key's team, whatever team it named") {
    CHECK_FALSE(f.Apply());
    CHECK(f.request.team == base::TeamId("ovens"));
    SUBCASE("and one slot and the default deadline are filled in") {
      CHECK(f.request.demand.slots == base::Slots(1));
      CHECK(f.request.deadline == std::chrono::seconds(10));
    }
  }
  SUBCASE("a revoked key") {
    f.catalogue.RemoveKey(base::ApiKey("k-ovens"));
    f.CheckRefused(Reason::kUnknownKey);
  }
  SUBCASE("the key of a team that may not use the service") {
    f.request.key = base::ApiKey("k-pastry");
    f.CheckRefused(Reason::kWrongTeam);
  }
  SUBCASE("no key") {
    f.request.key = base::ApiKey();
    f.CheckRefused(Reason::kMissingKey);
  }
  SUBCASE("the entry host is shutting down") {
    f.shutting_down = true;
    f.CheckRefused(Reason::kShuttingDown);
  }
  SUBCASE("the service doesn't exist") {
    f.request.service = base::ServiceId("none");
    f.CheckRefused(Reason::kUnknownService);
  }
}

TEST_CASE("the configuration can't be confirmed") {
  Fixture f;
  f.confirmed = false;
  SUBCASE("keys aren't trusted, and the caller is told when to retry") {
    f.CheckRefused(Reason::kConfigUnconfirmed);
    CHECK(f.Apply()->retry_after == std::chrono::seconds(1));
  }
  SUBCASE("an unknown service may exist in a newer version") {
    f.request.service = base::ServiceId("none");
    f.CheckRefused(Reason::kConfigUnconfirmed);
  }
  SUBCASE(
      "an open service is still served for its open team, with or without a "
      "key") {
    f.request.service = base::ServiceId("lobby");
    CHECK_FALSE(f.Apply());
    CHECK(f.request.team == base::TeamId("public"));
  }
}

TEST_CASE("a newer configuration exists that isn't in force here yet") {
  Fixture f;
  f.behind = true;
  SUBCASE("an unknown service may exist in it") {
    f.request.service = base::ServiceId("none");
    f.CheckRefused(Reason::kConfigUnconfirmed);
  }
  SUBCASE("an unknown key may exist in it") {
    f.request.key = base::ApiKey("none");
    f.CheckRefused(Reason::kConfigUnconfirmed);
  }
  SUBCASE("known services and keys are still served") {
    CHECK_FALSE(f.Apply());
  }
}

TEST_CASE("a request with invalid values is refused with the reason") {
  Fixture f;
  SUBCASE("no id") {
    f.request.id = base::RequestId();
    f.CheckRefused(Reason::kMalformed);
  }
  SUBCASE("an id that is too long") {
    f.request.id = base::RequestId(std::string(129, 'x'));
    f.CheckRefused(Reason::kMalformed);
  }
  SUBCASE("no tasks") {
    f.request.task_count = 0;
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("too many tasks") {
    f.request.kind = WorkKind::kBatch;
    f.request.demand.cpu = base::Millicores(1);
    f.request.task_count = 10001;
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("a negative size") {
    f.request.demand.memory = base::Mebibytes(-1);
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("a size that would overflow sums") {
    f.request.demand.cpu = base::Millicores(1'000'000'000);
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("a deadline that would overflow a time") {
    f.request.deadline = base::Duration::max();
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("a batch task that demands nothing") {
    f.request.kind = WorkKind::kBatch;
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("an interactive request of two slots") {
    f.request.demand.slots = base::Slots(2);
    f.CheckRefused(Reason::kInvalidSize);
  }
  SUBCASE("a payload above the size limit") {
    f.request.payload.assign(256 * 1024 + 1, 'x');
    f.CheckRefused(Reason::kTooLarge);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core
