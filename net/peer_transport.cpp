#include "net/peer_transport.h"

#include "net/asio.h"

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <zmq.hpp>

namespace mimosacart {

namespace {

/// Maximum number of messages queued per connection.
constexpr int QueueLimit = 20'000;
/// Largest message accepted from a peer: a request body plus its headers.
constexpr std::int64_t MaxMessageBytes = std::int64_t(80) << 20;
/// How long a closed socket may still send its queued messages.
constexpr int LingerMs = 200;
constexpr int ReconnectMs = 50;
constexpr int MaxReconnectMs = 500;
/// Messages received before other events of the loop are handled.
constexpr unsigned ReceiveBatch = 256;
/// How long messages wait for the first connection to a peer, and how often
/// sending them is retried.
constexpr auto FirstConnectTime = std::chrono::milliseconds(300);
constexpr auto FirstConnectRetry = std::chrono::milliseconds(5);
constexpr std::size_t MaxWaitingMessages = 32;
/// Sockets that were unused for this long are closed.
constexpr auto MaxUnused = std::chrono::seconds(60);
constexpr auto UnusedCheckInterval = std::chrono::seconds(10);

using SteadyTime = std::chrono::steady_clock::time_point;

/// The socket that sends to one peer.
struct OutboundPeer {
  zmq::socket_t Socket;
  SteadyTime OpenedAt;
  SteadyTime UsedAt;
  /// Messages that wait for the first connection, in sending order.
  std::deque<std::string> Waiting;
};

} // namespace

class PeerTransport::Impl {
public:
  Impl(asio::io_context &Io, ReceiveHook Received)
      : Io(Io), Received(std::move(Received)), Context(1),
        Inbound(Context, zmq::socket_type::pull), Readable(Io),
        WaitingRetry(Io) {}

  ~Impl() {
    // ZeroMQ owns the descriptor and closes it.
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
    const SteadyTime Now = std::chrono::steady_clock::now();
    closeUnused(Now);
    OutboundPeer &Peer = outbound(Address, Now);
    Peer.UsedAt = Now;
    if (Peer.Waiting.empty() && trySend(Peer, Bytes))
      return;
    const bool IsNew = Now - Peer.OpenedAt < FirstConnectTime;
    if (!IsNew || Peer.Waiting.size() >= MaxWaitingMessages) {
      ++Counters.MessagesNotSent;
      return;
    }
    Peer.Waiting.emplace_back(Bytes);
    scheduleWaiting();
  }

  PeerTransportCounters Counters;

private:
  bool trySend(OutboundPeer &Peer, std::string_view Bytes) {
    if (!Peer.Socket.send(zmq::buffer(Bytes.data(), Bytes.size()),
                          zmq::send_flags::dontwait))
      return false;
    ++Counters.MessagesSent;
    Counters.BytesSent += Bytes.size();
    return true;
  }

  void scheduleWaiting() {
    if (std::exchange(RetryScheduled, true))
      return;
    WaitingRetry.expires_after(FirstConnectRetry);
    WaitingRetry.async_wait([this](boost::system::error_code Error) {
      RetryScheduled = false;
      if (!Error)
        sendWaiting();
    });
  }

  void sendWaiting() {
    const SteadyTime Now = std::chrono::steady_clock::now();
    bool MessagesRemain = false;
    for (auto &[Address, Peer] : Outbound) {
      while (!Peer.Waiting.empty() && trySend(Peer, Peer.Waiting.front()))
        Peer.Waiting.pop_front();
      if (Now - Peer.OpenedAt >= FirstConnectTime) {
        Counters.MessagesNotSent += Peer.Waiting.size();
        Peer.Waiting.clear();
      }
      MessagesRemain = MessagesRemain || !Peer.Waiting.empty();
    }
    if (MessagesRemain)
      scheduleWaiting();
  }

  void closeUnused(SteadyTime Now) {
    if (Now < NextUnusedCheck)
      return;
    NextUnusedCheck = Now + UnusedCheckInterval;
    std::erase_if(Outbound, [Now](const auto &Entry) {
      return Now - Entry.second.UsedAt > MaxUnused;
    });
  }

  OutboundPeer &outbound(const std::string &Address, SteadyTime Now) {
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
    return Outbound
        .emplace(Address, OutboundPeer{std::move(Socket), Now, Now, {}})
        .first->second;
  }

  /// ZeroMQ's descriptor is edge-triggered, so all messages are received before
  /// waiting again.
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
  std::unordered_map<std::string, OutboundPeer> Outbound;
  asio::posix::stream_descriptor Readable;
  asio::steady_timer WaitingRetry;
  bool RetryScheduled = false;
  SteadyTime NextUnusedCheck{};
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
