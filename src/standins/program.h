// What the stand-ins' programs share: how they start, and when they stop.
#ifndef DOTTERELBARROW_STANDINS_PROGRAM_H_
#define DOTTERELBARROW_STANDINS_PROGRAM_H_

#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::standins {

// Stops `loop`, which must outlive this, on SIGTERM and SIGINT.
class StopOnSignals {
 public:
  explicit StopOnSignals(wire::EventLoop* loop)
      : on_terminate_(*loop, SIGTERM, [loop] { loop->Stop(); }),
        on_interrupt_(*loop, SIGINT, [loop] { loop->Stop(); }) {}

 private:
  wire::SignalWatch on_terminate_;
  wire::SignalWatch on_interrupt_;
};

// Reads the command line into what `flags` names. Returns whether the program
// should run: not if help was asked for, which is shown.
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

// Runs a program: `parse` returns its options, nothing if help was shown, or
// throws what boost does; `run` returns the exit code.
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
