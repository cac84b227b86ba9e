// Formats answers and pages as tables, or as indented JSON.
#ifndef DOTTERELBARROW_SRC_CTL_OUTPUT_H_
#define DOTTERELBARROW_SRC_CTL_OUTPUT_H_

#include <json/value.h>

#include <string>

namespace dotterelbarrow::ctl {

// Returns one line with name and value for each member of `value`; nested
// members have dotted names, and empty ones are omitted. Each array of objects
// follows as a table, in which values nested more than one level deep are
// omitted.
std::string RenderTable(const Json::Value& value);

// Returns `value` as indented JSON.
std::string RenderJson(const Json::Value& value);

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_OUTPUT_H_
