// Encoding and decoding of a job's records.
#include "dotterelbarrow/core/jobs/job_records.h"

#include <algorithm>
#include <array>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::jobs {
namespace {

using base::Failure;
using base::FailureCode;

// Limits on what a process allocates because of one record.
constexpr std::int64_t kMaxTasksPerStep = 100'000;
constexpr std::int64_t kMaxRepeats = 1'000'000'000;
constexpr std::int64_t kMaxPriority = 1'000'000;
constexpr std::int64_t kMaxAttempts = 4'000'000'000;
constexpr std::int64_t kMaxNumber = std::int64_t{1} << 52;

// Beyond this many unfinished occurrences, those without progress are written
// as ranges. Versions that know no ranges can read smaller records.
constexpr std::size_t kMaxListedOccurrences = 100;

constexpr std::array kAllStates = {JobState::kQueued, JobState::kInProgress,
                                   JobState::kCompleted, JobState::kFailed,
                                   JobState::kCancelled};

// Reads members of one object. Missing members give a default value. Only the
// first error is reported in `reason`.
class ObjectReader {
 public:
  ObjectReader(const Json::Value& value, Failure* reason)
      : value_(value), reason_(reason) {
    if (!value_.isObject()) {
      SetError(FailureCode::kWrongType, "expected an object");
    }
  }

  bool ok() const { return ok_; }

  std::int64_t Number(const char* name, std::int64_t max) {
    const Json::Value& member = Member(name);
    if (member.isNull()) {
      return 0;
    }
    if (!member.isInt64() || member.asInt64() < 0 || member.asInt64() > max) {
      SetError(FailureCode::kOutOfRange,
               std::string(name) + ": expected a whole number up to " +
                   std::to_string(max));
      return 0;
    }
    return member.asInt64();
  }

  std::string Text(const char* name) {
    const Json::Value& member = Member(name);
    if (member.isNull()) {
      return {};
    }
    if (!member.isString()) {
      SetError(FailureCode::kWrongType,
               std::string(name) + ": expected a string");
      return {};
    }
    return member.asString();
  }

  bool Flag(const char* name) {
    const Json::Value& member = Member(name);
    if (!member.isNull() && !member.isBool()) {
      SetError(FailureCode::kWrongType,
               std::string(name) + ": expected true or false");
      return false;
    }
    return member.isBool() && member.asBool();
  }

  // Returns an array, or null if the member is missing or of another type.
  const Json::Value& List(const char* name) {
    const Json::Value& member = Member(name);
    if (!member.isNull() && !member.isArray()) {
      SetError(FailureCode::kWrongType,
               std::string(name) + ": expected an array");
      return Json::Value::nullSingleton();
    }
    return member;
  }

  void SetError(FailureCode code, const std::string& detail) {
    if (ok_) {
      *reason_ = {code, detail};
    }
    ok_ = false;
  }

 private:
  const Json::Value& Member(const char* name) const {
    return value_.isObject() ? value_[name] : Json::Value::nullSingleton();
  }

