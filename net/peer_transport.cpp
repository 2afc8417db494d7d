#include "net/peer_transport.h"

#include "net/asio.h"
#include "net/one_shot_timer.h"

#include <cerrno>
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
/// How long a closed socket may still send its queued messages.
constexpr int LingerMs = 200;
/// Pauses between attempts to connect to a peer: the first and the longest.
constexpr int ReconnectMs = 50;
constexpr int MaxReconnectMs = 500;
/// Bounds of the messages received in a row before other events are handled.
/// Callers' events must not wait for a long burst of messages.
constexpr unsigned ReceiveBatch = 16;
constexpr auto MaxReceiveTime = std::chrono::milliseconds(2);
/// How long messages wait for the first connection to a peer, and how often
/// sending them is retried.
constexpr auto FirstConnectTime = std::chrono::milliseconds(300);
constexpr auto FirstConnectRetry = std::chrono::milliseconds(5);
/// Maximum number of messages that wait for the first connection to a peer.
constexpr std::size_t MaxWaitingMessages = 32;
/// Sockets that were unused for this long are closed.
constexpr auto MaxUnusedTime = std::chrono::seconds(60);
constexpr auto UnusedCheckInterval = std::chrono::seconds(10);

using SteadyTime = std::chrono::steady_clock::time_point;

/// The socket that sends to one peer.
struct OutboundPeer {
  zmq::socket_t Socket;
  SteadyTime OpenedAt;
  SteadyTime UsedAt;
  /// Messages that wait for the first connection, in sending order.
  std::deque<std::string> WaitingMessages;
};

} // namespace

class PeerTransport::Impl {
public:
  Impl(asio::io_context &Io, ReceiveHook HandleMessage,
       BadAddressHook ReportBadAddress, std::size_t MaxMessageBytes,
       const std::string &Source)
      : Io(Io), MaxMessageBytes(static_cast<std::int64_t>(MaxMessageBytes)),
        HandleMessage(std::move(HandleMessage)),
        ReportBadAddress(std::move(ReportBadAddress)),
        SourcePrefix(Source.empty() ? "" : Source + ":0;"), Context(1),
        Inbound(Context, zmq::socket_type::pull), Readable(Io), RetryTimer(Io) {
  }

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
    closeUnusedSockets(Now);
    OutboundPeer *Found = findOrConnect(Address, Now);
    if (Found == nullptr) {
      ++Counters.MessagesNotSent;
      return;
    }
    OutboundPeer &Peer = *Found;
    Peer.UsedAt = Now;
    if (Peer.WaitingMessages.empty() && trySend(Peer, Bytes))
      return;
    const bool IsNew = Now - Peer.OpenedAt < FirstConnectTime;
    if (!IsNew || Peer.WaitingMessages.size() >= MaxWaitingMessages) {
      ++Counters.MessagesNotSent;
      return;
    }
    Peer.WaitingMessages.emplace_back(Bytes);
    scheduleRetry();
  }

  PeerTransportCounters Counters;

