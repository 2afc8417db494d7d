/// \file
/// A library that the soak preloads into host processes, so that its proxies
/// can tell them apart and carry their messages to each other.
///
/// Connections to loopback addresses come from the address in
/// `SOAK_SOURCE_ADDRESS`. Those to the port in `SOAK_PEER_PORT` go to the next
/// higher port of the same address, where the soak's proxy listens.
#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

constexpr std::uint32_t LoopbackNetwork = 127;
constexpr unsigned NetworkShift = 24;
constexpr int DecimalBase = 10;

using ConnectFunction = int (*)(int, const sockaddr *, socklen_t);

ConnectFunction findOriginal() {
  return reinterpret_cast<ConnectFunction>(dlsym(RTLD_NEXT, "connect"));
}

bool isLoopback(const sockaddr *Target, socklen_t Length) {
  if (Target == nullptr || Target->sa_family != AF_INET ||
      Length < sizeof(sockaddr_in))
    return false;
  sockaddr_in Address{};
  std::memcpy(&Address, Target, sizeof(Address));
  return ntohl(Address.sin_addr.s_addr) >> NetworkShift == LoopbackNetwork;
}

/// Returns false if the socket stays as it is, as one that has been bound does.
bool bindToSource(int Descriptor) {
  const char *Source = std::getenv("SOAK_SOURCE_ADDRESS");
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  if (Source == nullptr || inet_pton(AF_INET, Source, &Address.sin_addr) != 1)
    return false;
  const int Enabled = 1;
  setsockopt(Descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &Enabled,
             sizeof(Enabled));
  return bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0;
}

} // namespace

extern "C" int connect(int Descriptor, const sockaddr *Target,
                       socklen_t Length) {
  static const ConnectFunction Original = findOriginal();
  if (!isLoopback(Target, Length))
    return Original(Descriptor, Target, Length);
  static_cast<void>(bindToSource(Descriptor));
  sockaddr_in Address{};
  std::memcpy(&Address, Target, sizeof(Address));
  const char *PeerPort = std::getenv("SOAK_PEER_PORT");
  const std::uint16_t Port = ntohs(Address.sin_port);
  if (PeerPort != nullptr &&
      Port == std::strtol(PeerPort, nullptr, DecimalBase))
    Address.sin_port = htons(static_cast<std::uint16_t>(Port + 1));
  return Original(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address));
}
