// Conversion of object states in tickets from and to JSON.
#ifndef DOTTERELBARROW_SRC_CONFIG_OBJECT_JSON_H_
#define DOTTERELBARROW_SRC_CONFIG_OBJECT_JSON_H_

#include <json/json.h>

#include <string>

#include "dotterelbarrow/config/objects.h"
#include "src/config/json_reader.h"

namespace dotterelbarrow::config {

// Reads the state of an object of `kind` from `value`, which is at `path` in
// the ticket. Appends all errors found to `errors`; the result is valid only if
// none was added.
ObjectState ReadState(ObjectKind kind, const Json::Value& value,
                      const std::string& path, Faults* errors);

// Returns `state` as JSON that ReadState accepts.
Json::Value WriteState(const ObjectState& state);

}  // namespace dotterelbarrow::config

#endif  // DOTTERELBARROW_SRC_CONFIG_OBJECT_JSON_H_
