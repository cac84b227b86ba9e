// Parses INI text into sections and assignments, with the inih library.
#ifndef DOTTERELBARROW_SRC_SETTINGS_INI_TEXT_H_
#define DOTTERELBARROW_SRC_SETTINGS_INI_TEXT_H_

#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/settings/settings_file.h"

namespace dotterelbarrow::settings {

struct IniAssignment {
  std::string section;
  std::string key;
  std::string value;
};

struct IniText {
  // In the order in which they occur.
  std::vector<IniAssignment> assignments;
  // The names of all sections, including those without assignments.
  std::set<std::string> sections;
};

// Returns the sections and assignments that could be parsed from `text`. Adds
// an error for each line that is too long, and for the first line with a syntax
// error. `file` is the file name shown in errors.
IniText ParseIni(const std::string& file, const std::string& text,
                 std::vector<SettingsError>* errors);

}  // namespace dotterelbarrow::settings

#endif  // DOTTERELBARROW_SRC_SETTINGS_INI_TEXT_H_
