// Tests that input written by other systems is decoded, or refused with a
// reason, and that no input crashes the process.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "platform/job_api_json.h"
#include "platform/operator_records.h"
#include "platform/settings_file.h"

namespace dotterelbarrow::platform {
namespace {

constexpr const char* kSettings = R"(
node_name: "edge-1"
zone: "north"
ip: "10.1.0.17"
new_field: [1, 2]
listen_addrs:
  frontend: "10.1.0.17:8183"
  readiness: "10.1.0.17:8184"
internal_ports: [7420, 7435]
bounds: {revoke_ms: 5000, grace_s: 6, max_hold_ms: 10000, stop_timeout_ms: 400,
         restore_ms: 250}
advisor: "10.200.1.9:8182"
platform: {address: "10.200.1.7:8182"}
)";

constexpr const char* kDesiredState = R"({"version":7,
  "routes":[{"name":"r","host":"h.example","path_prefix":"/p/","service":"s",
             "priority":1,"max_attempts":2,"slack_factor":2.2,
             "target_completion_ms":1000,"public":false,
             "advisor":{"decision_ms":440.0,"per_worker_ms":6.3,"valid_ms":1500}},
            {"name":"broken"}],
  "services":[{"name":"s","enforces_capacity":false}],
  "limits":{"max_body_bytes":262144},
  "tenants":[{"name":"t","api_keys":["k1",7,"k2"],"weight":38,
              "cap":{"cpu":420255,"mem_mb":1397821,"gpu":0}}]})";

constexpr const char* kRegistration =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"north","version":"v1",
        "slots":8,"state":"ready","cold_remaining_ms":0,"sequence":4,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1-3"],"clock_ms":482113,"born":1700000000000})";

TEST_CASE("the settings file") {
  base::Failure reason;
  SUBCASE("gives the host's share of resources") {
    const auto settings = ParsePlatformSettings(
        std::string(kSettings) +
            "limits: {cpu_share: 0.25, memory_mb: 260, max_fds: 4100, "
            "link_mbps: 200.0}",
        &reason);
    REQUIRE_MESSAGE(settings, reason.detail);
    CHECK(settings->cpu_share == 0.25);
    CHECK(settings->memory == base::Bytes(260 << 20));
    CHECK(settings->max_descriptors == 4100);
    CHECK(settings->link == base::BytesPerSecond(25'000'000));
  }
  SUBCASE("has a memory of zero if the field is missing or no number") {
    for (const char* memory : {"-3", ".nan", ".inf", "[1]", "x"}) {
      CAPTURE(memory);
      const auto settings = ParsePlatformSettings(
          std::string(kSettings) + "limits: {memory_mb: " + memory + "}",
          &reason);
      REQUIRE_MESSAGE(settings, reason.detail);
      CHECK(settings->memory == base::Bytes(0));
    }
  }
  SUBCASE("has a usable link whatever the field holds") {
    for (const char* mbps : {"0", "-3", ".nan", ".inf", "1e300", "[1]", "x"}) {
      CAPTURE(mbps);
      const auto settings = ParsePlatformSettings(
          std::string(kSettings) + "limits: {link_mbps: " + mbps + "}",
          &reason);
      REQUIRE_MESSAGE(settings, reason.detail);
      CHECK(settings->link >= base::BytesPerSecond(1'250'000));
    }
  }
  SUBCASE("gives addresses and time limits; unknown fields are ignored") {
    const auto settings = ParsePlatformSettings(kSettings, &reason);
    REQUIRE_MESSAGE(settings, reason.detail);
    CHECK(settings->host == base::EntryId("edge-1"));
    CHECK(settings->peers_address == "10.1.0.17:7420");
    CHECK(settings->metrics_address == "10.1.0.17:7421");
    CHECK(settings->key_revocation_limit == std::chrono::seconds(5));
    CHECK(settings->shutdown_grace == std::chrono::seconds(6));
    CHECK(settings->heartbeat == std::chrono::milliseconds(1500));
    CHECK(settings->gang_timeout == std::chrono::seconds(3));
    CHECK(settings->stop_timeout == std::chrono::milliseconds(400));
    CHECK(settings->restore_time == std::chrono::milliseconds(250));
    CHECK(settings->worker_drain_limit == std::chrono::seconds(2));
    CHECK(settings->evacuation_limit == std::chrono::seconds(5));
    CHECK(settings->desired_apply_limit == std::chrono::seconds(2));
    CHECK(settings->remote_factor == 1);
  }
  SUBCASE("gives the factor for remote runs, which is never below 1") {
    const auto factor_of = [&reason](const std::string& factor) {
      std::string text(kSettings);
      text.replace(text.find("grace_s"), 0, "remote_factor: " + factor + ", ");
      const auto settings = ParsePlatformSettings(text, &reason);
      REQUIRE_MESSAGE(settings, reason.detail);
      return settings->remote_factor;
    };
    CHECK(factor_of("2.5") == doctest::Approx(2.5));
    for (const char* factor : {"0.5", "-2", "many", ".nan"}) {
      CAPTURE(factor);
      CHECK(factor_of(factor) == 1);
    }
  }
  SUBCASE("without times of stops turns preemption off") {
    std::string without = kSettings;
    without.replace(without.find("stop_timeout_ms"), 4, "xxxx");
    const auto settings = ParsePlatformSettings(without, &reason);
    REQUIRE_MESSAGE(settings, reason.detail);
    CHECK(settings->stop_timeout == base::Duration(0));
  }
  SUBCASE("without a required field is refused") {
    const std::string text(kSettings);
    for (const char* name : {"node_name", "frontend", "readiness", "ip:"}) {
      CAPTURE(name);
      std::string without = text;
      without.replace(without.find(name), 2, "xx");
      CHECK_FALSE(ParsePlatformSettings(without, &reason));
      CHECK(reason.code == base::FailureCode::kMissingField);
    }
  }
  SUBCASE("that isn't a YAML map is refused") {
    for (const char* text : {"", "[1", "just text", "- 1\n- 2", "a: [}"}) {
      CAPTURE(text);
      CHECK_FALSE(ParsePlatformSettings(text, &reason));
    }
  }
}