private:
  bool trySend(OutboundPeer &Peer, std::string_view Bytes) {
    try {
      if (!Peer.Socket.send(zmq::buffer(Bytes.data(), Bytes.size()),
                            zmq::send_flags::dontwait))
        return false;
    } catch (const zmq::error_t &) {
      // For example interrupted by a signal.
      return false;
    }
    ++Counters.MessagesSent;
    Counters.BytesSent += Bytes.size();
    return true;
  }

  void scheduleRetry() {
    if (std::exchange(RetryScheduled, true))
      return;
    RetryTimer.start(FirstConnectRetry, [this] {
      RetryScheduled = false;
      sendWaitingMessages();
    });
  }

  void sendWaitingMessages() {
    const SteadyTime Now = std::chrono::steady_clock::now();
    bool MessagesRemain = false;
    for (auto &[Address, Peer] : Outbound) {
      while (!Peer.WaitingMessages.empty() &&
             trySend(Peer, Peer.WaitingMessages.front()))
        Peer.WaitingMessages.pop_front();
      if (Now - Peer.OpenedAt >= FirstConnectTime) {
        Counters.MessagesNotSent += Peer.WaitingMessages.size();
        Peer.WaitingMessages.clear();
      }
      MessagesRemain = MessagesRemain || !Peer.WaitingMessages.empty();
    }
    if (MessagesRemain)
      scheduleRetry();
  }

  void closeUnusedSockets(SteadyTime Now) {
    if (Now < NextUnusedCheck)
      return;
    NextUnusedCheck = Now + UnusedCheckInterval;
    std::erase_if(Outbound, [Now](const auto &Entry) {
      return Now - Entry.second.UsedAt > MaxUnusedTime;
    });
  }

  /// Returns null if \p Address cannot be used.
  OutboundPeer *findOrConnect(const std::string &Address, SteadyTime Now) {
    const auto Found = Outbound.find(Address);
    if (Found != Outbound.end())
      return &Found->second;
    // ZeroMQ would look up names and accepts addresses that cannot be reached.
    const auto Endpoint = parseEndpoint(Address);
    if (!Endpoint || Endpoint->port() == 0) {
      reportBadAddress(Address, "not an IP address and port");
      return nullptr;
    }
    try {
      return &Outbound
                  .emplace(Address,
                           OutboundPeer{connect(Address), Now, Now, {}})
                  .first->second;
    } catch (const zmq::error_t &Error) {
      reportBadAddress(Address, Error.what());
      return nullptr;
    }
  }

  void reportBadAddress(const std::string &Address, const std::string &Why) {
    if (ReportBadAddress)
      ReportBadAddress(Address, Why);
  }

  /// Throws zmq::error_t, for example if there are too many sockets.
  zmq::socket_t connect(const std::string &Address) {
    zmq::socket_t Socket(Context, zmq::socket_type::push);
    Socket.set(zmq::sockopt::linger, LingerMs);
    Socket.set(zmq::sockopt::sndhwm, QueueLimit);
    // Without a connection, sending fails at once instead of queueing.
    Socket.set(zmq::sockopt::immediate, true);
    Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
    Socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
    Socket.connect("tcp://" + SourcePrefix + Address);
    return Socket;
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

  bool tryReceive(zmq::message_t &Message) {
    for (;;) {
      try {
        return Inbound.recv(Message, zmq::recv_flags::dontwait).has_value();
      } catch (const zmq::error_t &Error) {
        if (Error.num() != EINTR)
          return false;
      }
    }
  }

  void receive() {
    const SteadyTime Start = std::chrono::steady_clock::now();
    for (unsigned Count = 0; Count < ReceiveBatch; ++Count) {
      const bool IsLate =
          std::chrono::steady_clock::now() - Start >= MaxReceiveTime;
      if (IsLate)
        break;
      zmq::message_t Message;
      if (!tryReceive(Message)) {
        waitReadable();
        return;
      }
      ++Counters.MessagesReceived;
      Counters.BytesReceived += Message.size();
      HandleMessage(
          {static_cast<const char *>(Message.data()), Message.size()});
    }
    asio::post(Io, [this] { receive(); });
  }

  asio::io_context &Io;
  const std::int64_t MaxMessageBytes;
  const ReceiveHook HandleMessage;
  const BadAddressHook ReportBadAddress;
  /// Part of ZeroMQ's addresses that names where connections come from.
  const std::string SourcePrefix;
  zmq::context_t Context;
  zmq::socket_t Inbound;
  std::unordered_map<std::string, OutboundPeer> Outbound;
  asio::posix::stream_descriptor Readable;
  OneShotTimer RetryTimer;
  bool RetryScheduled = false;
  SteadyTime NextUnusedCheck{};
};

PeerTransport::PeerTransport(asio::io_context &Context,
                             ReceiveHook HandleMessage,
                             BadAddressHook ReportBadAddress,
                             std::size_t MaxMessageBytes,
                             const std::string &Source)
    : Implementation(std::make_unique<Impl>(Context, std::move(HandleMessage),
                                            std::move(ReportBadAddress),
                                            MaxMessageBytes, Source)) {}

PeerTransport::~PeerTransport() = default;

boost::outcome_v2::result<void, std::error_code>
PeerTransport::listen(const std::string &Address) {
  return Implementation->listen(Address);
}

void PeerTransport::send(const std::string &Address, std::string_view Bytes) {
  Implementation->send(Address, Bytes);
}

PeerTransportCounters PeerTransport::counters() const {
  return Implementation->Counters;
}

} // namespace mimosacart
