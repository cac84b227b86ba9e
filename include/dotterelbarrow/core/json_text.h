// Converts JSON values to compact text and back, for the rows that the core
// stores in the table.
#ifndef DOTTERELBARROW_CORE_JSON_TEXT_H_
#define DOTTERELBARROW_CORE_JSON_TEXT_H_

#include <json/json.h>

#include <string>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core {

// Returns `value` as JSON text on one line.
inline std::string ToText(const Json::Value& value) { return WriteJson(value); }

// Returns the value of `text`, or null if `text` is not valid JSON.
inline Json::Value ParseText(const std::string& text) {
  base::Failure reason;
  return ReadJson(text, &reason).value_or(Json::Value());
}

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JSON_TEXT_H_
