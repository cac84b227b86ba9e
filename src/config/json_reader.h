// Reads the members of a JSON object and collects all errors, each with the
// path of the value in the text.
//
// Use one ObjectReader for each object: call an accessor for each expected
// member, then call RejectUnknownMembers.
#ifndef DOTTERELBARROW_SRC_CONFIG_JSON_READER_H_
#define DOTTERELBARROW_SRC_CONFIG_JSON_READER_H_

#include <json/json.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"

namespace dotterelbarrow::config {

using Faults = std::vector<base::Failure>;

enum class Presence { kRequired, kOptional };

class ObjectReader {
 public:
  // `value` and `errors` must outlive this. If `value` is not an object, that
  // is the only error added; all members are then read as absent.
  ObjectReader(const Json::Value& value, std::string path, Faults* errors);

  // Each accessor returns the member's value. If the member is absent or
  // invalid, it returns `fallback`, an empty string or, for PositiveNumber, 1.
  // An invalid member, or an absent one that is required, is an error.
  std::string String(const std::string& name, Presence presence);
  // A string that must satisfy IsValidName.
  std::string Name(const std::string& name, Presence presence);
  bool Bool(const std::string& name, bool fallback);
  std::int64_t Integer(const std::string& name, Presence presence,
                       std::int64_t min, std::int64_t max,
                       std::int64_t fallback);
  double PositiveNumber(const std::string& name, double max);
  // Returns the member itself, or null if it is absent.
  const Json::Value* Member(const std::string& name, Presence presence);

  // Adds an error for each member that no accessor was called for.
  void RejectUnknownMembers();

  void Fault(base::FailureCode code, const std::string& name,
             const std::string& detail);
  std::string PathOf(const std::string& name) const;

 private:
  const Json::Value& value_;
  std::string path_;
  Faults* errors_;
  bool is_object_;
  std::set<std::string> known_;
};

// Appends an error about the value at `path`.
void AddFault(Faults* errors, base::FailureCode code, const std::string& path,
              const std::string& detail);

// Returns whether `name` is a valid object name: 1 to kMaxNameBytes printable
// ASCII characters without space or slash.
bool IsValidName(const std::string& name);

}  // namespace dotterelbarrow::config

#endif  // DOTTERELBARROW_SRC_CONFIG_JSON_READER_H_
