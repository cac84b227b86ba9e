// Parses and formats the value of a single setting, by kind of field.
#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>
#include <sstream>
#include <utility>

#include "dotterelbarrow/base/socket_address.h"
#include "src/settings/setting_table.h"

namespace dotterelbarrow::settings {
namespace {

constexpr std::size_t kMaxEntryNameBytes = 64;

constexpr std::array<std::pair<LogLevel, const char*>, 3> kLogLevels = {{
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text, Number min,
                                  Number max) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end || !(number >= min) ||
      !(number <= max)) {
    return std::nullopt;
  }
  return number;
}

template <typename Number>
std::string NumberText(Number number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

template <typename Number>
std::string RangeText(const char* kind, Number min, Number max) {
  return std::string(kind) + " from " + NumberText(min) + " to " +
         NumberText(max);
}

class ValueParser {
 public:
  ValueParser(const std::string& text, DaemonSettings* settings)
      : text_(text), settings_(*settings) {}

  bool operator()(const DurationField& field) const {
    const auto number = ParseNumber(text_, field.min_ms, field.max_ms);
    if (number) {
      field.place(settings_) = std::chrono::milliseconds(*number);
    }
    return number.has_value();
  }
  bool operator()(const CountField& field) const {
    const auto number = ParseNumber(text_, field.least, field.most);
    if (number) {
      field.place(settings_) = *number;
    }
    return number.has_value();
  }
  bool operator()(const FractionField& field) const {
    const auto number = ParseNumber(text_, field.least, field.most);
    if (number) {
      field.place(settings_) = *number;
    }
    return number.has_value();
  }
  bool operator()(const LogLevelField& field) const {
    for (const auto& [level, name] : kLogLevels) {
      if (text_ == name) {
        field.place(settings_) = level;
        return true;
      }
    }
    return false;
  }
  bool operator()(const AddressField& field) const {
    base::Failure reason;
    field.place(settings_) = text_;
    return base::ParseSocketAddress(text_, &reason).has_value();
  }
  bool operator()(const OptionalAddressField& field) const {
    base::Failure reason;
    field.place(settings_) = text_;
    return text_.empty() ||
           base::ParseSocketAddress(text_, &reason).has_value();
  }
  bool operator()(const EntryNameField& field) const {
    field.place(settings_) = base::EntryId(text_);
    return IsValidEntryName(text_);
  }

 private:
  const std::string& text_;
  DaemonSettings& settings_;
};

struct ValueFormatter {
  // A copy, since the accessors in fields return non-const references.
  mutable DaemonSettings settings;

  std::string operator()(const DurationField& field) const {
    return NumberText(std::chrono::duration_cast<std::chrono::milliseconds>(
                          field.place(settings))
                          .count());
  }
  std::string operator()(const CountField& field) const {
    return NumberText(field.place(settings));
  }
  std::string operator()(const FractionField& field) const {
    return NumberText(field.place(settings));
  }
  std::string operator()(const LogLevelField& field) const {
    for (const auto& [level, name] : kLogLevels) {
      if (level == field.place(settings)) {
        return name;
      }
    }
    return "";
  }
  std::string operator()(const AddressField& field) const {
    return field.place(settings);
  }
  std::string operator()(const OptionalAddressField& field) const {
    return field.place(settings);
  }
  std::string operator()(const EntryNameField& field) const {
    return field.place(settings).value();
  }
};

struct ExpectedFormatter {
  std::string operator()(const DurationField& field) const {
    return RangeText("a whole number", field.min_ms, field.max_ms);
  }
  std::string operator()(const CountField& field) const {
    return RangeText("a whole number", field.least, field.most);
  }
  std::string operator()(const FractionField& field) const {
    return RangeText("a number", field.least, field.most);
  }
  std::string operator()(const LogLevelField& /*field*/) const {
    return "info, warning or error";
  }
  std::string operator()(const AddressField& /*field*/) const {
    return "ip:port, with an IP address";
  }
  std::string operator()(const OptionalAddressField& /*field*/) const {
    return "ip:port, with an IP address, or empty";
  }
  std::string operator()(const EntryNameField& /*field*/) const {
    return "1 to 64 letters, digits, dots, dashes and underscores";
  }
};

}  // namespace

bool IsRequired(const Field& field) {
  return std::holds_alternative<AddressField>(field) ||
         std::holds_alternative<EntryNameField>(field);
}

bool SetValue(const SettingRow& row, const std::string& text,
              DaemonSettings* settings) {
  return std::visit(ValueParser(text, settings), row.field);
}

std::string ValueText(const SettingRow& row, const DaemonSettings& settings) {
  return std::visit(ValueFormatter{settings}, row.field);
}

std::string ExpectedText(const SettingRow& row) {
  return std::visit(ExpectedFormatter{}, row.field);
}

bool IsValidEntryName(const std::string& name) {
  const auto valid = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
           c == '-' || c == '_';
  };
  return !name.empty() && name.size() <= kMaxEntryNameBytes &&
         std::all_of(name.begin(), name.end(), valid);
}

}  // namespace dotterelbarrow::settings
