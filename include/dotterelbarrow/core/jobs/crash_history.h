// How often workers have crashed under a task, or under the members of a gang,
// and what follows from it.
//
// A worker that crashes takes all its runs with it, so a single crash proves
// nothing against any of them. A task that may have caused one is a suspect: it
// is started again apart from other suspects. It is guilty once it was the only
// suspect of several crashes, and its job then fails, because each further
// start would cost another worker.
//
// Only a later incarnation of a worker proves that it has crashed. A worker
// that is merely silent may live on: its loss makes the task a suspect and
// counts for nothing, until it is proved to be a crash or the worker shows that
// it lives.
#ifndef DOTTERELBARROW_CORE_JOBS_CRASH_HISTORY_H_
#define DOTTERELBARROW_CORE_JOBS_CRASH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/jobs/worker_incarnation.h"

namespace dotterelbarrow::core::jobs {

// What the crash of a worker says about one of the runs that were lost with it.
enum class CrashBlame {
  kSole,    // No other run can have caused it.
  kShared,  // Other runs may have caused it.
  kFaint,   // It had run for some time, and no other run is known to be the
            // cause.
};

const char* ToString(CrashBlame blame);

class CrashHistory {
 public:
  struct Crash {
    Attempt attempt;
    CrashBlame blame = CrashBlame::kShared;
    friend bool operator==(const Crash&, const Crash&) = default;
  };
  // The loss of a worker with an attempt that may have caused it, of which
  // nobody knows whether it was a crash.
  struct Loss {
    Attempt attempt;
    WorkerIncarnation worker;
    // The blame if it was a crash.
    CrashBlame blame = CrashBlame::kShared;
    friend bool operator==(const Loss&, const Loss&) = default;
  };

  // Crashes with sole blame after which a task is guilty.
  static constexpr std::size_t kSoleCrashesOfTask = 2;
  // The same for gangs and long-running tasks: workers that crash by themselves
  // hit these more often, since they have more workers or run for longer.
  static constexpr std::size_t kSoleCrashesOfGang = 3;
  // Crashes with sole or shared blame after which a task is guilty in any case.
  // The platform allows two starts after the third crash; one may go unnoticed
  // when the owner changes.
  static constexpr std::size_t kMaxCrashes = 4;
  // One less is enough if one of them was with sole blame.
  static constexpr std::size_t kMaxCrashesWithProof = 3;
  // Crashes after which a task is guilty if there is a precedent and the last
  // one was with sole blame.
  static constexpr std::size_t kCrashesWithPrecedent = 2;
  // Crashes with faint blame that make a task a suspect.
  static constexpr std::size_t kFaintCrashesOfSuspect = 2;
  // Losses that are remembered until it is known whether they were crashes.
  static constexpr std::size_t kMaxLosses = 8;

  // Records that a worker crashed with this attempt. Returns whether there is
  // something new to store. Faint blame is not stored.
  bool Add(Attempt attempt, CrashBlame blame);
  // Records that a worker was lost, which may live on. Returns whether there is
  // something new to store.
  bool AddLoss(const Loss& loss);
  // This incarnation has crashed: its losses count as crashes. Returns whether
  // there were any.
  bool ProveLosses(const WorkerIncarnation& worker);
  // This incarnation lived on after its loss. Returns whether it was one.
  bool DisproveLosses(const WorkerIncarnation& worker);
  // A worker lists the attempt, or its end, so that no crash ended it. Returns
  // whether one was recorded.
  bool DisproveCrash(Attempt attempt);
  // Announces the next start. `workers` are those on which it happens, as far
  // as they are known. It must be stored before the start: the worker may
  // crash, and then the owner change, before anyone has noticed.
  void AnnounceStart(Attempt attempt,
                     std::vector<WorkerIncarnation> workers = {});
  // The announced attempt has started: its worker confirmed it or listed it.
  // Returns whether there is something new to store.
  bool ConfirmStart(Attempt attempt);
  // The same for a gang, whose members were started on these workers.
  bool ConfirmStart(Attempt attempt, std::vector<WorkerIncarnation> workers);
  // The announced attempt has ended in a known way. Returns whether there is
  // something new to store.
  bool OnEnded(Attempt attempt);
  // The announced attempt was made by a previous owner and is nowhere to be
  // found, and its worker has crashed, so that it counts as a crash.
  // Precondition: it is confirmed. One that isn't may never have been sent.
  void CountMissingStart();
  std::optional<Attempt> announced_start() const {
    return announced_ ? std::optional(announced_->attempt) : std::nullopt;
  }
  // Whether a start is announced and confirmed.
  bool is_start_confirmed() const {
    return announced_ && announced_->is_confirmed;
  }
  // The workers on which the announced start happens, as far as they are known.
  std::vector<WorkerIncarnation> announced_workers() const {
    return announced_ ? announced_->workers : std::vector<WorkerIncarnation>();
  }

  // A run of the task has lived long enough to be no suspect any more. Losses
  // that aren't proved to be crashes are forgotten, and with `forget` its
  // crashes too.
  void OnSurvived(bool forget);

  // Whether the task must be started apart from other suspects.
  bool is_suspect() const;
  // Whether one more crash may prove it guilty, and some of its losses may yet
  // prove to be crashes.
  bool awaits_evidence() const {
    return !losses_.empty() &&
           crashes_.size() + losses_.size() + 1 >= kMaxCrashes;
  }
  // Whether it was the only suspect of a crash.
  bool is_sole_suspect() const { return Count(CrashBlame::kSole) > 0; }
  // Whether the task was lost several times with workers for which no run stood
  // out.
  bool was_lost_before() const {
    return faint_crashes_ >= kFaintCrashesOfSuspect;
  }
  // Whether the job must be given up, if this many crashes with sole blame
  // prove it. One is enough after another crash if other jobs of its queue were
  // proved to crash workers just now (`has_precedent`).
  bool IsGuilty(std::size_t sole_crashes, bool has_precedent) const;

  // The crashes and the losses to store.
  const std::vector<Crash>& crashes() const { return crashes_; }
  const std::vector<Loss>& losses() const { return losses_; }
  bool empty() const {
    return crashes_.empty() && losses_.empty() && !announced_;
  }

 private:
  struct AnnouncedStart {
    Attempt attempt;
    std::vector<WorkerIncarnation> workers;
    bool is_confirmed = false;
  };

  std::size_t Count(CrashBlame blame) const;

  // Invariant: each attempt at most once, none with faint blame.
  std::vector<Crash> crashes_;
  // Invariant: at most kMaxLosses, the latest ones; each pair at most once.
  std::vector<Loss> losses_;
  std::size_t faint_crashes_ = 0;
  std::optional<AnnouncedStart> announced_;
  // Whether a run has survived since the last crash or loss.
  bool has_survived_ = false;
};

}  // namespace dotterelbarrow::core::jobs

#endif  // DOTTERELBARROW_CORE_JOBS_CRASH_HISTORY_H_
