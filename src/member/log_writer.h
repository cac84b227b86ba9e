// Writes structured log lines to a file descriptor: "t=<unix ms> event=<name>
// key=value ..". Never blocks: lines that the reader of the descriptor hasn't
// consumed stay in a bounded buffer, and lines that don't fit are dropped and
// counted.
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
  // Writes to the file descriptor `fd`, and makes it non-blocking.
  LogWriter(const wire::EventLoop& loop, int fd);

  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override;
  // Writes as many buffered lines as the descriptor accepts now.
  void Flush();
  std::uint64_t dropped_lines() const { return dropped_; }

 private:
  int fd_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_logged_ = 0;
  wire::Timer flush_timer_;
  bool is_flush_scheduled_ = false;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_LOG_WRITER_H_
