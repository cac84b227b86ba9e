// The commands that the fuzzer generates: they submit work, inject faults or
// advance time. Each command holds all its parameters, so that RapidCheck can
// shrink a failing list of commands.
#ifndef DOTTERELBARROW_TEST_FUZZ_COMMANDS_H_
#define DOTTERELBARROW_TEST_FUZZ_COMMANDS_H_

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>
#include <string>

#include "test/fuzz/cell.h"

namespace dotterelbarrow::fuzz {

// The state that the generator of commands needs: the number of requests and
// tickets made so far.
struct Model {
  int requests = 0;
  int tickets = 0;
};

using CellCommand = rc::state::Command<Model, Cell>;

// The number of commands run in this process.
int& CommandsRun();
// The number of requests in this process whose key had been revoked for so long
// that they had to be refused.
int& RevokedKeyRequests();

// Advances virtual time by `time`; fails the test if a rule was violated.
void PassTime(Cell* cell, base::Duration time);

// Submits one request or job of a random kind.
class SubmitWork : public CellCommand {
 public:
  explicit SubmitWork(const Model& model);
  void apply(Model& model) const override { ++model.requests; }
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  int number_;
  int entry_;
  core::WorkRequest request_;
};

// Submits many interactive requests of one team at once, spread over all
// entries, so that the team reaches its limit.
class SubmitBurst : public CellCommand {
 public:
  explicit SubmitBurst(const Model& model);
  void apply(Model& model) const override { model.requests += kRequests; }
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  static constexpr int kRequests = 8;

  int number_;
  bool parts_;
  int run_ms_;
};

// Cancels an earlier job, or one that may not exist.
class CancelWork : public CellCommand {
 public:
  explicit CancelWork(const Model& model);
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  int entry_;
  int number_;
  bool parts_;
};

// Lowers or raises the limit of team "parts", or revokes or assigns a key.
class ChangeConfig : public CellCommand {
 public:
  explicit ChangeConfig(const Model& model);
  void apply(Model& model) const override { ++model.tickets; }
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  int entry_;
  std::string ticket_;
  // The virtual time that passes before the next command.
  base::Duration wait_;
};

// Kills, freezes, thaws, restarts or disconnects an entry.
class DisturbEntry : public CellCommand {
 public:
  DisturbEntry();
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  enum class Kind {
    kKill,
    kStart,
    kFreeze,
    kThaw,
    kCutOneWay,
    kCutOff,
    kCutPlatform,
    kShutdown,
    kRestoreLinks,
  };
  Kind kind_;
  int entry_;
  int other_;
};

// Sets or clears a fault of a backend server, or disconnects it from an entry.
class DisturbBackend : public CellCommand {
 public:
  DisturbBackend();
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  int backend_;
  int entry_;
  int kind_;
};

// Changes the platform's fault, or the delays and losses of the network.
class DisturbPlatform : public CellCommand {
 public:
  DisturbPlatform();
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  PlatformFault fault_;
  NetworkConditions network_conditions_;
};

class Wait : public CellCommand {
 public:
  Wait();
  void run(const Model& model, Cell& cell) const override;
  void show(std::ostream& out) const override;

 private:
  base::Duration time_;
};

}  // namespace dotterelbarrow::fuzz

#endif  // DOTTERELBARROW_TEST_FUZZ_COMMANDS_H_