  const Json::Value& value_;
  Failure* reason_;
  bool ok_ = true;
};

std::int64_t Milliseconds(base::Duration duration) {
  return duration / std::chrono::milliseconds(1);
}

// Omits members that have the default value.
template <typename Value>
void PutUnlessDefault(Json::Value* object, const char* name,
                      const Value& value) {
  if (value != Value()) {
    (*object)[name] = value;
  }
}

Json::Value StepToJson(const StepSpec& step) {
  Json::Value value(Json::objectValue);
  value["tasks"] = step.tasks;
  PutUnlessDefault(&value, "cpu",
                   static_cast<Json::Int64>(step.needs.cpu.value()));
  PutUnlessDefault(&value, "memory",
                   static_cast<Json::Int64>(step.needs.memory.value()));
  PutUnlessDefault(&value, "accelerators",
                   static_cast<Json::Int64>(step.needs.accelerators.value()));
  PutUnlessDefault(&value, "estimate_ms",
                   static_cast<Json::Int64>(Milliseconds(step.estimate)));
  for (const std::uint32_t earlier : step.depends_on) {
    value["after"].append(earlier);
  }
  PutUnlessDefault(&value, "checkpoints", step.checkpoints);
  PutUnlessDefault(&value, "gang", step.gang);
  PutUnlessDefault(&value, "one_rack", step.prefers_one_rack);
  PutUnlessDefault(&value, "label", step.required_label);
  PutUnlessDefault(&value, "rack", step.data_rack);
  PutUnlessDefault(&value, "per_worker", step.max_per_worker);
  PutUnlessDefault(&value, "copies", step.allows_copies);
  PutUnlessDefault(&value, "long_running", step.long_running);
  PutUnlessDefault(&value, "unavailable", step.max_unavailable);
  PutUnlessDefault(&value, "fills", step.fills_idle_cpu);
  PutUnlessDefault(&value, "image", step.image);
  PutUnlessDefault(
      &value, "target_ms",
      static_cast<Json::Int64>(Milliseconds(step.response_target)));
  return value;
}

StepSpec StepFromJson(ObjectReader* reader, std::size_t position) {
  StepSpec step;
  step.tasks =
      static_cast<std::uint32_t>(reader->Number("tasks", kMaxTasksPerStep));
  step.needs = {base::Millicores(reader->Number("cpu", kMaxNumber)),
                base::Mebibytes(reader->Number("memory", kMaxNumber)),
                base::Accelerators(reader->Number("accelerators", kMaxNumber)),
                base::Slots(0)};
  step.estimate = std::chrono::milliseconds(
      reader->Number("estimate_ms", kMaxNumber / 1000));
  for (const Json::Value& earlier : reader->List("after")) {
    if (!earlier.isUInt() || earlier.asUInt() >= position) {
      reader->SetError(FailureCode::kOutOfRange,
                       "after: expected numbers of earlier steps");
      break;
    }
    step.depends_on.push_back(earlier.asUInt());
  }
  step.checkpoints = reader->Flag("checkpoints");
  step.gang = reader->Flag("gang");
  step.prefers_one_rack = reader->Flag("one_rack");
  step.required_label = reader->Text("label");
  step.data_rack = reader->Text("rack");
  step.max_per_worker = static_cast<std::uint32_t>(
      reader->Number("per_worker", kMaxTasksPerStep));
  step.allows_copies = reader->Flag("copies");
  step.long_running = reader->Flag("long_running");
  step.max_unavailable = static_cast<std::uint32_t>(
      reader->Number("unavailable", kMaxTasksPerStep));
  step.fills_idle_cpu = reader->Flag("fills");
  step.image = reader->Text("image");
  step.response_target =
      std::chrono::milliseconds(reader->Number("target_ms", kMaxNumber / 1000));
  return step;
}

// Encodes which tasks are done as hexadecimal digits. Each digit stands for
// four tasks; its lowest bit stands for the first of them.
std::string DoneBits(const Step& step) {
  std::string bits((step.tasks.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].done) {
      const int digit =
          bits[i / 4] <= '9' ? bits[i / 4] - '0' : bits[i / 4] - 'a' + 10;
      bits[i / 4] = "0123456789abcdef"[digit | (1 << (i % 4))];
    }
  }
  return bits;
}

void SetDoneBits(const std::string& bits, Step* step) {
  for (std::size_t i = 0; i < step->tasks.size() && i / 4 < bits.size(); ++i) {
    const char c = bits[i / 4];
    const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
    if ((digit >> (i % 4)) & 1) {
      step->tasks[i].done = true;
      ++step->done;
    }
  }
}

void AppendAttempts(const std::vector<Attempt>& attempts, Json::Value* row) {
  for (const Attempt attempt : attempts) {
    row->append(static_cast<Json::UInt64>(attempt.value()));
  }
}

// What the second number of each pair says about the attempt in the first one.
constexpr unsigned kSharedCrash = 0;
constexpr unsigned kSoleCrash = 1;
// Earlier versions also wrote announced starts here, as greater numbers. Where
// these happened can't be told from them, so they are ignored.
constexpr unsigned kLastCrashKind = kSoleCrash;

unsigned KindOf(CrashBlame blame) {
  return blame == CrashBlame::kSole ? kSoleCrash : kSharedCrash;
}

CrashBlame BlameOf(Json::UInt64 kind) {
  return kind == kSoleCrash ? CrashBlame::kSole : CrashBlame::kShared;
}

