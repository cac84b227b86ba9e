// The settings of a dotterelbarrowd process, and the INI file that holds them.
//
//   std::vector<SettingsError> errors;
//   const auto settings = LoadSettings("dotterelbarrowd.ini", &errors);
//   for (const auto& error : errors) std::cerr << ToString(error) << "\n";
//
// samples/dotterelbarrowd.ini, the output of SampleSettings, lists every key
// with its unit, range and default.
#ifndef DOTTERELBARROW_SETTINGS_SETTINGS_FILE_H_
#define DOTTERELBARROW_SETTINGS_SETTINGS_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::settings {

// The minimum severity of messages that are logged.
enum class LogLevel { kInfo, kWarning, kError };

struct DaemonSettings {
  // `node.incarnation` is not a setting: it is generated at each start.
  core::NodeSettings node;
  // "ip:port" on which this process serves the other entry hosts, backend
  // servers, operators and callers.
  std::string listen_address;
  // "ip:port" of a second listener that serves callers only; empty if there is
  // none.
  std::string callers_address;
  // "ip:port" of the platform services.
  std::string platform_address;
  LogLevel log_level = LogLevel::kInfo;
  // The maximum size of a request body, in bytes.
  std::uint32_t max_request_body_bytes = 1U << 20;
  // How many connections each address accepts at a time; 0 for a quarter of the
  // process's limit on open files.
  std::uint32_t max_connections = 0;
  // How many bytes the clients of `listen_address` can make this process hold.
  // Those of `callers_address` can make it hold half as much in addition.
  std::uint32_t max_connection_bytes = 64U << 20;
};

// One error in a settings file.
struct SettingsError {
  base::FailureCode code = base::FailureCode::kNone;
  std::string file;
  // Empty if the error is not in a section.
  std::string section;
  // Empty if the error concerns the whole section or file.
  std::string key;
  std::string found;
  std::string expected;
};

// Returns one line of text: the place, what was found and what was expected.
std::string ToString(const SettingsError& error);

// Parses `text`. If any setting is missing or invalid, returns nullopt and sets
// `*errors` to all errors found. `file` is the file name shown in the errors.
std::optional<DaemonSettings> ParseSettings(const std::string& file,
                                            const std::string& text,
                                            std::vector<SettingsError>* errors);

// Reads the file at `path` and parses it with ParseSettings. A file that can't
// be read is an error too.
std::optional<DaemonSettings> LoadSettings(const std::string& path,
                                           std::vector<SettingsError>* errors);

// Returns a commented settings file that ParseSettings accepts. It has every
// key at its default, except that required keys have example values, and it
// describes a cell of three entry hosts.
std::string SampleSettings();

}  // namespace dotterelbarrow::settings

#endif  // DOTTERELBARROW_SETTINGS_SETTINGS_FILE_H_
