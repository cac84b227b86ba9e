// Tests of a job's timeline from the logs of two entry hosts.
#include "src/ctl/job_timeline.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::ctl {
namespace {

const LogText kEntry{
    "entry",
    "t=1005 event=submission_answered job=00ab answer=accepted\n"
    "not ours\n"
    "t=x event=placed step=00ab.0.0\n"
    "t=900 event=submission_answered job=00cd answer=refused\n"};
const LogText kOwner{"owner",
                     "t=950 event=load cores=1\n"
                     "12.5 owner t=1000 event=job_taken job=00ab queue=q\n"
                     "t=1100 event=load cores=760\n"
                     "t=1400 event=placed step=00ab.0.0 tasks=2\n"
                     "t=1500 event=load cores=2\n"
                     "t=2000 event=run_ended task=00ab.0.0.1 end=failed\n"};

TEST_CASE("a job's timeline") {
  const auto timeline = BuildTimeline("00ab", {kEntry, kOwner});
  SUBCASE("contains the lines of all logs, ordered by time") {
    REQUIRE(timeline.size() == 5);
    CHECK(timeline[0].text == "event=job_taken job=00ab queue=q");
    CHECK(timeline[1].source == "entry");
    CHECK(timeline[4].text == "event=run_ended task=00ab.0.0.1 end=failed");
  }
  SUBCASE("contains the load only while the job waited") {
    CHECK(timeline[2].text == "event=load cores=760");
  }
  SUBCASE("is printed with times relative to its first line") {
    const std::string text = ToText(timeline);
    CHECK(text.starts_with("+0 ms owner event=job_taken"));
    CHECK(text.find("+400 ms owner event=placed") != std::string::npos);
  }
  SUBCASE("of an unknown job is empty") {
    CHECK(BuildTimeline("ffff", {kEntry, kOwner}).empty());
    CHECK(ToText({}).empty());
  }
}

}  // namespace
}  // namespace dotterelbarrow::ctl
