#include "net/peer_transport.h"

#include "net/asio.h"

#include <unordered_map>
#include <zmq.hpp>

namespace mimosacart {

namespace {

/// Messages waiting for one connected peer.
constexpr int QueueLimit = 20'000;
/// Largest message taken from a peer: a request's body with room for headers.
constexpr std::int64_t MaxMessageBytes = std::int64_t(80) << 20;
/// How long the last messages may still be sent at the end of the process.
constexpr int LingerMs = 200;
constexpr int ReconnectMs = 50;
constexpr int MaxReconnectMs = 500;
/// Messages taken before other events of the loop get their turn.
constexpr unsigned ReceiveBatch = 256;

} // namespace

class PeerTransport::Impl {
public:
  Impl(asio::io_context &Io, ReceiveHook Received)
      : Io(Io), Received(std::move(Received)), Context(1),
        Inbound(Context, zmq::socket_type::pull), Readable(Io) {}

  ~Impl() {
    // The descriptor belongs to ZeroMQ, which closes it itself.
    if (Readable.is_open())
      Readable.release();
  }

  boost::outcome_v2::result<void, std::error_code>
  listen(const std::string &Address) {
    try {
      Inbound.set(zmq::sockopt::linger, 0);
      Inbound.set(zmq::sockopt::rcvhwm, QueueLimit);
      Inbound.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
      Inbound.bind("tcp://" + Address);
    } catch (const zmq::error_t &) {
      return NetError::BadAddress;
    }
    Readable.assign(Inbound.get(zmq::sockopt::fd));
    waitReadable();
    return boost::outcome_v2::success();
  }

  void send(const std::string &Address, std::string_view Bytes) {
    zmq::socket_t &Socket = outbound(Address);
    const auto Sent = Socket.send(zmq::buffer(Bytes.data(), Bytes.size()),
                                  zmq::send_flags::dontwait);
    if (!Sent) {
      ++Counters.MessagesNotSent;
      return;
    }
    ++Counters.MessagesSent;
    Counters.BytesSent += Bytes.size();
  }

  PeerTransportCounters Counters;

private:
  zmq::socket_t &outbound(const std::string &Address) {
    const auto Found = Outbound.find(Address);
    if (Found != Outbound.end())
      return Found->second;
    zmq::socket_t Socket(Context, zmq::socket_type::push);
    Socket.set(zmq::sockopt::linger, LingerMs);
    Socket.set(zmq::sockopt::sndhwm, QueueLimit);
    Socket.set(zmq::sockopt::immediate, true);
    Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
    Socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
    Socket.connect("tcp://" + Address);
    return Outbound.emplace(Address, std::move(Socket)).first->second;
  }

  /// ZeroMQ's descriptor only tells of changes, so every message is taken
  /// before waiting again.
  void waitReadable() {
    Readable.async_wait(asio::posix::stream_descriptor::wait_read,
                        [this](boost::system::error_code Error) {
                          if (!Error)
                            receive();
                        });
  }

  void receive() {
    for (unsigned Count = 0; Count < ReceiveBatch; ++Count) {
      zmq::message_t Message;
      if (!Inbound.recv(Message, zmq::recv_flags::dontwait)) {
        waitReadable();
        return;
      }
      ++Counters.MessagesReceived;
      Counters.BytesReceived += Message.size();
      Received({static_cast<const char *>(Message.data()), Message.size()});
    }
    asio::post(Io, [this] { receive(); });
  }

  asio::io_context &Io;
  const ReceiveHook Received;
  zmq::context_t Context;
  zmq::socket_t Inbound;
  std::unordered_map<std::string, zmq::socket_t> Outbound;
  asio::posix::stream_descriptor Readable;
};

PeerTransport::PeerTransport(asio::io_context &Context, ReceiveHook Received)
    : Hidden(std::make_unique<Impl>(Context, std::move(Received))) {}

PeerTransport::~PeerTransport() = default;

boost::outcome_v2::result<void, std::error_code>
PeerTransport::listen(const std::string &Address) {
  return Hidden->listen(Address);
}

void PeerTransport::send(const std::string &Address, std::string_view Bytes) {
  Hidden->send(Address, Bytes);
}

PeerTransportCounters PeerTransport::counters() const {
  return Hidden->Counters;
}

} // namespace mimosacart
