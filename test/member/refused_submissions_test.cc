// Hands jobs in through one host while the owner changes between two others,
// answers are lost and copies arrive late, and checks that no refused job is
// accepted. Runs in real time, over sockets.
#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/member/clock.h"
#include "src/member/owner_call_forwarder.h"
#include "test/core/scheduler/null_log.h"

namespace dotterelbarrow::member {
namespace {

using core::scheduler::FencingToken;
using std::chrono::milliseconds;
using std::chrono::seconds;

// More than a run needs.
constexpr base::Duration kTestTimeout = seconds(30);
constexpr std::uint64_t kJobs = 400;
constexpr base::Duration kJobPeriod = milliseconds(4);
// Several changes of owner fall into the time that a copy may be late.
constexpr base::Duration kMaxDelay = milliseconds(1500);
constexpr base::Duration kTermPeriod = milliseconds(60);

// The seeds to run: 1 to 2, or the one in the environment.
std::vector<std::uint64_t> Seeds() {
  const char* text = std::getenv("DOTTEREL_REFUSALS_SEED");
  return text == nullptr ? std::vector<std::uint64_t>{1, 2}
                         : std::vector<std::uint64_t>{std::stoull(text)};
}

// A host that is the owner at times. What it accepts is stored at once.
struct Owner {
  explicit Owner(const wire::EventLoop& loop)
      : http(loop, wire::HttpServerOptions()), rpc(&http, &counters) {
    base::Failure reason;
    address = "127.0.0.1:" +
              std::to_string(http.Listen("127.0.0.1:0", &reason).value_or(0));
  }
  core::Counters counters;
  wire::HttpServer http;
  RpcServer rpc;
  std::string address;
  // Not set while this host isn't the owner.
  std::optional<FencingToken> token;
};

class Cell {
 public:
  explicit Cell(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < 2; ++i) {
      owners_.push_back(std::make_unique<Owner>(loop_));
      Owner* owner = owners_.back().get();
      owner->rpc.Bind(kSubmit, [this, owner](const Json::Value& params,
                                             const RpcServer::Reply& reply) {
        OnCopy(owner, params, reply);
      });
    }
    ChangeOwner();
  }

  // Hands all jobs in, and waits for all answers and late copies.
  void Run() {
    const base::TimePoint begun = wire::MonotonicNow();
    is_done_ = false;
    loop_.RunUntil([&] {
      is_done_ = submitted_ == kJobs && answers_.size() == kJobs &&
                 copies_under_way_ == 0;
      return is_done_ || wire::MonotonicNow() - begun > kTestTimeout;
    });
  }
  bool is_done() const { return is_done_; }
  const std::map<std::uint64_t, OwnerAnswer>& answers() const {
    return answers_;
  }
  bool IsStored(std::uint64_t job) const {
    return stored_.contains(core::jobs::ToString(core::jobs::JobKey(job)));
  }

 private:
  bool Draw(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }

  void ChangeOwner() {
    if (Draw(0.5) || token_ == FencingToken()) {
      token_ = FencingToken(token_.value() + 1);
      owners_[owner_]->token.reset();
      owner_ = Draw(0.7) ? 1 - owner_ : owner_;
      owners_[owner_]->token = token_;
    }
  }

  void OnCopy(Owner* owner, const Json::Value& params,
              const RpcServer::Reply& reply) {
    if (Draw(0.4)) {
      reply(ToJson(Handle(owner, params)));
      return;
    }
    // The answer is lost, and the copy may be late too.
    reply(Json::Value(Json::objectValue));
    if (Draw(0.5)) {
      Handle(owner, params);
      return;
    }
    ++copies_under_way_;
    late_copies_.push_back(
        std::make_unique<wire::Timer>(loop_, [this, owner, params] {
          --copies_under_way_;
          Handle(owner, params);
        }));
    late_copies_.back()->StartOnce(
        kMaxDelay * std::uniform_int_distribution(1, 100)(random_) / 100);
  }

  OwnerAnswer Handle(Owner* owner, const Json::Value& params) {
    if (!owner->token || !IsForOwner(params, *owner->token)) {
      return NoOwner{};
    }
    const std::string job = params["job"].asString();
    if (!stored_.contains(job) && Draw(0.6)) {
      return Refused{"store_away", seconds(1)};
    }
    stored_.insert(job);
    return Accepted{};
  }

  void Submit() {
    if (submitted_ == kJobs) {
      return;
    }
    SubmitCall call;
    call.submission.key = core::jobs::JobKey(++submitted_);
    forwarder_.Call(call, [this, job = submitted_](const OwnerAnswer& answer) {
      answers_.emplace(job, answer);
    });
  }

  std::mt19937_64 random_;
  wire::EventLoop loop_;
  core::Counters counters_;
  core::scheduler::NullLog log_;
  std::vector<std::unique_ptr<Owner>> owners_;
  std::size_t owner_ = 0;
  FencingToken token_{};
  std::set<std::string> stored_;
  std::map<std::uint64_t, OwnerAnswer> answers_;
  std::uint64_t submitted_ = 0;
  int copies_under_way_ = 0;
  bool is_done_ = false;
  std::vector<std::unique_ptr<wire::Timer>> late_copies_;
  wire::HttpClient http_{loop_, wire::HttpClientOptions()};
  RpcClient rpc_{&http_, &counters_};
  OwnerCallForwarder forwarder_{
      loop_,
      &rpc_,
      {&log_, &counters_},
      [this] {
        return std::optional(
            OwnerRoute{token_, owners_[owner_]->address, true});
      },
      [](const OwnerCall& /*call*/, const OwnerReply& /*reply*/) {},
      [] { return false; },
      [](const std::string& /*record*/) {},
      [](Json::Value* /*params*/) {}};
  wire::PeriodicTimer submit_timer_{loop_, kJobPeriod, [this] { Submit(); }};
  wire::PeriodicTimer term_timer_{loop_, kTermPeriod,
                                  [this] { ChangeOwner(); }};
};

TEST_CASE("a refused submission is never accepted later") {
  for (const std::uint64_t seed : Seeds()) {
    CAPTURE(seed);
    Cell cell(seed);
    cell.Run();
    REQUIRE(cell.is_done());
    int accepted = 0;
    int refused = 0;
    std::vector<std::uint64_t> refused_and_stored;
    for (const auto& [job, answer] : cell.answers()) {
      const bool is_refused = std::holds_alternative<Refused>(answer) ||
                              std::holds_alternative<NoOwner>(answer);
      accepted += std::holds_alternative<Accepted>(answer) ? 1 : 0;
      refused += is_refused ? 1 : 0;
      if (is_refused && cell.IsStored(job)) {
        refused_and_stored.push_back(job);
      }
    }
    MESSAGE("seed " << seed << ": accepted " << accepted << ", refused "
                    << refused << ", refused and stored "
                    << refused_and_stored.size());
    CHECK(refused_and_stored.empty());
    CHECK(accepted > 0);
    CHECK(refused > 0);
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
