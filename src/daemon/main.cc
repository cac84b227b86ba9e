// dotterelbarrowd: the scheduler's daemon on one entry host.
#include <glog/logging.h>
#include <malloc.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/core/shards/shard_plan.h"
#include "dotterelbarrow/member/member.h"
#include "dotterelbarrow/settings/settings_file.h"
#include "platform/settings_file.h"
#include "src/daemon/command_line.h"
#include "src/daemon/driver.h"

namespace dotterelbarrow::daemon {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

constexpr const char* kPlatformSettingsVariable = "DOTTERELBARROW_CONFIG";

// Returns the milliseconds since the Unix epoch. A restarted daemon thus gets a
// higher incarnation, and call ids, which start from the incarnation, fit in
// 64 bits.
base::Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now);
  return base::Incarnation(static_cast<std::uint64_t>(millis.count()));
}

std::uint64_t NewSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::optional<settings::DaemonSettings> LoadOrPrintErrors(
    const std::string& path) {
  std::vector<settings::SettingsError> faults;
  auto loaded = settings::LoadSettings(path, &faults);
  for (const settings::SettingsError& fault : faults) {
    std::cerr << settings::ToString(fault) << "\n";
  }
  return loaded;
}

void StartLog(const char* program, settings::LogLevel level) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(level);
  google::InitGoogleLogging(program);
}

int Serve(const char* program, const std::string& path) {
  auto loaded = LoadOrPrintErrors(path);
  if (!loaded) {
    return kExitBadInput;
  }
  StartLog(program, loaded->log_level);
  loaded->node.incarnation = NewIncarnation();

  wire::EventLoop loop;
  Driver driver(&loop, *loaded, NewSeed());
  base::Failure reason;
  if (!driver.Listen(&reason)) {
    LOG(ERROR) << "event=listen_failed code=" << base::ToString(reason.code)
               << " detail=\"" << reason.detail << "\"";
    return kExitFailed;
  }
  const auto stop = [&driver] { driver.BeginShutdown(); };
  const wire::SignalWatch on_terminate(loop, SIGTERM, stop);
  const wire::SignalWatch on_interrupt(loop, SIGINT, stop);
  loop.Run();
  LOG(INFO) << "event=stopped";
  return kExitOk;
}

// Runs as a member of the cell on the users' platform until the event loop
// stops. SIGHUP reloads the settings file; if it is invalid, the member keeps
// its settings and the reason is printed.
int ServeOnPlatform(const core::shards::ShardPlannerSettings& planner) {
  const char* path = std::getenv(kPlatformSettingsVariable);
  base::Failure reason;
  const auto load = [path, &reason] {
    return platform::LoadPlatformSettings(path == nullptr ? "" : path, &reason);
  };
  const auto settings = load();
  if (!settings) {
    std::cerr << reason.detail << "\n";
    return kExitBadInput;
  }
  wire::EventLoop loop;
  member::Member member(&loop, *settings, planner);
  if (!member.Listen(&reason)) {
    std::cerr << reason.detail << "\n";
    return kExitFailed;
  }
  const wire::SignalWatch on_terminate(loop, SIGTERM,
                                       [&member] { member.BeginShutdown(); });
  const wire::SignalWatch on_change(loop, SIGHUP, [&member, &load, &reason] {
    if (const auto changed = load()) {
      member.OnSettingsChanged(*changed);
    } else {
      std::cerr << reason.detail << "\n";
    }
  });
  loop.Run();
  return kExitOk;
}

int Main(int argc, const char* const* argv) {
  return std::visit(
      base::Overloaded{
          [](const base::Failure& failure) {
            std::cerr << failure.detail << "\n";
            return kExitBadInput;
          },
          [](const ShowHelp& help) {
            std::cout << help.text;
            return kExitOk;
          },
          [](const ShowVersion&) {
            std::cout << "dotterelbarrowd " << DOTTEREL_VERSION << "\n";
            return kExitOk;
          },
          [](const PrintSampleSettings&) {
            std::cout << settings::SampleSettings();
            return kExitOk;
          },
          [](const CheckSettings& check) {
            return LoadOrPrintErrors(check.path) ? kExitOk : kExitBadInput;
          },
          [](const RunOnPlatform& run) { return ServeOnPlatform(run.planner); },
          [argv](const RunDaemon& run) { return Serve(argv[0], run.path); }},
      ParseCommandLine(argc, argv));
}

}  // namespace
}  // namespace dotterelbarrow::daemon

int main(int argc, char** argv) {
  // If a peer closes its connection early, writes to it must fail with an error
  // instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  // Without fast bins. Each allocation of more than a kilobyte, as every
  // message needs, would merge all of their chunks first.
  mallopt(M_MXFAST, 0);
  return dotterelbarrow::daemon::Main(argc, argv);
}
