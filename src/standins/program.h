// Start-up code shared by the stand-in programs: command line, logging and
// shutdown on signals.
#ifndef DOTTERELBARROW_STANDINS_PROGRAM_H_
#define DOTTERELBARROW_STANDINS_PROGRAM_H_

#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::standins {

// Stops `loop` on SIGTERM and SIGINT. `loop` must outlive this object.
class StopOnSignals {
 public:
  explicit StopOnSignals(wire::EventLoop* loop)
      : on_terminate_(*loop, SIGTERM, [loop] { loop->Stop(); }),
        on_interrupt_(*loop, SIGINT, [loop] { loop->Stop(); }) {}

 private:
  wire::SignalWatch on_terminate_;
  wire::SignalWatch on_interrupt_;
};

// Parses the command line into the variables that `flags` is bound to. Returns
// whether the program should run: on --help, prints the help text and returns
// false. Throws boost::program_options::error on an invalid command line.
inline bool ReadFlags(
    int argc, char** argv,
    const boost::program_options::options_description& flags) {
  namespace po = boost::program_options;
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, flags), values);
  if (values.contains("help")) {
    std::cout << flags;
    return false;
  }
  po::notify(values);
  return true;
}

// Runs a program and returns its exit code. `parse` returns the options, or
// nothing if it printed the help text, and may throw
// boost::program_options::error, which gives exit code 2. `run` takes the
// options and returns the exit code.
template <typename Parse, typename Run>
int Main(int argc, char** argv, const Parse& parse, const Run& run) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    const auto options = parse(argc, argv);
    return options ? run(*options) : 0;
  } catch (const boost::program_options::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_PROGRAM_H_
