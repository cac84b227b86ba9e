// Decodes a JSON value into a type that has a Schema, or into a type of a
// schema member.
#ifndef DOTTERELBARROW_SRC_CORE_CODEC_JSON_DECODER_H_
#define DOTTERELBARROW_SRC_CORE_CODEC_JSON_DECODER_H_

#include <json/value.h>

#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/codec.h"
#include "src/core/codec/fields_work.h"

namespace dotterelbarrow::core {

// An upper bound on the number of values of any enumeration. Values start at 0,
// and ToString returns their names.
inline constexpr int kMaxEnumValues = 64;

// Visits the members of one message and reads each from a JSON object. Decoding
// stops at the first failure, whose detail starts with the path of the faulty
// member.
class JsonDecoder {
 public:
  JsonDecoder(Members members, base::Failure* reason)
      : members_(members), reason_(reason) {}

  // Reads `value` into `*out`. On failure returns false and stores the cause in
  // `*reason`.
  template <typename T>
  bool Read(const Json::Value& value, T* out) {
    if constexpr (std::is_enum_v<T>) {
      return ReadEnum(value, out);
    } else {
      return ReadObject(value, out);
    }
  }
  bool Read(const Json::Value& value, bool* out) {
    if (!value.isBool()) {
      return WrongType("true or false");
    }
    *out = value.asBool();
    return true;
  }
  bool Read(const Json::Value& value, std::uint32_t* out) {
    return ReadNumber(value, std::numeric_limits<std::uint32_t>::max(), out);
  }
  bool Read(const Json::Value& value, std::uint64_t* out) {
    return ReadNumber(value, std::numeric_limits<std::uint64_t>::max(), out);
  }
  bool Read(const Json::Value& value, double* out) {
    if (!value.isNumeric()) {
      return WrongType("a number");
    }
    *out = value.asDouble();
    return true;
  }
  bool Read(const Json::Value& value, std::string* out) {
    const char* begin = nullptr;
    const char* end = nullptr;
    if (!value.isString() || !value.getString(&begin, &end)) {
      return WrongType("a string");
    }
    out->assign(begin, end);
    return true;
  }
  template <typename Tag>
  bool Read(const Json::Value& value, base::StringId<Tag>* out) {
    std::string text;
    if (!Read(value, &text)) {
      return false;
    }
    *out = base::StringId<Tag>(std::move(text));
    return true;
  }
  template <typename Tag>
  bool Read(const Json::Value& value, base::NumberId<Tag>* out) {
    std::uint64_t number = 0;
    if (!Read(value, &number)) {
      return false;
    }
    *out = base::NumberId<Tag>(number);
    return true;
  }
  template <typename Tag>
  bool Read(const Json::Value& value, base::Quantity<Tag>* out) {
    std::int64_t number = 0;
    if (!ReadNumber(value, kMaxQuantity, &number)) {
      return false;
    }
    *out = base::Quantity<Tag>(number);
    return true;
  }
  bool Read(const Json::Value& value, base::Duration* out) {
    std::int64_t number = 0;
    if (!ReadNumber(value, kMaxDurationMicros, &number)) {
      return false;
    }
    *out = base::Duration(number);
    return true;
  }
  template <typename Item>
  bool Read(const Json::Value& value, std::vector<Item>* out) {
    if (!value.isArray()) {
      return WrongType("an array");
    }
    out->reserve(value.size());
    for (const Json::Value& item : value) {
      if (!Read(item, &out->emplace_back())) {
        return PrependToPath("[" + std::to_string(out->size() - 1) + "]");
      }
    }
    return true;
  }

  template <typename Field>
  void Required(const char* name, Field& field) {
    if (ok_ && !Find(name, &field)) {
      ok_ = Fail(base::FailureCode::kMissingField, "is required");
      PrependToPath(name);
    }
  }
  template <typename Field>
  void Optional(const char* name, Field& field, const Field& absent = Field()) {
    if (ok_ && !Find(name, &field)) {
      field = absent;
    }
  }

 private:
  // Reads the member `name` of the current object. Returns whether the member
  // is present.
  template <typename Field>
  bool Find(const char* name, Field* field) {
    const Json::Value* member = object_->find(name, name + std::strlen(name));
    if (member == nullptr) {
      return false;
    }
    ++members_read_;
    ok_ = Read(*member, field) || PrependToPath(name);
    return true;
  }

  template <typename T>
  bool ReadObject(const Json::Value& value, T* out) {
    if (!value.isObject()) {
      return WrongType("an object");
    }
    JsonDecoder inner(members_, reason_);
    inner.object_ = &value;
    Schema<T>::Visit(*out, inner);
    return inner.ok_ && inner.AllMembersRead();
  }

  template <typename T>
  bool ReadEnum(const Json::Value& value, T* out) {
    if (!value.isString()) {
      return WrongType("a string");
    }
    const char* text = value.asCString();
    for (int i = 0; i < kMaxEnumValues; ++i) {
      const char* name = ToString(static_cast<T>(i));
      if (std::strcmp(name, "invalid") == 0) {
        break;
      }
      if (std::strcmp(name, text) == 0) {
        *out = static_cast<T>(i);
        return true;
      }
    }
    return Fail(base::FailureCode::kUnknownValue,
                "is \"" + std::string(text) + "\", which is not a known value");
  }

  template <typename Number>
  bool ReadNumber(const Json::Value& value, std::uint64_t largest,
                  Number* out) {
    if (!value.isNumeric()) {
      return WrongType("a number");
    }
    if (!value.isUInt64() || value.asUInt64() > largest) {
      return Fail(
          base::FailureCode::kOutOfRange,
          "must be a whole number from 0 to " + std::to_string(largest));
    }
    *out = static_cast<Number>(value.asUInt64());
    return true;
  }

  // Returns false if the current object has members that were not read and the
  // decoder rejects unknown members.
  bool AllMembersRead();
  bool WrongType(const char* expected);
  bool Fail(base::FailureCode code, const std::string& detail);
  // Prepends `name` to the path in the failure. Always returns false.
  bool PrependToPath(const std::string& name);

  Members members_;
  base::Failure* reason_;
  // The object whose members are being visited.
  const Json::Value* object_ = nullptr;
  Json::ArrayIndex members_read_ = 0;
  bool ok_ = true;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CODEC_JSON_DECODER_H_
