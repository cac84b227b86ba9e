// Parses and validates a settings file.
#include "dotterelbarrow/settings/settings_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "dotterelbarrow/base/socket_address.h"
#include "src/settings/ini_text.h"
#include "src/settings/setting_table.h"

namespace dotterelbarrow::settings {
namespace {

using base::FailureCode;

constexpr char kEntryPrefix[] = "entry ";

constexpr const char* kEntryKeys[] = {"address", "availability_zone", "region"};

// Parses one settings file and collects all of its errors.
class SettingsParser {
 public:
  SettingsParser(std::string file, std::vector<SettingsError>* errors)
      : file_(std::move(file)), errors_(errors) {}

  DaemonSettings Parse(const std::string& text);

 private:
  using Section = std::map<std::string, std::string>;

  void AddError(FailureCode code, const std::string& section,
                const std::string& key, const std::string& found,
                const std::string& expected) {
    errors_->push_back({code, file_, section, key, found, expected});
  }
  void CollectSections(const IniText& ini);
  void RejectUnknownKeys();
  void ApplyRow(const SettingRow& row);
  void AddEntry(const std::string& section, const Section& keys);
  void CheckEntryKeys(const std::string& section, const Section& keys);
  std::string ReadEntryValue(const std::string& section, const Section& keys,
                             const std::string& key, bool is_required);
  void CheckEntries();
  void RequireLess(const char* section, const char* smaller_key,
                   base::Duration smaller, const char* larger_key,
                   base::Duration larger);
  void CheckRelatedDurations();

