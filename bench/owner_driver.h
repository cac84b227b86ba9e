// Runs a ShardOwner against simulated workers in virtual time and measures the
// real time that the owner's own calls take.
#ifndef DOTTERELBARROW_BENCH_OWNER_DRIVER_H_
#define DOTTERELBARROW_BENCH_OWNER_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/core/shard_owner.h"

namespace dotterelbarrow::bench {

// The simulated fleet. `packing_weight` goes into the owner's settings.
struct FleetShape {
  int workers = 0;
  base::Resources worker_size;
  double packing_weight = 1.0;
};

class OwnerDriver {
 public:
  // Advances virtual time until the owner is reconciled with all workers.
  explicit OwnerDriver(const FleetShape& shape);

  base::TimePoint now() const { return now_; }
  // Passes a placement request to the owner and returns the seconds of real
  // time that the call took.
  double Place(const core::TaskSpec& spec, double share_position);
  // Ends a running task with success; its worker reports the end at once. Does
  // nothing if the task doesn't run.
  void Finish(const base::TaskId& task);
  // Advances virtual time by `time`, ticks the owner and delivers its messages.
  void Step(base::Duration time);

  // Called for each reply to a placement request, and for each task that
  // starts. May be empty.
  std::function<void(const core::PlaceReply&)> on_reply;
  std::function<void(const core::TaskSpec&)> on_start;

  // Seconds of real time spent in the owner's calls since the last ResetClock.
  double owner_seconds() const { return owner_seconds_; }
  void ResetClock() { owner_seconds_ = 0; }
  // The total demand of the running tasks.
  const base::Resources& used() const { return used_; }
  const base::Resources& capacity() const { return capacity_; }
  const core::Counters& counters() const { return counters_; }

 private:
  struct Worker {
    std::string name;
    base::Epoch epoch;
    std::uint64_t sequence = 0;
    std::unordered_map<base::TaskId, core::TaskReport> tasks;
  };

  // Runs `call`, adds the time that it takes to owner_seconds_ and returns it.
  template <typename Call>
  double MeasureOwnerCall(Call call) {
    const auto begin = std::chrono::steady_clock::now();
    call();
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - begin;
    owner_seconds_ += taken.count();
    return taken.count();
  }
  void Deliver();
  void DeliverSync(const core::BackendSync& sync);
  void DeliverPeer(const core::ToPeer& to_peer);
  void Report(Worker* worker);

  core::NodeSettings settings_;
  core::Outbox outbox_;
  core::Counters counters_;
  base::TimePoint now_{std::chrono::seconds(1)};
  std::unique_ptr<core::Membership> membership_;
  std::unique_ptr<core::ShardOwner> owner_;
  core::HostList hosts_;
  base::Resources worker_size_;
  base::Resources used_;
  base::Resources capacity_;
  std::map<base::BackendId, Worker> workers_;
  std::unordered_map<base::TaskId, Worker*> running_on_;
  double owner_seconds_ = 0;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_OWNER_DRIVER_H_
