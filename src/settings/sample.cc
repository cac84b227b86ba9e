// Writes the annotated sample from the table of settings.
#include <cstddef>
#include <string>

#include "dotterelbarrow/settings/settings_file.h"
#include "src/settings/setting_table.h"

namespace dotterelbarrow::settings {
namespace {

constexpr std::size_t kCommentColumns = 78;

// Appends `text` as comment lines of bounded length.
void AppendComment(const std::string& text, std::string* sample) {
  std::string line = ";";
  std::size_t start = 0;
  while (start < text.size()) {
    std::size_t end = text.find(' ', start);
    if (end == std::string::npos) {
      end = text.size();
    }
    if (line.size() + 1 + (end - start) > kCommentColumns) {
      *sample += line + "\n";
      line = ";";
    }
    line += " " + text.substr(start, end - start);
    start = end + 1;
  }
  *sample += line + "\n";
}

void AppendRow(const SettingRow& row, std::string* sample) {
  AppendComment(row.help, sample);
  std::string range = "Expected: " + ExpectedText(row);
  if (row.unit[0] != '\0') {
    range += ", in " + std::string(row.unit);
  }
  if (IsRequired(row.field)) {
    range += "; required";
  }
  AppendComment(range + ".", sample);
  const std::string value = IsRequired(row.field)
                                ? std::string(row.example)
                                : ValueText(row, DaemonSettings());
  *sample += std::string(row.key) + " = " + value + "\n";
}

constexpr char kEntries[] = R"(
; One section for each entry host that may ever be a member, this one included;
; alike on all of them. A majority of them gives leases.
; address: ip:port, by IP number; required.
; availability_zone: letters, digits, dots, dashes, underscores; required.
; region: the same; may be left out.
[entry e1]
address = 127.0.0.1:7101
availability_zone = az1
region = home

[entry e2]
address = 127.0.0.1:7102
availability_zone = az2
region = home

[entry e3]
address = 127.0.0.1:7103
availability_zone = az3
region = home
)";

}  // namespace

std::string SampleSettings() {
  std::string sample;
  AppendComment(
      "Settings of one dotterelbarrowd, each key at its default. Written by "
      "dotterelbarrowd --print-sample-settings.",
      &sample);
  std::string section;
  for (const SettingRow& row : SettingTable()) {
    sample += "\n";
    if (row.section != section) {
      section = row.section;
      sample += "[" + section + "]\n";
    }
    AppendRow(row, &sample);
  }
  return sample + kEntries;
}

}  // namespace dotterelbarrow::settings