TEST_CASE("a desired state") {
  base::Failure reason;
  const auto state = ReadDesiredState(kDesiredState, &reason);
  REQUIRE(state);
  SUBCASE("holds queues, organisations and services") {
    const auto* queue = state->FindQueue("h.example:80", "/p/17");
    REQUIRE(queue != nullptr);
    CHECK(queue->advice->decision == std::chrono::milliseconds(440));
    CHECK(queue->advice->per_worker == std::chrono::microseconds(6300));
    CHECK_FALSE(state->FindService(base::ServiceId("s"))->enforces_capacity);
  }
  SUBCASE("leaves out parts that can't be read") {
    CHECK(state->queues().size() == 1);
    const auto* organisation = state->FindOrganisationByKey(base::ApiKey("k2"));
    REQUIRE(organisation != nullptr);
    CHECK(organisation->keys.size() == 2);
    CHECK(organisation->cap.cpu == base::Millicores(420255));
  }
  SUBCASE("without version, routes or services is refused") {
    for (const char* text : {"", "[]", "{}", R"({"version":1,"routes":[]})",
                             R"({"version":"1","routes":[],"services":[]})"}) {
      CAPTURE(text);
      CHECK_FALSE(ReadDesiredState(text, &reason));
    }
  }
}

TEST_CASE("the row of an evacuation") {
  const RowKey row{"op", "", "evacuate/z0"};
  base::Failure reason;

  SUBCASE("names its zone, and may have fields of later versions") {
    CHECK(IsEvacuationRow(row));
    CHECK(EvacuatedZoneOf(row).value() == "z0");
    CHECK(CheckEvacuation(row, "{}", &reason));
    CHECK(CheckEvacuation(row, R"({"by": "operator"})", &reason));
  }
  SUBCASE("lies in the range that is read, unlike rows of other kinds") {
    for (const RowRange& range : {EvacuationRows(), OperatorRows()}) {
      CHECK(range.from <= row.key);
      CHECK(row.key < range.end);
    }
    CHECK(OperatorRows().from <= DesiredStateRow().key);
    CHECK_FALSE(IsEvacuationRow(DesiredStateRow()));
    CHECK_FALSE(IsEvacuationRow({"op", "", "evacuated"}));
    CHECK_FALSE(IsEvacuationRow({"op", "part", row.key}));
  }
  SUBCASE("can't be read without a zone or an object") {
    CHECK_FALSE(CheckEvacuation({"op", "", "evacuate/"}, "{}", &reason));
    for (const char* text : {"", "[]", "true", "{"}) {
      CHECK_FALSE(CheckEvacuation(row, text, &reason));
    }
  }
}

TEST_CASE("a registration") {
  base::Failure reason;
  SUBCASE("gives a worker with its rack and incarnation") {
    const auto listing = ReadListing("i-1", kRegistration, &reason);
    REQUIRE(listing);
    CHECK(listing->rack == "r1-3");
    CHECK(listing->born_ms == 1700000000000);
    CHECK(listing->capacity.memory == base::Mebibytes(32768));
    CHECK_FALSE(listing->draining);
  }
  SUBCASE("with a field missing, of another type or unknown is refused") {
    const std::string text(kRegistration);
    for (const char* name :
         {"service", "address", "\"state", "capacity", "born", "ready"}) {
      CAPTURE(name);
      std::string without = text;
      without.replace(without.find(name), 2, "xx");
      CHECK_FALSE(ReadListing("i-1", without, &reason));
    }
  }
}

