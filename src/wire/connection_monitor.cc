// Follows each connection's buffers with evbuffer callbacks, and closes
// connections by reporting a time-out to evhttp.
#include "src/wire/connection_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dotterelbarrow::wire {
namespace {

// The longest time between two checks of all connections. A shorter receive
// timeout shortens it.
constexpr base::Duration kMaxSweepPeriod = std::chrono::seconds(1);
// How much is read from a connection in one turn of the loop. Most requests are
// smaller. Parsing header lines takes long, and many connections may have input
// in the same turn, which delays everything else in the process.
constexpr std::size_t kMaxReadBytes = 2048;
// A request may take longer than the receive timeout if it arrives at this rate
// or faster, in bytes a second, since its body may be large.
constexpr std::int64_t kMinReceiveRate = std::int64_t{16} * 1024;
// What evhttp allocates for each line of a header beside its text.
constexpr std::size_t kHeaderLineBytes = 112;
// Input beyond a header of the greatest size, so that evhttp sees that a header
// is too long, and the framing of a body's chunks.
constexpr std::size_t kReadMargin = 4096;
constexpr std::size_t kReadLimitGrowth = 4;
// How many pieces of new input are searched for lines at a time.
constexpr int kMaxPieces = 8;

std::size_t LinesIn(evbuffer* buffer, std::size_t size) {
  evbuffer_ptr start{};
  if (evbuffer_ptr_set(buffer, &start, evbuffer_get_length(buffer) - size,
                       EVBUFFER_PTR_SET) != 0) {
    return 0;
  }
  std::array<evbuffer_iovec, kMaxPieces> pieces{};
  const int count =
      std::min(kMaxPieces, evbuffer_peek(buffer, static_cast<ev_ssize_t>(size),
                                         &start, pieces.data(), kMaxPieces));
  std::size_t lines = 0;
  for (int i = 0; i < count; ++i) {
    const evbuffer_iovec& piece = pieces.at(static_cast<std::size_t>(i));
    const char* text = static_cast<const char*>(piece.iov_base);
    lines +=
        static_cast<std::size_t>(std::count(text, text + piece.iov_len, '\n'));
  }
  return lines;
}

}  // namespace

ConnectionMonitor::ConnectionMonitor(const EventLoop& loop,
                                     const HttpServerOptions& options,
                                     std::function<void()> on_change)
    : loop_(loop),
      receive_timeout_(options.receive_timeout),
      max_connections_(options.max_connections),
      max_buffered_bytes_(options.max_buffered_bytes),
      max_header_bytes_(options.max_header_bytes),
      read_ahead_bytes_(options.max_header_bytes + kReadMargin),
      max_request_bytes_(options.max_header_bytes + options.max_body_bytes +
                         kReadMargin),
      on_change_(std::move(on_change)),
      follow_up_timer_(loop, [this] { FollowUp(); }),
      sweep_timer_(loop, std::min(kMaxSweepPeriod, options.receive_timeout),
                   [this] { Sweep(); }) {}

ConnectionMonitor::~ConnectionMonitor() {
  while (!connections_.empty()) {
    Remove(connections_.begin()->second.get());
  }
}

bufferevent* ConnectionMonitor::NewConnection() {
  if (is_full()) {
    for (const Phase phase :
         {Phase::kIdle, Phase::kReceiving, Phase::kSending}) {
      if (auto& candidates = in_phase_[Index(phase)]; !candidates.empty()) {
        Close(candidates.front(), LimitReason::kConnections);
        break;
      }
    }
  }
  bufferevent* bev =
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_incref(bev);
  bufferevent_set_max_single_read(bev, kMaxReadBytes);
  auto connection = std::make_unique<Connection>();
  connection->monitor = this;
  connection->bev = bev;
  connection->since = MonotonicNow();
  auto& idle = in_phase_[Index(Phase::kIdle)];
  connection->place = idle.insert(idle.end(), connection.get());
  evbuffer_add_cb(bufferevent_get_input(bev), &ConnectionMonitor::OnInput,
                  connection.get());
  evbuffer_add_cb(bufferevent_get_output(bev), &ConnectionMonitor::OnOutput,
                  connection.get());
  SetReadLimit(connection.get(), read_ahead_bytes_);
  connections_.insert_or_assign(bev, std::move(connection));
  accepted_.push_back(bev);
  follow_up_timer_.RunSoon();
  return bev;
}

