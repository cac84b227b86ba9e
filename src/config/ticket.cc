// Parses and validates tickets, and writes their canonical text.
#include "dotterelbarrow/config/ticket.h"

#include <json/json.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

#include "src/config/json_reader.h"
#include "src/config/object_json.h"

namespace dotterelbarrow::config {
namespace {

using base::FailureCode;

// The maximum nesting of JSON values: enough for any ticket, and a bound on the
// parser's recursion.
constexpr int kMaxJsonDepth = 16;

std::optional<Json::Value> ParseJson(std::string_view text, Faults* errors) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder.settings_["stackLimit"] = kMaxJsonDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string parse_errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &root,
                      &parse_errors)) {
      return root;
    }
  } catch (const Json::Exception& exception) {
    parse_errors = exception.what();
  }
  std::replace(parse_errors.begin(), parse_errors.end(), '\n', ' ');
  AddFault(errors, FailureCode::kMalformed, "ticket", parse_errors);
  return std::nullopt;
}

// Returns whether `name` is valid for an object of `kind`; adds an error if
// not.
bool ValidateName(ObjectKind kind, const std::string& name,
                  const std::string& path, Faults* errors) {
  if (kind != ObjectKind::kJob) {
    if (!IsValidName(name)) {
      AddFault(errors, FailureCode::kOutOfRange, path,
               "expected 1 to " + std::to_string(kMaxNameBytes) +
                   " printable ASCII characters without space or slash");
      return false;
    }
    return true;
  }
  const std::optional<base::JobId> job = ParseJobName(name);
  if (!job || !IsValidName(job->team.value()) ||
      !IsValidName(job->request.value())) {
    AddFault(errors, FailureCode::kOutOfRange, path, "expected TEAM/REQUEST");
    return false;
  }
  return true;
}

std::optional<TicketObject> ReadObject(const Json::Value& value,
                                       const std::string& path,
                                       Faults* errors) {
  const std::size_t error_count_before = errors->size();
  ObjectReader reader(value, path, errors);
  const std::string kind_name = reader.String("kind", Presence::kRequired);
  TicketObject object;
  object.id.name = reader.String("name", Presence::kRequired);
  const Json::Value* state = reader.Member("state", Presence::kRequired);
  reader.RejectUnknownMembers();
  const bool is_complete = errors->size() == error_count_before;
  const std::optional<ObjectKind> kind = ParseObjectKind(kind_name);
  if (!kind) {
    if (is_complete) {
      reader.Fault(FailureCode::kUnknownValue, "kind",
                   "found \"" + kind_name +
                       "\", expected team, key, share, limit, service or job");
    }
    return std::nullopt;
  }
  object.id.kind = *kind;
  if (is_complete) {
    ValidateName(*kind, object.id.name, reader.PathOf("name"), errors);
  }
  if (state != nullptr && !state->isNull()) {
    object.state = ReadState(*kind, *state, reader.PathOf("state"), errors);
  }
  if (errors->size() != error_count_before) {
    return std::nullopt;
  }
  return object;
}

void ReadObjects(const Json::Value& value, Ticket* ticket, Faults* errors) {
  if (!value.isArray()) {
    AddFault(errors, FailureCode::kWrongType, "objects", "expected an array");
    return;
  }
  if (value.empty() || value.size() > kMaxTicketObjects) {
    AddFault(errors, FailureCode::kOutOfRange, "objects",
             "found " + std::to_string(value.size()) + ", expected 1 to " +
                 std::to_string(kMaxTicketObjects) + " objects");
    return;
  }
  for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
    const std::string path = "objects[" + std::to_string(i) + "]";
    std::optional<TicketObject> object = ReadObject(value[i], path, errors);
    if (object) {
      ticket->objects.push_back(std::move(*object));
    }
  }
}

void SortObjects(Ticket* ticket, Faults* errors) {
  std::vector<TicketObject>& objects = ticket->objects;
  std::sort(objects.begin(), objects.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  for (std::size_t i = 1; i < objects.size(); ++i) {
    if (objects[i].id == objects[i - 1].id) {
      AddFault(errors, FailureCode::kDuplicate, "objects",
               std::string(ToString(objects[i].id.kind)) + " \"" +
                   objects[i].id.name + "\" occurs more than once");
    }
  }
}

void TruncateErrors(Faults* errors) {
  if (errors->size() <= kMaxListedErrors) {
    return;
  }
  const std::size_t omitted = errors->size() - kMaxListedErrors;
  errors->resize(kMaxListedErrors);
  AddFault(errors, FailureCode::kTooLarge, "ticket",
           std::to_string(omitted) + " more errors are not listed");
}

}  // namespace

std::optional<Ticket> ParseTicket(std::string_view text, Faults* errors) {
  errors->clear();
  if (text.size() > kMaxTicketBytes) {
    AddFault(errors, FailureCode::kTooLarge, "ticket",
             "found " + std::to_string(text.size()) +
                 " bytes, expected at most " + std::to_string(kMaxTicketBytes));
    return std::nullopt;
  }
  const std::optional<Json::Value> root = ParseJson(text, errors);
  if (!root) {
    return std::nullopt;
  }
  ObjectReader reader(*root, "", errors);
  Ticket ticket;
  ticket.number = base::TicketNumber(static_cast<std::uint64_t>(
      reader.Integer("ticket", Presence::kRequired, 1,
                     std::numeric_limits<std::int64_t>::max(), 1)));
  const Json::Value* objects = reader.Member("objects", Presence::kRequired);
  reader.RejectUnknownMembers();
  if (objects != nullptr) {
    ReadObjects(*objects, &ticket, errors);
  }
  SortObjects(&ticket, errors);
  TruncateErrors(errors);
  if (!errors->empty()) {
    return std::nullopt;
  }
  return ticket;
}

std::string CanonicalText(const Ticket& ticket) {
  Json::Value root(Json::objectValue);
  root["ticket"] = Json::UInt64{ticket.number.value()};
  root["objects"] = Json::Value(Json::arrayValue);
  for (const TicketObject& object : ticket.objects) {
    Json::Value value(Json::objectValue);
    value["kind"] = ToString(object.id.kind);
    value["name"] = object.id.name;
    value["state"] = object.state ? WriteState(*object.state) : Json::Value();
    root["objects"].append(std::move(value));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

std::string Describe(const Faults& errors) {
  std::string text;
  for (const base::Failure& error : errors) {
    if (!text.empty()) {
      text += "; ";
    }
    text += std::string(base::ToString(error.code)) + " at " + error.detail;
  }
  return text;
}

}  // namespace dotterelbarrow::config