// Guards against one odd entry in the list that ends the process, or makes it
// stop following the list.
TEST_CASE("a registration by another writer") {
  base::Failure reason;
  const std::string usable = kRegistration;
  const auto replaced = [&usable](const std::string& old_text,
                                  const std::string& new_text) {
    std::string text = usable;
    const std::size_t at = text.find(old_text);
    REQUIRE(at != std::string::npos);
    return text.replace(at, old_text.size(), new_text);
  };
  const std::string address = ReadListing("i-1", usable, &reason)->address;
  SUBCASE("that is nested very deeply is refused") {
    constexpr std::size_t kLevels = 200'000;
    for (const char* bracket : {"[", "{\"a\":"}) {
      std::string nested;
      for (std::size_t i = 0; i < kLevels; ++i) {
        nested += bracket;
      }
      CHECK_FALSE(ReadListing("i-1", nested, &reason));
      CHECK(reason.code == base::FailureCode::kMalformed);
    }
  }
  SUBCASE("with a port out of range is refused") {
    for (const char* port :
         {":70000", ":0", ":-1", ":99999999999999999999", ":", ""}) {
      const std::string other = address.substr(0, address.find(':')) + port;
      CAPTURE(other);
      CHECK_FALSE(ReadListing("i-1", replaced(address, other), &reason));
      CHECK_FALSE(reason.detail.empty());
    }
  }
  SUBCASE("with a number too large gives no capacity, or is refused") {
    for (const char* number :
         {"1e400", "-1e400", "1e308", "99999999999999999999999999"}) {
      CAPTURE(number);
      const auto listing = ReadListing(
          "i-1", replaced("\"cpu\":16000", "\"cpu\":" + std::string(number)),
          &reason);
      CHECK((!listing || listing->capacity.cpu == base::Millicores(0)));
      CHECK_FALSE(ReadListing(
          "i-1",
          replaced("\"born\":",
                   "\"born\":" + std::string(number) + ",\"ignored\":"),
          &reason));
    }
  }
}

TEST_CASE("the body of a job") {
  base::Failure reason;
  SUBCASE("gives steps, needs and how tasks run together") {
    const auto spec = ReadJobSpec(
        R"({"spec":"text","job_steps":[
            {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"gang":true},
            {"count":2,"cpu":2000,"depends_on":[0],"fill_count":1,
             "max_per_server":1,"speculative":true,"target_ms":80}]})",
        &reason);
    REQUIRE(spec);
    CHECK(spec->payload == "text");
    CHECK(spec->steps[0].gang);
    CHECK(spec->steps[1].fills_idle_cpu);
    CHECK(spec->steps[1].Reservation().cpu == base::Millicores(0));
    CHECK(spec->steps[1].depends_on == std::vector<std::uint32_t>{0});
    CHECK(spec->steps[1].response_target == std::chrono::milliseconds(80));
  }
  SUBCASE("that is invalid is refused with a reason") {
    for (const char* text :
         {"", "{", "[]", "{}", R"({"job_steps":[]})", R"({"job_steps":[7]})",
          R"({"job_steps":[{"count":0}]})",
          R"({"job_steps":[{"count":1,"depends_on":[0]}]})",
          R"({"job_steps":[{"count":1e300}]})",
          R"({"job_steps":[{"count":1,"depends_on":["0"]}]})"}) {
      CAPTURE(text);
      reason = {};
      CHECK_FALSE(ReadJobSpec(text, &reason));
      CHECK(reason.code != base::FailureCode::kNone);
    }
  }
  SUBCASE("that is nested too deeply is refused") {
    const std::string deep = std::string(100'000, '[');
    CHECK_FALSE(ReadJobSpec(deep, &reason));
  }
}

// Returns `text` with some bytes replaced, cut off at a random length.
std::string Damaged(std::string text) {
  const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
      rc::gen::pair(rc::gen::inRange<int>(0, static_cast<int>(text.size())),
                    rc::gen::arbitrary<char>()));
  for (const auto& [at, byte] : edits) {
    text[static_cast<std::size_t>(at)] = byte;
  }
  return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
}

TEST_CASE("damaged texts give a value or a reason") {
  const auto assert_value_or_reason = [](bool has_value,
                                         const base::Failure& reason) {
    RC_ASSERT(has_value || reason.code != base::FailureCode::kNone);
  };
  CHECK(rc::check("settings", [&assert_value_or_reason] {
    base::Failure reason;
    assert_value_or_reason(
        ParsePlatformSettings(Damaged(kSettings), &reason).has_value(), reason);
  }));
  CHECK(rc::check("desired states", [&assert_value_or_reason] {
    base::Failure reason;
    assert_value_or_reason(
        ReadDesiredState(Damaged(kDesiredState), &reason).has_value(), reason);
  }));
  CHECK(rc::check("registrations", [&assert_value_or_reason] {
    base::Failure reason;
    assert_value_or_reason(
        ReadListing("i", Damaged(kRegistration), &reason).has_value(), reason);
  }));
  CHECK(rc::check("jobs", [&assert_value_or_reason] {
    base::Failure reason;
    assert_value_or_reason(
        ReadJobSpec(Damaged(R"({"spec":"t","job_steps":[{"count":4,
                                "cpu":500,"depends_on":[]}]})"),
                    &reason)
            .has_value(),
        reason);
  }));
}

}  // namespace
}  // namespace dotterelbarrow::platform