void AppendCrashes(const CrashHistory& history, Json::Value* row) {
  for (const CrashHistory::Crash& crash : history.crashes()) {
    row->append(static_cast<Json::UInt64>(crash.attempt.value()));
    row->append(KindOf(crash.blame));
  }
}

// Reads what AppendCrashes wrote, from position `from` of an array of whole
// numbers. The same holds for the other functions below.
void ReadCrashes(const Json::Value& row, Json::ArrayIndex from,
                 CrashHistory* history) {
  for (Json::ArrayIndex i = from; i + 1 < row.size(); i += 2) {
    const Json::UInt64 kind = row[i + 1].asUInt64();
    if (kind <= kLastCrashKind) {
      history->Add(Attempt(row[i].asUInt64()), BlameOf(kind));
    }
  }
}

// How many numbers name an incarnation, and a loss.
constexpr Json::ArrayIndex kNumbersOfIncarnation = 3;
constexpr Json::ArrayIndex kNumbersOfLoss = 2 + kNumbersOfIncarnation;

void AppendIncarnation(const WorkerIncarnation& worker, Json::Value* row) {
  row->append(worker.id_hash);
  row->append(worker.address_hash);
  row->append(
      static_cast<Json::UInt64>(std::max<std::int64_t>(0, worker.born_ms)));
}

WorkerIncarnation ReadIncarnation(const Json::Value& row,
                                  Json::ArrayIndex from) {
  return {static_cast<std::uint32_t>(row[from].asUInt64()),
          static_cast<std::uint32_t>(row[from + 1].asUInt64()),
          static_cast<std::int64_t>(row[from + 2].asUInt64())};
}

void AppendLosses(const CrashHistory& history, Json::Value* row) {
  for (const CrashHistory::Loss& loss : history.losses()) {
    row->append(static_cast<Json::UInt64>(loss.attempt.value()));
    row->append(KindOf(loss.blame));
    AppendIncarnation(loss.worker, row);
  }
}

void ReadLosses(const Json::Value& row, Json::ArrayIndex from,
                CrashHistory* history) {
  for (Json::ArrayIndex i = from; i + kNumbersOfLoss <= row.size();
       i += kNumbersOfLoss) {
    history->AddLoss({Attempt(row[i].asUInt64()), ReadIncarnation(row, i + 2),
                      BlameOf(row[i + 1].asUInt64())});
  }
}

void AppendAnnouncement(const CrashHistory& history, Json::Value* row) {
  row->append(static_cast<Json::UInt64>(history.announced_start()->value()));
  row->append(history.is_start_confirmed() ? 1U : 0U);
  for (const WorkerIncarnation& worker : history.announced_workers()) {
    AppendIncarnation(worker, row);
  }
}

void ReadAnnouncement(const Json::Value& row, Json::ArrayIndex from,
                      CrashHistory* history) {
  if (row.size() < from + 2) {
    return;
  }
  const Attempt attempt(row[from].asUInt64());
  std::vector<WorkerIncarnation> workers;
  for (Json::ArrayIndex i = from + 2; i + kNumbersOfIncarnation <= row.size();
       i += kNumbersOfIncarnation) {
    workers.push_back(ReadIncarnation(row, i));
  }
  history->AnnounceStart(attempt, std::move(workers));
  if (row[from + 1].asUInt64() != 0) {
    history->ConfirmStart(attempt);
  }
}

Json::Value ProgressOfStep(const Step& step, ProgressDetail detail) {
  const bool names_crashes = detail == ProgressDetail::kAll;
  Json::Value value(Json::objectValue);
  if (step.done > 0) {
    value["done"] = DoneBits(step);
  }
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    if (!task.failed_attempts.empty() && !task.done) {
      Json::Value row(Json::arrayValue);
      row.append(static_cast<Json::UInt64>(i));
      AppendAttempts(task.failed_attempts, &row);
      value["failed"].append(std::move(row));
    }
    if (!names_crashes || task.done) {
      continue;
    }
    const auto append = [&](const char* name, bool is_empty, auto append_to) {
      if (!is_empty) {
        Json::Value row(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(i));
        append_to(task.crashes, &row);
        value[name].append(std::move(row));
      }
    };
    append("crashed", task.crashes.crashes().empty(), AppendCrashes);
    append("lost", task.crashes.losses().empty(), AppendLosses);
    append("announced", !task.crashes.announced_start(), AppendAnnouncement);
  }
  if (names_crashes && !step.gang_crashes.crashes().empty()) {
    AppendCrashes(step.gang_crashes, &value["gang_crashed"]);
  }
  if (names_crashes && !step.gang_crashes.losses().empty()) {
    AppendLosses(step.gang_crashes, &value["gang_lost"]);
  }
  if (names_crashes && step.gang_crashes.announced_start()) {
    AppendAnnouncement(step.gang_crashes, &value["gang_announced"]);
  }
  if (!step.failed_gang_attempts.empty()) {
    AppendAttempts(step.failed_gang_attempts, &value["gang_failed"]);
  }
  return value;
}

