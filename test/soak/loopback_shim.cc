// A library to preload into a daemon of the soak test, so that the calls of and
// to one host can be relayed and cut on loopback without privileges:
// - DOTTEREL_SHIM_LISTEN="PORT:OTHER" lets it listen on OTHER in place of PORT,
//   which it still announces. A relay listens on PORT.
// - DOTTEREL_SHIM_SOURCE="127.0.0.N" is the source address of its connections,
//   by which relays tell whose they are.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string_view>

namespace {

using Call = int (*)(int, const sockaddr*, socklen_t);

Call NextCall(const char* name) {
  return reinterpret_cast<Call>(dlsym(RTLD_NEXT, name));
}

std::string_view Setting(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string_view() : value;
}

in_port_t PortOf(std::string_view text) {
  std::uint16_t port = 0;
  std::from_chars(text.data(), text.data() + text.size(), port);
  return htons(port);
}

bool IsIpv4(const sockaddr* address, socklen_t size) {
  return size >= sizeof(sockaddr_in) && address->sa_family == AF_INET;
}

}  // namespace

extern "C" int bind(int socket, const sockaddr* address, socklen_t size) {
  static const Call next = NextCall("bind");
  const std::string_view ports = Setting("DOTTEREL_SHIM_LISTEN");
  const std::size_t colon = ports.find(':');
  if (!IsIpv4(address, size) || colon == std::string_view::npos) {
    return next(socket, address, size);
  }
  sockaddr_in shifted;
  std::memcpy(&shifted, address, sizeof(shifted));
  if (shifted.sin_port == PortOf(ports.substr(0, colon))) {
    shifted.sin_port = PortOf(ports.substr(colon + 1));
  }
  return next(socket, reinterpret_cast<const sockaddr*>(&shifted),
              sizeof(shifted));
}

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  static const Call next = NextCall("connect");
  static const Call next_bind = NextCall("bind");
  const std::string_view source = Setting("DOTTEREL_SHIM_SOURCE");
  if (IsIpv4(address, size) && !source.empty()) {
    // The port is chosen at the connect, so that ports don't run out.
    const int on = 1;
    setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    sockaddr_in from{};
    from.sin_family = AF_INET;
    inet_pton(AF_INET, source.data(), &from.sin_addr);
    // Fails if the socket is bound already, which keeps its address.
    next_bind(socket, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
  }
  return next(socket, address, size);
}
