// Tests of the sample settings file, and of the errors in invalid files.
#include "dotterelbarrow/settings/settings_file.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "src/settings/setting_table.h"

namespace dotterelbarrow::settings {
namespace {

using base::FailureCode;

bool Contains(const std::vector<SettingsError>& errors, FailureCode code,
              const std::string& section, const std::string& key) {
  return std::any_of(errors.begin(), errors.end(), [&](const auto& error) {
    return error.code == code && error.section == section && error.key == key;
  });
}

TEST_CASE("the sample file") {
  std::vector<SettingsError> errors;
  SUBCASE("is valid, with every key at its default") {
    const auto settings = ParseSettings("sample", SampleSettings(), &errors);
    REQUIRE(settings.has_value());
    for (const SettingRow& row : SettingTable()) {
      CAPTURE(row.key);
      CHECK(ValueText(row, *settings) ==
            (IsRequired(row.field) ? row.example
                                   : ValueText(row, DaemonSettings())));
    }
    REQUIRE(settings->node.entries.size() == 3);
    CHECK(settings->node.entries[1].address == "127.0.0.1:7102");
    CHECK(settings->node.entries[1].availability_zone ==
          base::AvailabilityZone("az2"));
  }
  SUBCASE("is identical to the one in the repository") {
    std::ifstream file(DOTTEREL_SAMPLE_FILE);
    std::ostringstream text;
    text << file.rdbuf();
    CHECK(text.str() == SampleSettings());
  }
}

TEST_CASE("each row sets only its own setting and enforces its range") {
  std::vector<SettingsError> errors;
  const DaemonSettings sample =
      ParseSettings("sample", SampleSettings(), &errors).value();
  for (const SettingRow& row : SettingTable()) {
    const auto* count = std::get_if<CountField>(&row.field);
    const auto* duration = std::get_if<DurationField>(&row.field);
    if (count == nullptr && duration == nullptr) {
      continue;
    }
    CAPTURE(row.key);
    const std::int64_t max = count ? count->most : duration->max_ms;
    DaemonSettings changed = sample;
    CHECK_FALSE(SetValue(row, std::to_string(max + 1), &changed));
    CHECK_FALSE(SetValue(row, "7x", &changed));
    REQUIRE(SetValue(row, std::to_string(max), &changed));
    for (const SettingRow& other : SettingTable()) {
      CHECK((ValueText(other, changed) == ValueText(other, sample)) ==
            (&other != &row));
    }
  }
}

TEST_CASE("an invalid file is rejected with all of its errors") {
  std::vector<SettingsError> errors;
  const auto settings = ParseSettings("bad.ini", R"(
[daemon]
name = e9
listen = localhost:7101
log_level = loud
nam = e1
log_level = info
[membership]
heartbeat_period = 5000
heartbeat_fanout = 0
member_timeout = 2000
[backends]
packing_weight = nan
lease = 12s
[empty]
[entry e1]
address = 127.0.0.1:1
availability_zone = az1
zone = az1
[entry e2]
address = 127.0.0.1:1
)",
                                      &errors);
  CHECK_FALSE(settings.has_value());
  CHECK(Contains(errors, FailureCode::kUnknownValue, "daemon", "name"));
  CHECK(Contains(errors, FailureCode::kOutOfRange, "daemon", "listen"));
  CHECK(Contains(errors, FailureCode::kMissingField, "daemon", "platform"));
  CHECK(Contains(errors, FailureCode::kOutOfRange, "daemon", "log_level"));
  CHECK(Contains(errors, FailureCode::kDuplicate, "daemon", "log_level"));
  CHECK(Contains(errors, FailureCode::kUnknownField, "daemon", "nam"));
  CHECK(Contains(errors, FailureCode::kOutOfRange, "membership",
                 "heartbeat_period"));
  CHECK(Contains(errors, FailureCode::kOutOfRange, "membership",
                 "heartbeat_fanout"));
  CHECK(
      Contains(errors, FailureCode::kOutOfRange, "backends", "packing_weight"));
  CHECK(Contains(errors, FailureCode::kOutOfRange, "backends", "lease"));
  CHECK(Contains(errors, FailureCode::kUnknownField, "empty", ""));
  CHECK(Contains(errors, FailureCode::kUnknownField, "entry e1", "zone"));
  CHECK(Contains(errors, FailureCode::kDuplicate, "entry e2", "address"));
  CHECK(Contains(errors, FailureCode::kMissingField, "entry e2",
                 "availability_zone"));
  CHECK(errors.size() == 14);
  CHECK(ToString(errors.front()).starts_with("bad.ini: [daemon] log_level: "));

  SUBCASE("including syntax errors, overlong lines and a missing file") {
    ParseSettings("bad.ini", "[daemon]\nno value\n" + std::string(300, ';'),
                  &errors);
    CHECK(Contains(errors, FailureCode::kMalformed, "", ""));
    CHECK(Contains(errors, FailureCode::kTooLarge, "", ""));
    CHECK_FALSE(LoadSettings("no-such-file.ini", &errors).has_value());
    CHECK(errors.front().code == FailureCode::kUnavailable);
  }
}

}  // namespace
}  // namespace dotterelbarrow::settings
