// A reader and a writer for the state of each kind of object.
#include "src/config/object_json.h"

#include <utility>

namespace dotterelbarrow::config {
namespace {

using base::FailureCode;

base::Resources ReadResources(const Json::Value& value, const std::string& path,
                              std::int64_t absent, Faults* errors) {
  ObjectReader reader(value, path, errors);
  const auto amount = [&](const char* name) {
    return reader.Integer(name, Presence::kOptional, 0, kMaxAmount, absent);
  };
  base::Resources resources;
  resources.cpu = base::Millicores(amount("cpu_millicores"));
  resources.memory = base::Mebibytes(amount("memory_mib"));
  resources.accelerators = base::Accelerators(amount("accelerators"));
  resources.slots = base::Slots(amount("slots"));
  reader.RejectUnknownMembers();
  return resources;
}

Json::Value WriteResources(const base::Resources& resources,
                           std::int64_t absent) {
  Json::Value value(Json::objectValue);
  const auto put = [&](const char* name, std::int64_t amount) {
    if (amount != absent) {
      value[name] = Json::Int64{amount};
    }
  };
  put("cpu_millicores", resources.cpu.value());
  put("memory_mib", resources.memory.value());
  put("accelerators", resources.accelerators.value());
  put("slots", resources.slots.value());
  return value;
}

TeamState ReadTeam(const Json::Value& value, const std::string& path,
                   Faults* errors) {
  ObjectReader reader(value, path, errors);
  TeamState state;
  state.organisation =
      base::OrganisationId(reader.Name("organisation", Presence::kRequired));
  reader.RejectUnknownMembers();
  return state;
}

KeyState ReadKey(const Json::Value& value, const std::string& path,
                 Faults* errors) {
  ObjectReader reader(value, path, errors);
  KeyState state;
  state.team = base::TeamId(reader.Name("team", Presence::kRequired));
  reader.RejectUnknownMembers();
  return state;
}

ShareState ReadShare(const Json::Value& value, const std::string& path,
                     Faults* errors) {
  ObjectReader reader(value, path, errors);
  ShareState state;
  state.weight = reader.PositiveNumber("weight", kMaxShareWeight);
  reader.RejectUnknownMembers();
  return state;
}

std::set<base::TeamId> ReadTeams(const Json::Value& value,
                                 const std::string& path, Faults* errors) {
  std::set<base::TeamId> teams;
  if (!value.isArray()) {
    AddFault(errors, FailureCode::kWrongType, path,
             "expected an array of team names");
    return teams;
  }
  for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
    const std::string place = path + "[" + std::to_string(i) + "]";
    if (!value[i].isString() || !IsValidName(value[i].asString())) {
      AddFault(errors, FailureCode::kWrongType, place, "expected a team name");
    } else if (!teams.insert(base::TeamId(value[i].asString())).second) {
      AddFault(errors, FailureCode::kDuplicate, place, "duplicate team");
    }
  }
  return teams;
}

ServiceState ReadService(const Json::Value& value, const std::string& path,
                         Faults* errors) {
  ObjectReader reader(value, path, errors);
  ServiceState state;
  state.open = reader.Bool("open", false);
  state.open_team = base::TeamId(reader.Name(
      "open_team", state.open ? Presence::kRequired : Presence::kOptional));
  if (!state.open && !state.open_team.empty()) {
    reader.Fault(FailureCode::kUnknownField, "open_team",
                 "only allowed if the service is open");
  }
  const Json::Value* teams = reader.Member("teams", Presence::kOptional);
  if (teams != nullptr) {
    state.teams = ReadTeams(*teams, reader.PathOf("teams"), errors);
  }
  reader.RejectUnknownMembers();
  return state;
}

JobKind ReadJobKind(ObjectReader* reader) {
  const std::string name = reader->String("kind", Presence::kRequired);
  const std::optional<JobKind> kind = ParseJobKind(name);
  if (!kind && !name.empty()) {
    reader->Fault(
        FailureCode::kUnknownValue, "kind",
        "found \"" + name + "\", expected batch, all_at_once or service");
  }
  return kind.value_or(JobKind::kBatch);
}

JobSpec ReadJob(const Json::Value& value, const std::string& path,
                Faults* errors) {
  ObjectReader reader(value, path, errors);
  JobSpec spec;
  spec.service = base::ServiceId(reader.Name("service", Presence::kRequired));
  spec.kind = ReadJobKind(&reader);
  spec.task_count = static_cast<std::uint32_t>(
      reader.Integer("task_count", Presence::kOptional, 1, kMaxTasksPerJob, 1));
  const Json::Value* demand = reader.Member("demand", Presence::kRequired);
  if (demand != nullptr) {
    spec.demand = ReadResources(*demand, reader.PathOf("demand"), 0, errors);
  }
  const auto duration = [&](const char* name) {
    return base::Duration(
        reader.Integer(name, Presence::kOptional, 0, kMaxJobTime.count(), 0));
  };
  spec.expected_run = duration("expected_run_us");
  spec.deadline = duration("deadline_us");
  spec.idempotent = reader.Bool("idempotent", true);
  spec.urgent = reader.Bool("urgent", false);
  spec.payload = reader.String("payload", Presence::kOptional);
  reader.RejectUnknownMembers();
  return spec;
}

struct StateWriter {
  Json::Value operator()(const TeamState& state) const {
    Json::Value value(Json::objectValue);
    value["organisation"] = state.organisation.value();
    return value;
  }
  Json::Value operator()(const KeyState& state) const {
    Json::Value value(Json::objectValue);
    value["team"] = state.team.value();
    return value;
  }
  Json::Value operator()(const ShareState& state) const {
    Json::Value value(Json::objectValue);
    value["weight"] = state.weight;
    return value;
  }
  Json::Value operator()(const LimitState& state) const {
    return WriteResources(state.most, kUnlimitedAmount);
  }
  Json::Value operator()(const ServiceState& state) const {
    Json::Value value(Json::objectValue);
    value["open"] = state.open;
    if (state.open) {
      value["open_team"] = state.open_team.value();
    }
    value["teams"] = Json::Value(Json::arrayValue);
    for (const base::TeamId& team : state.teams) {
      value["teams"].append(team.value());
    }
    return value;
  }
  Json::Value operator()(const JobSpec& spec) const {
    Json::Value value(Json::objectValue);
    value["service"] = spec.service.value();
    value["kind"] = ToString(spec.kind);
    value["task_count"] = spec.task_count;
    value["demand"] = WriteResources(spec.demand, 0);
    value["expected_run_us"] = Json::Int64{spec.expected_run.count()};
    value["deadline_us"] = Json::Int64{spec.deadline.count()};
    value["idempotent"] = spec.idempotent;
    value["urgent"] = spec.urgent;
    value["payload"] = spec.payload;
    return value;
  }
};

}  // namespace

ObjectState ReadState(ObjectKind kind, const Json::Value& value,
                      const std::string& path, Faults* errors) {
  switch (kind) {
    case ObjectKind::kTeam:
      return ReadTeam(value, path, errors);
    case ObjectKind::kKey:
      return ReadKey(value, path, errors);
    case ObjectKind::kShare:
      return ReadShare(value, path, errors);
    case ObjectKind::kLimit:
      return LimitState{ReadResources(value, path, kUnlimitedAmount, errors)};
    case ObjectKind::kService:
      return ReadService(value, path, errors);
    case ObjectKind::kJob:
      return ReadJob(value, path, errors);
  }
  return TeamState{};
}

Json::Value WriteState(const ObjectState& state) {
  return std::visit(StateWriter{}, state);
}

}  // namespace dotterelbarrow::config
