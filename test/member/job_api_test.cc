// Tests what a host answers to callers while it refuses an organisation's jobs
// itself.
#include "src/member/job_api.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/wire/http_client.h"
#include "src/member/clock.h"
#include "test/core/scheduler/null_log.h"
#include "test/member/desired_stores.h"
#include "test/member/run_until.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kTestTimeout = seconds(20);
constexpr const char* kFirstJob = "0000000000000001";
constexpr const char* kSecondJob = "0000000000000002";
constexpr const char* kThirdJob = "0000000000000003";

// A host with one public queue; the test gives the owner's answers.
struct Host {
  Host() {
    store.Put(
        R"({"version": 1, "services": [{"name": "tasks"}], "routes": [)"
        R"({"name": "queue", "host": "127.0.0.1", "path_prefix": "/jobs/",)"
        R"( "service": "tasks", "public": true}]})");
    base::Failure reason;
    address = "127.0.0.1:" +
              std::to_string(server.Listen("127.0.0.1:0", &reason).value_or(0));
    REQUIRE(RunUntil([this] { return desired.current() != nullptr; }));
  }

  void OnOwnerCall(const OwnerCall& call, const OwnerReply& reply) {
    if (const auto* known = std::get_if<KnownCall>(&call)) {
      questions.push_back(*known);
      if (!owner_answers_questions) {
        reply(NoOwner{});
        return;
      }
      KnownAnswer answer;
      for (const core::jobs::JobKey key : known->jobs) {
        if (accepted.contains(core::jobs::ToString(key))) {
          answer.jobs.insert(key);
        }
      }
      reply(answer);
      return;
    }
    const std::string job =
        core::jobs::ToString(std::get<SubmitCall>(call).submission.key);
    submissions.push_back(job);
    if (accepted.contains(job)) {
      reply(Accepted{});
    } else {
      reply(Refused{"over_share", seconds(2), seconds(10)});
    }
  }
  // Begins to hand a job in; the status arrives in `statuses`.
  void Post(const std::string& job) {
    statuses[job] = 0;
    client.Call({.address = address,
                 .method = wire::HttpMethod::kPost,
                 .uri = "/jobs/" + job,
                 .body = R"({"spec": "s", "job_steps": [{"count": 1}]})",
                 .timeout = kTestTimeout},
                [this, job](const wire::HttpResult& result) {
                  statuses[job] = result.status;
                });
  }
  int StatusOf(const std::string& job) {
    RunUntil([&] { return statuses.at(job) != 0; });
    return statuses.at(job);
  }
  bool RunUntil(const std::function<bool()>& done) {
    return RunLoopUntil(&loop, done, kTestTimeout);
  }

  wire::EventLoop loop;
  core::scheduler::NullLog log;
  core::Counters counters;
  core::scheduler::Telemetry telemetry{&log, &counters, nullptr};
  FastStore store{loop};
  wire::HttpClient client{loop, {}};
  platform::StoreClient store_client{&client, store.address(), &counters};
  DesiredWatch desired{loop,
                       &store_client,
                       telemetry,
                       milliseconds(50),
                       [](const auto&) {},
                       [](const auto&) {}};
  wire::HttpServer server{loop, wire::HttpServerOptions()};
  std::string address;
  std::set<std::string> accepted;
  bool owner_answers_questions = true;
  std::vector<KnownCall> questions;
  std::vector<std::string> submissions;
  std::map<std::string, int> statuses;
  JobApi api{loop,
             &server,
             &desired,
             core::admission::Gate(seconds(10)),
             telemetry,
             [] { return core::admission::Reachability::kFull; },
             [this](const base::OrganisationId& /*organisation*/,
                    const OwnerCall& call,
                    const OwnerReply& reply) { OnOwnerCall(call, reply); }};
};

TEST_CASE("a host that refuses an organisation's jobs for a while") {
  Host host;
  host.Post(kFirstJob);
  REQUIRE(host.StatusOf(kFirstJob) == 503);
  REQUIRE(host.submissions.size() == 1);

  SUBCASE("refuses new jobs, which it doesn't forward") {
    host.Post(kSecondJob);
    host.Post(kThirdJob);
    CHECK(host.StatusOf(kSecondJob) == 503);
    CHECK(host.StatusOf(kThirdJob) == 503);
    CHECK(host.submissions.size() == 1);
    // One question about both: a pause protects the owner from many calls.
    CHECK(host.questions.size() == 1);
  }
  // Guards against a refusal of a job that is accepted, and so runs.
  SUBCASE("accepts a job that the owner knows from an earlier attempt") {
    host.accepted = {kSecondJob};
    host.Post(kSecondJob);
    host.Post(kThirdJob);
    CHECK(host.StatusOf(kSecondJob) == 200);
    CHECK(host.StatusOf(kThirdJob) == 503);
  }
  SUBCASE("lets the owner decide if it doesn't say which jobs it knows") {
    host.owner_answers_questions = false;
    host.accepted = {kSecondJob};
    host.Post(kSecondJob);
    CHECK(host.StatusOf(kSecondJob) == 200);
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
