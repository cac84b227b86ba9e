// Structured lines on standard output: "t=<unix ms> event=<name> key=value ..".
// Never blocks: what the reader doesn't take stays in a bounded buffer, and
// lines beyond it are counted and dropped.
#ifndef DOTTERELBARROW_SRC_MEMBER_LOG_WRITER_H_
#define DOTTERELBARROW_SRC_MEMBER_LOG_WRITER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::member {

class LogWriter : public core::scheduler::DecisionLog {
 public:
  // Writes to the file descriptor `fd`, which it makes non-blocking.
  LogWriter(const wire::EventLoop& loop, int fd);

  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override;
  // Hands over what the reader takes now.
  void Flush();
  std::uint64_t dropped_lines() const { return dropped_; }

 private:
  int fd_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
  wire::Timer flush_timer_;
  bool is_armed_ = false;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_LOG_WRITER_H_
