// One entry host on the users' platform: takes callers' jobs, and owns all
// workers and jobs while the store says so.
//
//   EventLoop loop;
//   Member member(&loop, settings);
//   if (!member.Listen(&reason)) ...
//   loop.Run();
#ifndef DOTTERELBARROW_MEMBER_MEMBER_H_
#define DOTTERELBARROW_MEMBER_MEMBER_H_

#include <memory>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/settings_file.h"

namespace dotterelbarrow::member {

class Member {
 public:
  // `loop` must outlive this.
  Member(wire::EventLoop* loop, const platform::PlatformSettings& settings);
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  bool Listen(base::Failure* reason);
  // Takes no new connections, gives the cell up, answers what was taken, and
  // stops the loop.
  void BeginShutdown();
  // The settings file changed. What a running process can't take over is said
  // in the log and holds from its next start.
  void OnSettingsChanged(const platform::PlatformSettings& settings);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_MEMBER_MEMBER_H_
