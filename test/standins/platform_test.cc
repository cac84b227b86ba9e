// Tests of the stand-in platform's table, host list and faults.
#include <doctest/doctest.h>

#include "src/standins/platform/lagging_host_list.h"
#include "src/standins/platform/platform_fault.h"
#include "src/standins/platform/table_model.h"

namespace dotterelbarrow::standins {
namespace {

using base::RowVersion;
using core::TableStatus;
using std::chrono::seconds;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(since_start);
}

TEST_CASE("a transaction writes all rows or none") {
  TableModel table;
  core::TableTransaction create;
  create.conditions = {{"a", RowVersion(0)}};
  create.writes = {{"a", "1"}, {"b", "1"}};
  CHECK(table.Transact(create) == TableStatus::kCommitted);
  CHECK(table.Transact(create) == TableStatus::kConflict);

  SUBCASE("one condition that doesn't hold prevents every write") {
    core::TableTransaction half;
    half.conditions = {{"a", RowVersion(1)}, {"b", RowVersion(9)}};
    half.writes = {{"a", "2"}};
    CHECK(table.Transact(half) == TableStatus::kConflict);
    CHECK(table.Read({{}, "a", "", 10}).rows[0].value == "1");
  }
  SUBCASE("a deleted row is absent and its versions continue") {
    core::TableTransaction remove;
    remove.writes = {{"a", ""}};
    table.Transact(remove);
    CHECK(table.Read({{}, "a", "", 10}).rows.empty());
    CHECK(table.Transact(create) == TableStatus::kCommitted);
    CHECK(table.Read({{}, "a", "", 10}).rows[0].version == RowVersion(3));
  }
  SUBCASE("reads return rows by prefix, in order, in pages") {
    core::TableTransaction more;
    more.writes = {{"p/1", "x"}, {"p/2", "y"}, {"p/3", "z"}, {"q", "-"}};
    table.Transact(more);
    const core::TableRows first = table.Read({{}, "p/", "", 2});
    REQUIRE(first.rows.size() == 2);
    CHECK(first.more);
    const core::TableRows rest = table.Read({{}, "p/", "p/2", 2});
    REQUIRE(rest.rows.size() == 1);
    CHECK(rest.rows[0].key == "p/3");
    CHECK_FALSE(rest.more);
  }
}

TEST_CASE("the host list shows a change only after its lag") {
  LaggingHostList list(seconds(2));
  list.Replace({core::HostRecord()}, At(seconds(1)));
  CHECK(list.Shown(At(seconds(2))).empty());
  CHECK(list.Shown(At(seconds(3))).size() == 1);
}

TEST_CASE("a fault affects the ports it names until it ends") {
  PlatformFault fault;
  fault.mode = PlatformFaultMode::kDown;
  fault.until = At(seconds(5));
  fault.only_from = {7001};
  CHECK(fault.ModeFor(7001, At(seconds(4))) == PlatformFaultMode::kDown);
  CHECK(fault.ModeFor(7002, At(seconds(4))) == PlatformFaultMode::kNone);
  CHECK(fault.ModeFor(7001, At(seconds(5))) == PlatformFaultMode::kNone);
}

}  // namespace
}  // namespace dotterelbarrow::standins
