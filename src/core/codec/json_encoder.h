// Encodes a type that has a Schema, or the type of a schema member, as a JSON
// value.
#ifndef DOTTERELBARROW_SRC_CORE_CODEC_JSON_ENCODER_H_
#define DOTTERELBARROW_SRC_CORE_CODEC_JSON_ENCODER_H_

#include <json/value.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "src/core/codec/fields_work.h"

namespace dotterelbarrow::core {

// Visits the members of one message and adds each to a JSON object.
class JsonEncoder {
 public:
  explicit JsonEncoder(Defaults defaults) : defaults_(defaults) {}

  template <typename Message>
  Json::Value ToValue(const Message& message) {
    if constexpr (std::is_enum_v<Message>) {
      return Json::StaticString(ToString(message));
    } else {
      Json::Value object(Json::objectValue);
      JsonEncoder encoder(defaults_);
      encoder.object_ = &object;
      Schema<Message>::Visit(message, encoder);
      return object;
    }
  }
  Json::Value ToValue(bool value) { return Json::Value(value); }
  Json::Value ToValue(std::uint32_t value) { return Json::Value(value); }
  Json::Value ToValue(std::uint64_t value) {
    return Json::Value(static_cast<Json::UInt64>(value));
  }
  // JSON has no infinities; they are written as the largest finite number.
  Json::Value ToValue(double value) {
    constexpr double largest = std::numeric_limits<double>::max();
    return Json::Value(
        std::isnan(value) ? 0.0 : std::clamp(value, -largest, largest));
  }
  Json::Value ToValue(const std::string& value) { return Json::Value(value); }
  template <typename Tag>
  Json::Value ToValue(const base::StringId<Tag>& id) {
    return Json::Value(id.value());
  }
  template <typename Tag>
  Json::Value ToValue(base::NumberId<Tag> id) {
    return ToValue(id.value());
  }
  template <typename Tag>
  Json::Value ToValue(base::Quantity<Tag> quantity) {
    return NonNegative(quantity.value());
  }
  Json::Value ToValue(base::Duration duration) {
    return NonNegative(duration.count());
  }
  template <typename Item>
  Json::Value ToValue(const std::vector<Item>& items) {
    Json::Value array(Json::arrayValue);
    for (const Item& item : items) {
      array.append(ToValue(item));
    }
    return array;
  }

  template <typename Field>
  void Required(const char* name, const Field& field) {
    (*object_)[Json::StaticString(name)] = ToValue(field);
  }
  template <typename Field>
  void Optional(const char* name, const Field& field,
                const Field& absent = Field()) {
    if (defaults_ == Defaults::kWritten || field != absent) {
      Required(name, field);
    }
  }

 private:
  static Json::Value NonNegative(std::int64_t value) {
    return Json::Value(
        static_cast<Json::Int64>(std::max<std::int64_t>(value, 0)));
  }

  Defaults defaults_;
  // The object that receives the visited members.
  Json::Value* object_ = nullptr;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CODEC_JSON_ENCODER_H_
