// Measures the processor time and the messages of a cell's entries.
#include <chrono>
#include <variant>

#include "dotterelbarrow/core/codec.h"
#include "test/fuzz/cell.h"

namespace dotterelbarrow::fuzz {
namespace {

template <typename Message>
void Add(const Message& message, Traffic* traffic) {
  ++traffic->messages;
  traffic->bytes += core::Encode(message, core::Defaults::kOmitted).size();
}

const char* CommandName(const core::BackendSync& /*sync*/) { return "sync"; }
const char* CommandName(const core::RunCommand& /*command*/) { return "run"; }

}  // namespace

void Cell::StartMeter() {
  metered_ = true;
  costs_.assign(entries_.size(), Cost());
}

void Cell::Charge(int entry, const std::function<void()>& work) {
  if (!metered_) {
    work();
    return;
  }
  const auto begin = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begin;
  costs_[entry].seconds += spent.count();
  costs_[entry].handle_us.push_back(static_cast<float>(spent.count() * 1e6));
}

void Cell::Count(int entry, const core::Output& output) {
  Cost& cost = costs_[entry];
  if (const auto* to_peer = std::get_if<core::ToPeer>(&output)) {
    std::visit(
        [&]<typename Message>(const Message& message) {
          Add(message, &cost.to_peers[core::MethodName<Message>()]);
        },
        to_peer->message);
  } else if (const auto* to_backend = std::get_if<core::ToBackend>(&output)) {
    std::visit(
        [&](const auto& command) {
          Add(command, &cost.to_backends[CommandName(command)]);
        },
        to_backend->command);
  } else if (std::holds_alternative<core::TableRead>(output)) {
    ++cost.table_reads;
  } else if (std::holds_alternative<core::TableTransaction>(output)) {
    ++cost.table_writes;
  }
}

void Cell::Count(int entry, const core::Input& input) {
  if (const auto* report = std::get_if<core::BackendReport>(&input)) {
    Add(*report, &costs_[entry].reports);
  }
}

}  // namespace dotterelbarrow::fuzz
