// Runs a ShardOwner against simulated workers.
#include "bench/owner_driver.h"

#include <utility>
#include <variant>

namespace dotterelbarrow::bench {
namespace {

constexpr int kWorkersPerRack = 8;

base::EntryId Self() { return base::EntryId("entry"); }

}  // namespace

OwnerDriver::OwnerDriver(const FleetShape& shape)
    : worker_size_(shape.worker_size) {
  settings_.self = Self();
  settings_.entries = {{Self(), "127.0.0.1:1", {}, {}}};
  settings_.packing_weight = shape.packing_weight;
  membership_ = std::make_unique<core::Membership>(&settings_, &outbox_, now_);
  owner_ = std::make_unique<core::ShardOwner>(&settings_, &outbox_, &counters_,
                                              membership_.get(), 1, now_);
  hosts_.available = true;
  for (int i = 0; i < shape.workers; ++i) {
    core::HostRecord host;
    host.backend = base::BackendId("w" + std::to_string(i));
    host.address = "127.0.0.1:2";
    host.shard = base::ShardId("rack" + std::to_string(i / kWorkersPerRack));
    host.capacity = shape.worker_size;
    hosts_.hosts.push_back(host);
    workers_[host.backend].name = host.backend.value();
    capacity_ += shape.worker_size;
  }
  owner_->OnHostList(hosts_, now_);
  while (!owner_->is_reconciled()) {
    Step(std::chrono::milliseconds(10));
  }
}

double OwnerDriver::Place(const core::TaskSpec& spec, double share_position) {
  const core::PlaceTask place{
      spec,           settings_.incarnation,    membership_->lease_term(),
      share_position, settings_.place_patience, false};
  return MeasureOwnerCall([&] { owner_->OnPlace(Self(), place, now_); });
}

void OwnerDriver::Finish(const base::TaskId& task) {
  const auto it = running_on_.find(task);
  if (it == running_on_.end()) {
    return;
  }
  Worker* worker = it->second;
  core::TaskReport& report = worker->tasks.at(task);
  report.state = core::TaskState::kSucceeded;
  used_ -= report.spec.demand;
  running_on_.erase(it);
  Report(worker);
  Deliver();
}

void OwnerDriver::Step(base::Duration time) {
  now_ += time;
  MeasureOwnerCall([this] { owner_->Tick(now_); });
  Deliver();
}

void OwnerDriver::Deliver() {
  for (auto outputs = outbox_.Take(); !outputs.empty();
       outputs = outbox_.Take()) {
    for (const core::Output& output : outputs) {
      if (const auto* to_backend = std::get_if<core::ToBackend>(&output)) {
        DeliverSync(std::get<core::BackendSync>(to_backend->command));
      } else if (const auto* to_peer = std::get_if<core::ToPeer>(&output)) {
        DeliverPeer(*to_peer);
      }
    }
  }
}

void OwnerDriver::DeliverSync(const core::BackendSync& sync) {
  Worker& worker = workers_.at(sync.backend);
  worker.epoch = sync.epoch;
  for (const base::TaskId& task : sync.acknowledged) {
    worker.tasks.erase(task);
  }
  for (const core::TaskSpec& spec : sync.start) {
    if (!worker.tasks.emplace(spec.id, core::TaskReport{spec.id, spec, {}, {}})
             .second) {
      continue;
    }
    used_ += spec.demand;
    running_on_[spec.id] = &worker;
    if (on_start) {
      on_start(spec);
    }
  }
  Report(&worker);
}

void OwnerDriver::Report(Worker* worker) {
  core::BackendReport report;
  report.backend = base::BackendId(worker->name);
  report.epoch = worker->epoch;
  report.sequence = ++worker->sequence;
  report.lease_token = worker->sequence;
  report.lease_valid = true;
  report.capacity = worker_size_;
  report.tasks.reserve(worker->tasks.size());
  for (const auto& [id, task] : worker->tasks) {
    report.tasks.push_back(task);
  }
  MeasureOwnerCall([&] { owner_->OnReport(report, now_); });
}

void OwnerDriver::DeliverPeer(const core::ToPeer& to_peer) {
  if (const auto* reply = std::get_if<core::PlaceReply>(&to_peer.message)) {
    if (on_reply) {
      on_reply(*reply);
    }
  } else if (const auto* update =
                 std::get_if<core::TaskUpdate>(&to_peer.message)) {
    MeasureOwnerCall([&] { owner_->OnUpdateAck({update->task}); });
  }
}

}  // namespace dotterelbarrow::bench
