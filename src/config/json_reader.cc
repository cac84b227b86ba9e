// Reads and validates members of JSON objects.
#include "src/config/json_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dotterelbarrow/config/objects.h"

namespace dotterelbarrow::config {
namespace {

using base::FailureCode;

const char* TypeName(const Json::Value& value) {
  switch (value.type()) {
    case Json::nullValue:
      return "null";
    case Json::stringValue:
      return "a string";
    case Json::booleanValue:
      return "a boolean";
    case Json::arrayValue:
      return "an array";
    case Json::objectValue:
      return "an object";
    default:
      return "a number";
  }
}

}  // namespace

void AddFault(Faults* errors, FailureCode code, const std::string& path,
              const std::string& detail) {
  errors->push_back(base::Failure{code, path + ": " + detail});
}

bool IsValidName(const std::string& name) {
  const auto valid = [](char c) { return c > ' ' && c <= '~' && c != '/'; };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), valid);
}

ObjectReader::ObjectReader(const Json::Value& value, std::string path,
                           Faults* errors)
    : value_(value),
      path_(std::move(path)),
      errors_(errors),
      is_object_(value.isObject()) {
  if (!is_object_) {
    AddFault(errors_, FailureCode::kWrongType, path_,
             std::string("found ") + TypeName(value) + ", expected an object");
  }
}

const Json::Value* ObjectReader::Member(const std::string& name,
                                        Presence presence) {
  known_.insert(name);
  if (!is_object_) {
    return nullptr;
  }
  const Json::Value* member =
      value_.find(name.data(), name.data() + name.size());
  if (member == nullptr && presence == Presence::kRequired) {
    Fault(FailureCode::kMissingField, name, "is missing");
  }
  return member;
}

std::string ObjectReader::String(const std::string& name, Presence presence) {
  const Json::Value* member = Member(name, presence);
  if (member == nullptr) {
    return "";
  }
  if (!member->isString()) {
    Fault(FailureCode::kWrongType, name,
          std::string("found ") + TypeName(*member) + ", expected a string");
    return "";
  }
  return member->asString();
}

std::string ObjectReader::Name(const std::string& name, Presence presence) {
  const std::size_t error_count_before = errors_->size();
  std::string text = String(name, presence);
  const bool was_read = errors_->size() == error_count_before && is_object_ &&
                        value_.isMember(name);
  if (was_read && !IsValidName(text)) {
    Fault(FailureCode::kOutOfRange, name,
          "expected 1 to " + std::to_string(kMaxNameBytes) +
              " printable ASCII characters without space or slash");
    return "";
  }
  return text;
}

bool ObjectReader::Bool(const std::string& name, bool fallback) {
  const Json::Value* member = Member(name, Presence::kOptional);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->isBool()) {
    Fault(FailureCode::kWrongType, name,
          std::string("found ") + TypeName(*member) + ", expected a boolean");
    return fallback;
  }
  return member->asBool();
}

std::int64_t ObjectReader::Integer(const std::string& name, Presence presence,
                                   std::int64_t min, std::int64_t max,
                                   std::int64_t fallback) {
  const Json::Value* member = Member(name, presence);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->isNumeric()) {
    Fault(FailureCode::kWrongType, name,
          std::string("found ") + TypeName(*member) +
              ", expected a whole number");
    return fallback;
  }
  if (!member->isInt64() || member->asInt64() < min ||
      member->asInt64() > max) {
    Fault(FailureCode::kOutOfRange, name,
          "found " + member->asString() + ", expected a whole number from " +
              std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return member->asInt64();
}

double ObjectReader::PositiveNumber(const std::string& name, double max) {
  const Json::Value* member = Member(name, Presence::kRequired);
  if (member == nullptr) {
    return 1.0;
  }
  if (!member->isNumeric()) {
    Fault(FailureCode::kWrongType, name,
          std::string("found ") + TypeName(*member) + ", expected a number");
    return 1.0;
  }
  const double number = member->asDouble();
  if (!std::isfinite(number) || number <= 0 || number > max) {
    Fault(FailureCode::kOutOfRange, name,
          "found " + member->asString() +
              ", expected more than 0 and at most " +
              std::to_string(static_cast<std::int64_t>(max)));
    return 1.0;
  }
  return number;
}

void ObjectReader::RejectUnknownMembers() {
  if (!is_object_) {
    return;
  }
  for (const std::string& name : value_.getMemberNames()) {
    if (!known_.contains(name)) {
      Fault(FailureCode::kUnknownField, name, "unknown member");
    }
  }
}

void ObjectReader::Fault(FailureCode code, const std::string& name,
                         const std::string& detail) {
  AddFault(errors_, code, PathOf(name), detail);
}

std::string ObjectReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

}  // namespace dotterelbarrow::config