// Adds a number, which must be greater than all before, to an array of ranges
// [first, last].
void AppendToRanges(std::uint32_t number, Json::Value* ranges) {
  if (!ranges->empty()) {
    Json::Value& last = (*ranges)[ranges->size() - 1][1];
    if (last.asUInt() + 1 == number) {
      last = number;
      return;
    }
  }
  Json::Value range(Json::arrayValue);
  range.append(number);
  range.append(number);
  ranges->append(std::move(range));
}

bool IsArrayOfUnsigned(const Json::Value& row) {
  return row.isArray() &&
         std::all_of(row.begin(), row.end(), [](const Json::Value& number) {
           return number.isUInt64();
         });
}

// Reads rows that begin with the index of a task. Returns false if a row is
// malformed.
template <typename ReadRow>
bool ReadTaskRows(const Json::Value& rows, Step* step, ReadRow read_row) {
  for (const Json::Value& row : rows) {
    if (!IsArrayOfUnsigned(row) || row.empty() ||
        row[0].asUInt64() >= step->tasks.size()) {
      return false;
    }
    read_row(row, &step->tasks[row[0].asUInt64()]);
  }
  return true;
}

void ReadStepProgress(const Json::Value& value, ObjectReader* reader,
                      Step* step) {
  if (!value.isObject()) {
    reader->SetError(FailureCode::kWrongType, "steps: expected objects");
    return;
  }
  const Json::Value& done = value["done"];
  if (done.isString()) {
    SetDoneBits(done.asString(), step);
  }
  const bool is_readable =
      ReadTaskRows(value["failed"], step,
                   [](const Json::Value& row, Task* task) {
                     for (Json::ArrayIndex i = 1; i < row.size(); ++i) {
                       task->failed_attempts.emplace_back(row[i].asUInt64());
                     }
                   }) &&
      ReadTaskRows(value["crashed"], step,
                   [](const Json::Value& row, Task* task) {
                     ReadCrashes(row, 1, &task->crashes);
                   }) &&
      ReadTaskRows(value["lost"], step,
                   [](const Json::Value& row, Task* task) {
                     ReadLosses(row, 1, &task->crashes);
                   }) &&
      ReadTaskRows(value["announced"], step,
                   [](const Json::Value& row, Task* task) {
                     ReadAnnouncement(row, 1, &task->crashes);
                   });
  if (!is_readable) {
    reader->SetError(FailureCode::kMalformed,
                     "failed, crashed, lost, announced: expected rows that "
                     "begin with an index");
    return;
  }
  const auto read_gang = [&](const char* name, auto read) {
    if (const Json::Value& row = value[name]; IsArrayOfUnsigned(row)) {
      read(row, 0, &step->gang_crashes);
    }
  };
  read_gang("gang_crashed", ReadCrashes);
  read_gang("gang_lost", ReadLosses);
  read_gang("gang_announced", ReadAnnouncement);
  const Json::Value& gangs = value["gang_failed"];
  if (IsArrayOfUnsigned(gangs)) {
    for (const Json::Value& attempt : gangs) {
      step->failed_gang_attempts.emplace_back(attempt.asUInt64());
    }
  }
}

