// One entry host on the users' platform. It accepts jobs from callers, and
// manages the workers and jobs of a shard of the cell for as long as the store
// names it as its owner.
//
//   EventLoop loop;
//   Member member(&loop, settings);
//   if (!member.Listen(&reason)) ...
//   loop.Run();
#ifndef DOTTERELBARROW_MEMBER_MEMBER_H_
#define DOTTERELBARROW_MEMBER_MEMBER_H_

#include <memory>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/shards/shard_plan.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/settings_file.h"

namespace dotterelbarrow::member {

class Member {
 public:
  // `loop` must outlive this.
  Member(wire::EventLoop* loop, const platform::PlatformSettings& settings,
         const core::shards::ShardPlannerSettings& planner = {});
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Opens all listening sockets and starts to follow the owners. Returns
  // false and sets `reason` if an address can't be listened on.
  bool Listen(base::Failure* reason);
  // Starts a graceful shutdown: gives up ownership, stops accepting
  // connections once the platform has noticed that this host isn't ready,
  // answers the calls that it has accepted, and stops the loop. Returns at
  // once.
  void BeginShutdown();
  // Applies a changed settings file. A setting that a running process can't
  // change is reported in the log and takes effect at the next start.
  void OnSettingsChanged(const platform::PlatformSettings& settings);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_MEMBER_MEMBER_H_
