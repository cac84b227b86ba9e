// Encodes and decodes worker records as JSON.
#include "dotterelbarrow/core/workers/worker_record.h"

#include <json/json.h>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::workers {

std::string EncodeWorkerRecord(const WorkerRecord& record) {
  const Listing& listing = record.listing;
  Json::Value value(Json::objectValue);
  value["address"] = listing.address;
  value["cpu"] = static_cast<Json::Int64>(listing.capacity.cpu.value());
  value["memory"] = static_cast<Json::Int64>(listing.capacity.memory.value());
  value["accelerators"] =
      static_cast<Json::Int64>(listing.capacity.accelerators.value());
  value["born_ms"] = static_cast<Json::Int64>(listing.born_ms);
  value["rack"] = listing.rack;
  if (record.carried_until_ms) {
    value["carried_until_ms"] =
        static_cast<Json::Int64>(*record.carried_until_ms);
  }
  if (record.leases_end_ms) {
    value["leases_end_ms"] = static_cast<Json::Int64>(*record.leases_end_ms);
  }
  return WriteJson(value);
}

std::optional<WorkerRecord> DecodeWorkerRecord(const base::BackendId& id,
                                               const std::string& text,
                                               base::Failure* reason) {
  const auto value = ReadJson(text, reason);
  if (!value) {
    return std::nullopt;
  }
  const Json::Value& fields = *value;
  if (!fields.isObject() || !fields["address"].isString() ||
      !fields["cpu"].isInt64() || !fields["memory"].isInt64() ||
      !fields["accelerators"].isInt64()) {
    *reason = {base::FailureCode::kMalformed,
               "worker record: a field is missing or has the wrong type"};
    return std::nullopt;
  }
  WorkerRecord record;
  if (fields["leases_end_ms"].isInt64()) {
    record.leases_end_ms = fields["leases_end_ms"].asInt64();
  }
  if (fields["carried_until_ms"].isInt64()) {
    record.carried_until_ms = fields["carried_until_ms"].asInt64();
  }
  if (fields["born_ms"].isInt64()) {
    record.recorded_born_ms = fields["born_ms"].asInt64();
  }
  Listing& listing = record.listing;
  record.names_rack = fields["rack"].isString();
  if (record.names_rack) {
    listing.rack = fields["rack"].asString();
  }
  listing.id = id;
  listing.address = fields["address"].asString();
  listing.capacity = {base::Millicores(fields["cpu"].asInt64()),
                      base::Mebibytes(fields["memory"].asInt64()),
                      base::Accelerators(fields["accelerators"].asInt64()),
                      base::Slots(0)};
  return record;
}

}  // namespace dotterelbarrow::core::workers
