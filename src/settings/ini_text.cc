// Runs inih's parser, and makes checks that it lacks: line lengths and sections
// without assignments.
#include "src/settings/ini_text.h"

#include <ini.h>

#include <sstream>

namespace dotterelbarrow::settings {
namespace {

// inih splits longer lines in two without reporting an error.
constexpr std::size_t kMaxLineBytes = INI_MAX_LINE - 3;

int AddAssignment(void* user, const char* section, const char* key,
                  const char* value) {
  auto* ini = static_cast<IniText*>(user);
  ini->assignments.push_back({section, key, value});
  return 1;
}

void ScanLine(const std::string& file, std::size_t number,
              const std::string& line, IniText* ini,
              std::vector<SettingsError>* errors) {
  if (line.size() > kMaxLineBytes) {
    errors->push_back({base::FailureCode::kTooLarge, file, "", "",
                       "line " + std::to_string(number) + " of " +
                           std::to_string(line.size()) + " bytes",
                       "at most " + std::to_string(kMaxLineBytes) + " bytes"});
  }
  const std::size_t start = line.find_first_not_of(" \t");
  const std::size_t closing_bracket = line.find(']');
  if (start != std::string::npos && line[start] == '[' &&
      closing_bracket != std::string::npos) {
    ini->sections.insert(line.substr(start + 1, closing_bracket - start - 1));
  }
}

}  // namespace

IniText ParseIni(const std::string& file, const std::string& text,
                 std::vector<SettingsError>* errors) {
  IniText ini;
  std::istringstream lines(text);
  std::string line;
  for (std::size_t number = 1; std::getline(lines, line); ++number) {
    ScanLine(file, number, line, &ini, errors);
  }
  const int error_line = ini_parse_string(text.c_str(), AddAssignment, &ini);
  if (error_line != 0) {
    errors->push_back({base::FailureCode::kMalformed, file, "", "",
                       "line " + std::to_string(error_line),
                       "[section], key = value, or a comment after ;"});
  }
  return ini;
}

}  // namespace dotterelbarrow::settings