bool ConnectionMonitor::HasRoom() const {
  return !is_full() ||
         in_phase_[Index(Phase::kHandling)].size() < connections_.size();
}

void ConnectionMonitor::CloseIdlest() {
  if (auto& idle = in_phase_[Index(Phase::kIdle)]; !idle.empty()) {
    Close(idle.front(), LimitReason::kConnections);
  }
}

std::size_t ConnectionMonitor::OnRequestComplete(bufferevent* connection) {
  Connection* found = Find(connection);
  if (found == nullptr) {
    return 0;
  }
  // What remains in the input belongs to further requests.
  const std::size_t remaining =
      found->input_bytes +
      kHeaderLineBytes *
          LinesIn(bufferevent_get_input(connection), found->input_bytes);
  const std::size_t request_bytes =
      found->request_bytes - std::min(found->request_bytes, remaining);
  found->request_bytes = 0;
  SetReadLimit(found, read_ahead_bytes_);
  SetPhase(found, Phase::kHandling);
  return request_bytes;
}

void ConnectionMonitor::OnReply(bufferevent* connection,
                                std::size_t request_bytes) {
  if (Connection* found = Find(connection)) {
    found->request_bytes = request_bytes;
    SetPhase(found, Phase::kSending);
  }
}

void ConnectionMonitor::OnReplySent(bufferevent* connection) {
  Connection* found = Find(connection);
  if (found == nullptr) {
    return;
  }
  found->request_bytes = 0;
  SetPhase(found, Phase::kIdle);
  if (found->input_bytes > 0) {
    Received(found, found->input_bytes);
  }
}

void ConnectionMonitor::OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                                void* connection) {
  auto* self = static_cast<Connection*>(connection);
  SetCloseCallback(self);
  self->input_bytes = evbuffer_get_length(buffer);
  const bool is_received =
      self->phase == Phase::kIdle || self->phase == Phase::kReceiving;
  if (info->n_added > 0 && is_received) {
    self->monitor->Received(self, info->n_added);
  } else {
    self->monitor->Charge(self);
  }
}

void ConnectionMonitor::OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                                 void* connection) {
  auto* self = static_cast<Connection*>(connection);
  self->output_bytes = evbuffer_get_length(buffer);
  if (info->n_deleted > 0 && self->phase == Phase::kSending) {
    self->monitor->SetPhase(self, Phase::kSending);
  } else {
    self->monitor->Charge(self);
  }
}

void ConnectionMonitor::OnClosed(evhttp_connection* /*evcon*/,
                                 void* connection) {
  auto* self = static_cast<Connection*>(connection);
  self->monitor->Remove(self);
}

void ConnectionMonitor::Remove(Connection* connection) {
  bufferevent* bev = connection->bev;
  evbuffer_remove_cb(bufferevent_get_input(bev), &ConnectionMonitor::OnInput,
                     connection);
  evbuffer_remove_cb(bufferevent_get_output(bev), &ConnectionMonitor::OnOutput,
                     connection);
  buffered_bytes_ -= connection->charged_bytes;
  in_phase_[Index(connection->phase)].erase(connection->place);
  connections_.erase(bev);
  bufferevent_decref(bev);
  follow_up_timer_.RunSoon();
}

void ConnectionMonitor::SetCloseCallback(Connection* connection) {
  if (connection->has_close_callback) {
    return;
  }
  connection->has_close_callback = true;
  // evhttp passes its connection to the callbacks of the bufferevent.
  void* evcon = nullptr;
  bufferevent_getcb(connection->bev, nullptr, nullptr, nullptr, &evcon);
  evhttp_connection_set_closecb(static_cast<evhttp_connection*>(evcon),
                                &ConnectionMonitor::OnClosed, connection);
}

void ConnectionMonitor::SetReadLimit(Connection* connection,
                                     std::size_t bytes) {
  if (connection->read_limit != bytes) {
    connection->read_limit = bytes;
    bufferevent_setwatermark(connection->bev, EV_READ, 0, bytes);
  }
}

void ConnectionMonitor::SetPhase(Connection* connection, Phase phase) {
  auto& list = in_phase_[Index(phase)];
  list.splice(list.end(), in_phase_[Index(connection->phase)],
              connection->place);
  connection->phase = phase;
  connection->since = MonotonicNow();
  Charge(connection);
  if (is_full()) {
    // There may be room now, or none left.
    follow_up_timer_.RunSoon();
  }
}