Json::Value RulesToJson(const desired::Queue& rules) {
  Json::Value value(Json::objectValue);
  value["service"] = rules.service.value();
  // The configuration limits neither, and readers take a number that is out of
  // range for 0, which would be the most urgent priority and no attempt.
  value["priority"] = static_cast<Json::Int64>(
      std::clamp<std::int64_t>(rules.priority, 0, kMaxPriority));
  value["attempts"] = static_cast<Json::Int64>(
      std::min<std::int64_t>(rules.max_attempts, kMaxAttempts));
  value["slack"] = rules.slack_factor;
  value["target_ms"] = Milliseconds(rules.completion_target);
  if (rules.advice) {
    value["decision_us"] = static_cast<Json::Int64>(
        rules.advice->decision / std::chrono::microseconds(1));
    value["per_worker_us"] = static_cast<Json::Int64>(
        rules.advice->per_worker / std::chrono::microseconds(1));
    value["valid_ms"] = Milliseconds(rules.advice->ticket_validity);
  }
  return value;
}

desired::Queue RulesFromJson(const Json::Value& value, Failure* reason) {
  ObjectReader reader(value, reason);
  desired::Queue rules;
  rules.service = base::ServiceId(reader.Text("service"));
  rules.priority = static_cast<int>(reader.Number("priority", kMaxPriority));
  rules.max_attempts =
      static_cast<std::uint32_t>(reader.Number("attempts", kMaxAttempts));
  rules.slack_factor =
      value["slack"].isNumeric() ? value["slack"].asDouble() : 1.0;
  rules.completion_target =
      std::chrono::milliseconds(reader.Number("target_ms", kMaxNumber / 1000));
  if (value["decision_us"].isNumeric()) {
    rules.advice = desired::AdvicePolicy{
        std::chrono::microseconds(reader.Number("decision_us", kMaxNumber)),
        std::chrono::microseconds(reader.Number("per_worker_us", kMaxNumber)),
        std::chrono::milliseconds(
            reader.Number("valid_ms", kMaxNumber / 1000))};
  }
  return rules;
}

}  // namespace

std::optional<JobState> ParseJobState(const std::string& name) {
  const auto* it =
      std::find_if(kAllStates.begin(), kAllStates.end(),
                   [&name](JobState state) { return name == ToString(state); });
  return it == kAllStates.end() ? std::nullopt : std::optional(*it);
}

Json::Value ToJson(const JobSpec& spec) {
  Json::Value value(Json::objectValue);
  value["payload"] = spec.payload;
  value["steps"] = Json::Value(Json::arrayValue);
  for (const StepSpec& step : spec.steps) {
    value["steps"].append(StepToJson(step));
  }
  PutUnlessDefault(&value, "repeat", spec.repeat_count);
  PutUnlessDefault(&value, "start_ms",
                   static_cast<Json::Int64>(spec.start_at_ms));
  PutUnlessDefault(&value, "interval_ms",
                   static_cast<Json::Int64>(spec.interval_ms));
  return value;
}

std::optional<JobSpec> JobSpecFromJson(const Json::Value& value,
                                       Failure* reason) {
  ObjectReader reader(value, reason);
  JobSpec spec;
  spec.payload = reader.Text("payload");
  for (const Json::Value& step : reader.List("steps")) {
    ObjectReader step_reader(step, reason);
    spec.steps.push_back(StepFromJson(&step_reader, spec.steps.size()));
    if (!step_reader.ok()) {
      return std::nullopt;
    }
  }
  spec.repeat_count =
      static_cast<std::uint32_t>(reader.Number("repeat", kMaxRepeats));
  spec.start_at_ms = reader.Number("start_ms", kMaxNumber);
  spec.interval_ms = reader.Number("interval_ms", kMaxNumber);
  if (spec.steps.empty()) {
    reader.SetError(FailureCode::kMissingField, "steps: expected one or more");
  }
  return reader.ok() ? std::optional(std::move(spec)) : std::nullopt;
}

std::string AcceptanceRecord(const Job& job) {
  Json::Value value = ToJson(job.spec);
  value["queue"] = job.queue.value();
  value["organisation"] = job.organisation.value();
  value["rules"] = RulesToJson(job.rules);
  value["accepted_ms"] = static_cast<Json::Int64>(
      Milliseconds(job.accepted_on_store - StoreTime()));
  value["newest_born_ms"] = static_cast<Json::Int64>(job.newest_born_ms);
  return WriteJson(value);
}