  std::string file_;
  std::vector<SettingsError>* errors_;
  std::map<std::string, Section> sections_;
  DaemonSettings settings_;
};

DaemonSettings SettingsParser::Parse(const std::string& text) {
  CollectSections(ParseIni(file_, text, errors_));
  RejectUnknownKeys();
  for (const SettingRow& row : SettingTable()) {
    ApplyRow(row);
  }
  for (const auto& [section, keys] : sections_) {
    if (section.starts_with(kEntryPrefix)) {
      AddEntry(section, keys);
    }
  }
  CheckEntries();
  CheckRelatedDurations();
  return settings_;
}

void SettingsParser::CollectSections(const IniText& ini) {
  for (const std::string& section : ini.sections) {
    sections_[section];
  }
  for (const IniAssignment& assignment : ini.assignments) {
    Section& section = sections_[assignment.section];
    if (!section.emplace(assignment.key, assignment.value).second) {
      AddError(FailureCode::kDuplicate, assignment.section, assignment.key,
               "\"" + assignment.value + "\" in addition to another value",
               "one value for each key");
    }
  }
}

void SettingsParser::RejectUnknownKeys() {
  std::map<std::string, std::set<std::string>> keys_of_section;
  for (const SettingRow& row : SettingTable()) {
    keys_of_section[row.section].insert(row.key);
  }
  for (const auto& [section, keys] : sections_) {
    if (section.starts_with(kEntryPrefix)) {
      continue;
    }
    const auto it = keys_of_section.find(section);
    if (it == keys_of_section.end()) {
      AddError(FailureCode::kUnknownField, section, "", "an unknown section",
               "a section of the sample file");
      continue;
    }
    for (const auto& [key, value] : keys) {
      if (!it->second.contains(key)) {
        AddError(FailureCode::kUnknownField, section, key, "an unknown key",
                 "a key of the sample file");
      }
    }
  }
}

void SettingsParser::ApplyRow(const SettingRow& row) {
  const Section& section = sections_[row.section];
  const auto it = section.find(row.key);
  if (it != section.end()) {
    if (!SetValue(row, it->second, &settings_)) {
      AddError(FailureCode::kOutOfRange, row.section, row.key,
               "\"" + it->second + "\"", ExpectedText(row));
    }
  } else if (IsRequired(row.field)) {
    AddError(FailureCode::kMissingField, row.section, row.key, "nothing",
             ExpectedText(row));
  }
}

void SettingsParser::AddEntry(const std::string& section, const Section& keys) {
  const std::string name = section.substr(sizeof(kEntryPrefix) - 1);
  if (!IsValidEntryName(name)) {
    AddError(FailureCode::kOutOfRange, section, "", "the name \"" + name + "\"",
             "1 to 64 letters, digits, dots, dashes and underscores");
  }
  CheckEntryKeys(section, keys);
  core::EntryRecord entry;
  entry.entry = base::EntryId(name);
  const auto address = keys.find("address");
  base::Failure reason;
  if (address == keys.end()) {
    AddError(FailureCode::kMissingField, section, "address", "nothing",
             "ip:port, with an IP address");
  } else if (!base::ParseSocketAddress(address->second, &reason)) {
    AddError(FailureCode::kOutOfRange, section, "address",
             "\"" + address->second + "\"", "ip:port, with an IP address");
  } else {
    entry.address = address->second;
  }
  entry.availability_zone = base::AvailabilityZone(
      ReadEntryValue(section, keys, "availability_zone", /*is_required=*/true));
  entry.region = base::RegionId(
      ReadEntryValue(section, keys, "region", /*is_required=*/false));
  settings_.node.entries.push_back(std::move(entry));
}

void SettingsParser::CheckEntryKeys(const std::string& section,
                                    const Section& keys) {
  for (const auto& [key, value] : keys) {
    if (std::find(std::begin(kEntryKeys), std::end(kEntryKeys), key) ==
        std::end(kEntryKeys)) {
      AddError(FailureCode::kUnknownField, section, key, "an unknown key",
               "address, availability_zone or region");
    }
  }
}

std::string SettingsParser::ReadEntryValue(const std::string& section,
                                           const Section& keys,
                                           const std::string& key,
                                           bool is_required) {
  const auto it = keys.find(key);
  if (it == keys.end() && !is_required) {
    return "";
  }
  if (it == keys.end() || !IsValidEntryName(it->second)) {
    AddError(it == keys.end() ? FailureCode::kMissingField
                              : FailureCode::kOutOfRange,
             section, key,
             it == keys.end() ? "nothing" : "\"" + it->second + "\"",
             "1 to 64 letters, digits, dots, dashes and underscores");
    return "";
  }
  return it->second;
}

void SettingsParser::CheckEntries() {
  const core::NodeSettings& node = settings_.node;
  std::map<std::string, std::string> entry_of_address;
  bool includes_self = false;
  for (const core::EntryRecord& entry : node.entries) {
    includes_self = includes_self || entry.entry == node.self;
    if (entry.address.empty()) {
      continue;
    }
    const auto [it, is_new] =
        entry_of_address.emplace(entry.address, entry.entry.value());
    if (!is_new) {
      AddError(FailureCode::kDuplicate, kEntryPrefix + entry.entry.value(),
               "address",
               "\"" + entry.address + "\", the same as of " + it->second,
               "a distinct address");
    }
  }
  if (!node.self.empty() && !includes_self) {
    AddError(FailureCode::kUnknownValue, "daemon", "name",
             "\"" + node.self.value() + "\"",
             "the name of one of the [entry NAME] sections");
  }
}

void SettingsParser::RequireLess(const char* section, const char* smaller_key,
                                 base::Duration smaller, const char* larger_key,
                                 base::Duration larger) {
  if (smaller < larger) {
    return;
  }
  const auto ms = [](base::Duration value) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
  };
  AddError(FailureCode::kOutOfRange, section, smaller_key, ms(smaller),
           std::string("less than ") + larger_key + ", which is " + ms(larger));
}

void SettingsParser::CheckRelatedDurations() {
  const core::NodeSettings& node = settings_.node;
  RequireLess("membership", "heartbeat_period", node.heartbeat_period,
              "member_timeout", node.member_timeout);
  RequireLess("membership", "member_timeout", node.member_timeout,
              "member_lease", node.member_lease);
  RequireLess("backends", "sync_period", node.backend_sync_period, "lease",
              node.backend_lease);
  RequireLess("configuration", "read_period", node.config_read_period, "trust",
              node.config_trust);
}

}  // namespace

std::string ToString(const SettingsError& error) {
  std::string text = error.file + ": ";
  if (!error.section.empty()) {
    text += "[" + error.section + "] ";
  }
  if (!error.key.empty()) {
    text += error.key + ": ";
  }
  return text + "found " + error.found + ", expected " + error.expected + " (" +
         base::ToString(error.code) + ")";
}

std::optional<DaemonSettings> ParseSettings(
    const std::string& file, const std::string& text,
    std::vector<SettingsError>* errors) {
  errors->clear();
  DaemonSettings settings = SettingsParser(file, errors).Parse(text);
  if (!errors->empty()) {
    return std::nullopt;
  }
  return settings;
}

std::optional<DaemonSettings> LoadSettings(const std::string& path,
                                           std::vector<SettingsError>* errors) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) {
    text << file.rdbuf();
  }
  if (!file) {
    *errors = {{FailureCode::kUnavailable, path, "", "", "no readable file",
                "a settings file"}};
    return std::nullopt;
  }
  return ParseSettings(path, text.str(), errors);
}

}  // namespace dotterelbarrow::settings