void ConnectionMonitor::Charge(Connection* connection) {
  const std::size_t input = connection->phase == Phase::kReceiving
                                ? 0  // Part of `request_bytes`.
                                : connection->input_bytes;
  const std::size_t bytes =
      input + connection->request_bytes + connection->output_bytes;
  buffered_bytes_ += bytes - connection->charged_bytes;
  connection->charged_bytes = bytes;
  if (buffered_bytes_ > max_buffered_bytes_) {
    follow_up_timer_.RunSoon();
  }
}

void ConnectionMonitor::Received(Connection* connection, std::size_t bytes) {
  if (connection->phase == Phase::kIdle) {
    connection->received_bytes = 0;
    SetPhase(connection, Phase::kReceiving);
  }
  if (connection->received_bytes < max_header_bytes_) {
    connection->request_bytes +=
        kHeaderLineBytes *
        LinesIn(bufferevent_get_input(connection->bev), bytes);
  }
  connection->request_bytes += bytes;
  connection->received_bytes += bytes;
  Charge(connection);
  if (buffered_bytes_ > max_buffered_bytes_ / 4 * 5) {
    // Many connections can receive something in the same turn, and parsing may
    // make much of it.
    RelieveMemory(connection);
  }
  if (connection->input_bytes >= connection->read_limit) {
    full_.push_back(connection->bev);
    follow_up_timer_.RunSoon();
  }
}

void ConnectionMonitor::Close(Connection* connection, LimitReason reason) {
  Count(reason);
  SetCloseCallback(connection);
  // evhttp frees the connection, which calls OnClosed.
  bufferevent_trigger_event(connection->bev, BEV_EVENT_TIMEOUT, 0);
}

void ConnectionMonitor::RelieveMemory(const Connection* spared) {
  if (buffered_bytes_ <= max_buffered_bytes_) {
    return;
  }
  // Closing those that hold little would help little. Of the others, those that
  // make progress are spared as long as possible.
  const std::size_t average = buffered_bytes_ / connections_.size();
  std::vector<Connection*> candidates;
  for (const Phase phase : {Phase::kReceiving, Phase::kSending}) {
    for (Connection* connection : in_phase_[Index(phase)]) {
      if (connection != spared && connection->charged_bytes >= average) {
        candidates.push_back(connection);
      }
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Connection* a, const Connection* b) {
              return a->since < b->since;
            });
  if (candidates.size() == 1 && spared == nullptr) {
    // A single reply may be larger than the limit.
    return;
  }
  const std::size_t target = max_buffered_bytes_ / 4 * 3;
  for (Connection* connection : candidates) {
    if (buffered_bytes_ <= target) {
      break;
    }
    Close(connection, LimitReason::kMemory);
  }
}

void ConnectionMonitor::RaiseReadLimits() {
  // Those of the previous call: by now evhttp has parsed what it could. If that
  // wasn't enough, a body is being received.
  for (bufferevent* bev :
       std::exchange(full_before_, std::exchange(full_, {}))) {
    Connection* connection = Find(bev);
    if (connection != nullptr && connection->phase == Phase::kReceiving &&
        connection->input_bytes >= connection->read_limit) {
      SetReadLimit(connection,
                   std::min(connection->read_limit * kReadLimitGrowth,
                            max_request_bytes_));
    }
  }
  if (!full_before_.empty()) {
    follow_up_timer_.RunSoon();
  }
}

void ConnectionMonitor::FollowUp() {
  for (bufferevent* bev : std::exchange(accepted_, {})) {
    if (Connection* connection = Find(bev)) {
      SetCloseCallback(connection);
    }
  }
  RelieveMemory(nullptr);
  RaiseReadLimits();
  on_change_();
}

void ConnectionMonitor::Sweep() {
  const base::TimePoint now = MonotonicNow();
  std::vector<Connection*> slow;
  for (Connection* connection : in_phase_[Index(Phase::kReceiving)]) {
    const base::Duration for_size =
        base::Duration(std::chrono::seconds(1)) *
        static_cast<std::int64_t>(connection->received_bytes) / kMinReceiveRate;
    if (now - connection->since >= receive_timeout_ + for_size) {
      slow.push_back(connection);
    }
  }
  for (Connection* connection : slow) {
    Close(connection, LimitReason::kSlowRequest);
  }
  on_change_();
}

ConnectionMonitor::Connection* ConnectionMonitor::Find(
    bufferevent* connection) const {
  const auto it = connections_.find(connection);
  return it == connections_.end() ? nullptr : it->second.get();
}

}  // namespace dotterelbarrow::wire
