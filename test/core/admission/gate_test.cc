// Tests of which calls an entry host admits.
#include "dotterelbarrow/core/admission/gate.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::admission {
namespace {

constexpr base::Duration kKeyRevocation = std::chrono::seconds(5);

desired::DesiredState MakeState() {
  desired::Queue keyed;
  keyed.id = desired::QueueId("keyed");
  keyed.host = "h.example";
  keyed.path_prefix = "/a/";
  desired::Queue open = keyed;
  open.id = desired::QueueId("open");
  open.path_prefix = "/a/open/";
  open.open_to_all = true;
  desired::Organisation organisation;
  organisation.id = base::OrganisationId("school");
  organisation.keys = {base::ApiKey("key")};
  return {base::ConfigVersion(1), {keyed, open}, {organisation}, {}, {}};
}

TEST_CASE("calls at an entry host") {
  const desired::DesiredState state = MakeState();
  const Gate gate(kKeyRevocation);
  GateInput input{.desired = &state,
                  .confirmation_age = std::chrono::milliseconds(100),
                  .host = "h.example",
                  .path = "/a/17",
                  .key = "key"};
  SUBCASE("with a key go to the queue of its organisation") {
    const GateDecision decision = gate.Decide(input);
    const auto* admitted = std::get_if<Admitted>(&decision);
    REQUIRE(admitted != nullptr);
    CHECK(admitted->queue->id == desired::QueueId("keyed"));
    CHECK(admitted->organisation->id == base::OrganisationId("school"));
    CHECK(admitted->rest == "17");
  }
  SUBCASE("go to the queue with the longest prefix") {
    input.path = "/a/open/17";
    input.key = "";
    const GateDecision decision = gate.Decide(input);
    const auto* admitted = std::get_if<Admitted>(&decision);
    REQUIRE(admitted != nullptr);
    CHECK(admitted->queue->id == desired::QueueId("open"));
    CHECK(admitted->organisation == nullptr);
  }
  SUBCASE("with another key, or none, are refused") {
    input.key = "other";
    CHECK(std::holds_alternative<UnknownKey>(gate.Decide(input)));
    input.key = "";
    CHECK(std::holds_alternative<UnknownKey>(gate.Decide(input)));
  }
  SUBCASE("for a path that belongs to no queue are refused") {
    input.path = "/b/17";
    CHECK(std::holds_alternative<NoSuchQueue>(gate.Decide(input)));
  }
  SUBCASE("are refused while the host can't confirm its desired state") {
    // A key may have been revoked while the host was disconnected or frozen.
    for (const base::Duration age : {kKeyRevocation, 2 * kKeyRevocation}) {
      input.confirmation_age = age;
      CHECK(std::holds_alternative<NotConfirmed>(gate.Decide(input)));
    }
    input.confirmation_age = std::nullopt;
    CHECK(std::holds_alternative<NotConfirmed>(gate.Decide(input)));
    input.desired = nullptr;
    CHECK(std::holds_alternative<NotConfirmed>(gate.Decide(input)));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::admission