std::string ProgressRecord(const Job& job, ProgressDetail detail) {
  Json::Value value(Json::objectValue);
  value["state"] = ToString(job.ShownState());
  if (IsFinal(job.state)) {
    return WriteJson(value);
  }
  value["begun"] = job.occurrences_begun;
  const bool has_ranges = job.occurrences.size() > kMaxListedOccurrences;
  for (const auto& [number, occurrence] : job.occurrences) {
    Json::Value entry(Json::objectValue);
    entry["k"] = number;
    bool has_progress = false;
    for (const Step& step : occurrence.steps) {
      Json::Value progress = ProgressOfStep(step, detail);
      has_progress |= !progress.empty();
      entry["steps"].append(std::move(progress));
    }
    if (has_ranges && !has_progress) {
      AppendToRanges(number, &value["untouched"]);
    } else {
      value["occurrences"].append(std::move(entry));
    }
  }
  return WriteJson(value);
}

std::optional<Job> ReadAcceptance(JobKey key, const std::string& record,
                                  Failure* reason) {
  const auto value = ReadJson(record, reason);
  if (!value) {
    return std::nullopt;
  }
  auto spec = JobSpecFromJson(*value, reason);
  if (!spec) {
    return std::nullopt;
  }
  ObjectReader reader(*value, reason);
  Job job;
  job.key = key;
  job.spec = std::move(*spec);
  job.queue = desired::QueueId(reader.Text("queue"));
  job.organisation = base::OrganisationId(reader.Text("organisation"));
  job.rules = RulesFromJson((*value)["rules"], reason);
  job.rules.id = job.queue;
  job.accepted_on_store = StoreTime(
      std::chrono::milliseconds(reader.Number("accepted_ms", kMaxNumber)));
  job.newest_born_ms = reader.Number("newest_born_ms", kMaxNumber);
  if (!job.spec.is_scheduled()) {
    job.BeginOccurrence();
  }
  return reader.ok() ? std::optional(std::move(job)) : std::nullopt;
}

bool ReadProgress(const std::string& record, Job* job, Failure* reason) {
  const auto value = ReadJson(record, reason);
  if (!value || !value->isObject() || !(*value)["state"].isString()) {
    *reason = {FailureCode::kMalformed, "progress: expected a state"};
    return false;
  }
  const std::string name = (*value)["state"].asString();
  const auto state = ParseJobState(name);
  if (!state) {
    *reason = {FailureCode::kUnknownValue, "progress: unknown state " + name};
    return false;
  }
  Job updated = *job;
  updated.state = *state;
  updated.has_started = *state != JobState::kQueued;
  ObjectReader reader(*value, reason);
  const auto begun =
      static_cast<std::uint32_t>(reader.Number("begun", kMaxRepeats));
  updated.occurrences_begun = std::max(updated.occurrences_begun, begun);
  std::map<std::uint32_t, Occurrence> unfinished;
  for (const Json::Value& range : reader.List("untouched")) {
    if (!IsArrayOfUnsigned(range) || range.size() != 2 ||
        range[0].asUInt64() > range[1].asUInt64() ||
        range[1].asUInt64() >= updated.occurrences_begun) {
      *reason = {FailureCode::kMalformed,
                 "progress: expected ranges of begun occurrences"};
      return false;
    }
    for (Json::UInt64 i = range[0].asUInt64(); i <= range[1].asUInt64(); ++i) {
      unfinished.emplace(static_cast<std::uint32_t>(i),
                         updated.MakeOccurrence());
    }
  }
  for (const Json::Value& entry : reader.List("occurrences")) {
    ObjectReader fields(entry, reason);
    const auto number =
        static_cast<std::uint32_t>(fields.Number("k", kMaxRepeats));
    const Json::Value& steps = fields.List("steps");
    Occurrence occurrence = updated.MakeOccurrence();
    if (!fields.ok() || number >= updated.occurrences_begun ||
        steps.size() != occurrence.steps.size()) {
      *reason = {FailureCode::kMalformed,
                 "progress: expected each step of a begun occurrence"};
      return false;
    }
    for (Json::ArrayIndex i = 0; i < steps.size(); ++i) {
      ReadStepProgress(steps[i], &reader, &occurrence.steps[i]);
    }
    unfinished.insert_or_assign(number, std::move(occurrence));
  }
  updated.occurrences = std::move(unfinished);
  if (!reader.ok()) {
    return false;
  }
  *job = std::move(updated);
  return true;
}

}  // namespace dotterelbarrow::core::jobs
