// A TCP socket with which a test can violate HTTP or leave a connection
// unanswered.
#ifndef DOTTERELBARROW_TEST_WIRE_RAW_SOCKET_H_
#define DOTTERELBARROW_TEST_WIRE_RAW_SOCKET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>

namespace dotterelbarrow::wire {

class RawSocket {
 public:
  RawSocket() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {}
  explicit RawSocket(int fd) : fd_(fd) { fcntl(fd_, F_SETFL, O_NONBLOCK); }
  ~RawSocket() { close(fd_); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  // Starts to connect to `port` on the loopback address, without blocking.
  void Connect(std::uint16_t port) {
    sockaddr_in address = Loopback(port);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  // Listens on a port that the kernel chooses, and returns the port. The kernel
  // establishes about `backlog` connections before Accept is called; further
  // ones stay unestablished.
  std::uint16_t Listen(int backlog = 16) {
    sockaddr_in address = Loopback(0);
    bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(fd_, backlog);
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    return ntohs(address.sin_port);
  }
  // Returns the descriptor of an established connection, or -1 if there is
  // none.
  int Accept() { return accept(fd_, nullptr, nullptr); }

  // Returns whether all of `text` was sent.
  bool Send(const std::string& text) {
    return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }
  // Returns how many bytes of `text` were sent.
  std::size_t SendSome(const std::string& text) {
    const ssize_t sent = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  // Appends the bytes that have arrived to received(). Returns whether the
  // other end has closed the connection.
  bool Receive() {
    char buffer[4096];
    ssize_t size = 0;
    while ((size = recv(fd_, buffer, sizeof(buffer), 0)) > 0) {
      received_.append(buffer, static_cast<std::size_t>(size));
    }
    return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  int fd() const { return fd_; }
  const std::string& received() const { return received_; }

 private:
  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  int fd_;
  std::string received_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_TEST_WIRE_RAW_SOCKET_H_
