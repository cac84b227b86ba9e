// The table of all settings, with one row for each key. The settings file is
// parsed, validated and documented from this table.
//
// To add a setting, add a row. Its default is the initial value of the struct
// member that it sets.
#ifndef DOTTERELBARROW_SRC_SETTINGS_SETTING_TABLE_H_
#define DOTTERELBARROW_SRC_SETTINGS_SETTING_TABLE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/settings/settings_file.h"

namespace dotterelbarrow::settings {

// Returns a reference to the member of the settings that holds a value.
template <typename Value>
using Place = Value& (*)(DaemonSettings&);

// A duration in whole milliseconds.
struct DurationField {
  Place<base::Duration> place;
  std::int64_t min_ms;
  std::int64_t max_ms;
};

// A whole number.
struct CountField {
  Place<std::uint32_t> place;
  std::uint32_t least;
  std::uint32_t most;
};

// A decimal number.
struct FractionField {
  Place<double> place;
  double least;
  double most;
};

struct LogLevelField {
  Place<LogLevel> place;
};

// "ip:port"; required.
struct AddressField {
  Place<std::string> place;
};

// "ip:port", or empty.
struct OptionalAddressField {
  Place<std::string> place;
};

// The name of this entry host; required.
struct EntryNameField {
  Place<base::EntryId> place;
};

using Field =
    std::variant<DurationField, CountField, FractionField, LogLevelField,
                 AddressField, OptionalAddressField, EntryNameField>;

struct SettingRow {
  const char* section;
  const char* key;
  Field field;
  // The unit that the sample file shows; empty if the key has none.
  const char* unit;
  const char* help;
  // The value that the sample file shows if the key is required.
  const char* example = "";
};

// Returns the rows in the order of the sample file; the rows of one section are
// adjacent.
const std::vector<SettingRow>& SettingTable();

bool IsRequired(const Field& field);

// Parses `text` and sets the setting of `row`. Returns false if `text` is not
// valid; the setting may have changed even then.
bool SetValue(const SettingRow& row, const std::string& text,
              DaemonSettings* settings);

// Returns the value in `settings` as it is written in a settings file.
std::string ValueText(const SettingRow& row, const DaemonSettings& settings);
// Returns a description of the values that `row` allows.
std::string ExpectedText(const SettingRow& row);

// Returns whether `name` is a valid name of an entry host, an availability zone
// or a region: 1 to 64 letters, digits, dots, dashes and underscores.
bool IsValidEntryName(const std::string& name);

}  // namespace dotterelbarrow::settings

#endif  // DOTTERELBARROW_SRC_SETTINGS_SETTING_TABLE_H_
