// Formats log lines and writes them in batches.
#include "src/member/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <variant>

#include "dotterelbarrow/base/overloaded.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

// Holds the lines of a few seconds at the highest load.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// Lines are batched because each write is a system call. This is the most by
// which batching delays a line.
constexpr base::Duration kFlushDelay = std::chrono::milliseconds(100);

// Appends `text`, in quotes if it is empty or contains spaces, quotes,
// backslashes or "=", so that a parser can split the line again. Replaces
// newlines by spaces.
void AppendText(const std::string& text, std::string* line) {
  if (!text.empty() && text.find_first_of(" \"\n\\=") == std::string::npos) {
    *line += text;
    return;
  }
  *line += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      *line += '\\';
    }
    *line += c == '\n' ? ' ' : c;
  }
  *line += '"';
}

// Returns how many bytes of `text` to write at once: as many whole lines as fit
// into PIPE_BUF, which a pipe accepts atomically, or else a single longer line.
std::size_t WholeLinesSize(std::string_view text) {
  if (text.size() <= PIPE_BUF) {
    return text.size();
  }
  const std::size_t last = text.rfind('\n', PIPE_BUF - 1);
  return last == std::string_view::npos ? text.find('\n') + 1 : last + 1;
}

}  // namespace

LogWriter::LogWriter(const wire::EventLoop& loop, int fd)
    : fd_(fd), flush_timer_(loop, [this] {
        is_flush_scheduled_ = false;
        Flush();
      }) {
  const int flags = fcntl(fd_, F_GETFL, 0);
  if (flags >= 0) {
    fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  }
}

void LogWriter::Write(std::string_view event,
                      std::initializer_list<core::scheduler::LogField> fields) {
  std::string line = "t=" + std::to_string(UnixMillis()) + " event=";
  line += event;
  for (const auto& [name, value] : fields) {
    line += ' ';
    line += name;
    line += '=';
    std::visit(
        base::Overloaded{
            [&line](std::int64_t number) { line += std::to_string(number); },
            [&line](const std::string& text) { AppendText(text, &line); }},
        value);
  }
  line += '\n';
  if (buffer_.size() + line.size() > kMaxBufferedBytes) {
    ++dropped_;
  } else {
    buffer_ += line;
  }
  if (!is_flush_scheduled_) {
    is_flush_scheduled_ = true;
    flush_timer_.StartOnce(kFlushDelay);
  }
}

void LogWriter::Flush() {
  std::size_t flushed = 0;
  while (flushed < buffer_.size()) {
    const std::size_t size =
        WholeLinesSize({buffer_.data() + flushed, buffer_.size() - flushed});
    const ssize_t written = write(fd_, buffer_.data() + flushed, size);
    if (written <= 0) {
      // The reader is slow or gone; the next flush retries.
      break;
    }
    flushed += static_cast<std::size_t>(written);
  }
  buffer_.erase(0, flushed);
  if (buffer_.empty() && dropped_ > dropped_logged_) {
    const auto dropped = static_cast<std::int64_t>(dropped_ - dropped_logged_);
    dropped_logged_ = dropped_;
    Write("log_lines_dropped", {{"lines", dropped}});
  }
}

}  // namespace dotterelbarrow::member
