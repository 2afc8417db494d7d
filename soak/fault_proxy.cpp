#include "soak/fault_proxy.h"

#include <boost/asio/write.hpp>

#include <array>
#include <poll.h>
#include <stdexcept>
#include <utility>

namespace mimosacart {

namespace {

/// Delay of each block of bytes under LinkFault::Delay.
constexpr auto DelayTime = std::chrono::milliseconds(150);

/// Closes the socket with a TCP reset.
void resetSocket(tcp::socket &Socket) {
  boost::system::error_code IgnoredError;
  Socket.set_option(asio::socket_base::linger(true, 0), IgnoredError);
  Socket.close(IgnoredError);
}

/// Whether the other end of \p Socket has reset the connection.
bool isReset(tcp::socket &Socket) {
  pollfd Query{Socket.native_handle(), 0, 0};
  return !Socket.is_open() ||
         (poll(&Query, 1, 0) > 0 && (Query.revents & POLLERR) != 0);
}

/// IP address that \p Socket is connected to; empty if it is not.
std::string sourceOf(const tcp::socket &Socket) {
  boost::system::error_code Error;
  const tcp::endpoint Remote = Socket.remote_endpoint(Error);
  return Error ? std::string() : Remote.address().to_string();
}

} // namespace

const char *toString(LinkFault Value) {
  switch (Value) {
  case LinkFault::None:
    return "none";
  case LinkFault::Delay:
    return "delay";
  case LinkFault::Reset:
    return "reset";
  case LinkFault::OneWay:
    return "one-way";
  case LinkFault::Silence:
    return "silence";
  }
  return "none";
}

/// An accepted client connection and the connection to the target.
class FaultProxy::ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
public:
  ProxiedConnection(FaultProxy &Owner, tcp::socket ClientSocket)
      : Fault(Owner.Fault), DrawCopyDelay(Owner.DrawCopyDelay),
        Context(Owner.Context), ClientSocket(std::move(ClientSocket)),
        TargetSocket(Owner.Context), Source(sourceOf(this->ClientSocket)),
        IsCut(Owner.Cuts.contains(Source)), OpenedInCut(IsCut) {}

  const std::string &source() const { return Source; }

  void setCut(bool NewCut) {
    IsCut = NewCut;
    if (IsCut)
      return;
    const auto KeptUntilReturn = std::exchange(Held, nullptr);
    if (OpenedInCut || isReset(ClientSocket) || isReset(TargetSocket)) {
      resetBoth();
      return;
    }
    for (const auto &Resume : std::exchange(HeldReads, {}))
      Resume();
  }

  void start(const tcp::endpoint &Target) {
    if (OpenedInCut) {
      discard();
      return;
    }
    TargetSocket.async_connect(Target, [Self = shared_from_this()](
                                           boost::system::error_code Error) {
      if (Error || Self->Fault == LinkFault::Reset) {
        Self->resetBoth();
        return;
      }
      Self->relay(Self->ClientSocket, Self->TargetSocket, Self->ToTarget,
                  false);
      Self->relay(Self->TargetSocket, Self->ClientSocket, Self->ToClient, true);
    });
  }

  void setFault(LinkFault NewFault) {
    // Dropped bytes cannot be recovered, so forwarding must not resume.
    MayHaveLostBytes = MayHaveLostBytes || NewFault == LinkFault::Silence ||
                       NewFault == LinkFault::OneWay;
    if (NewFault != LinkFault::None || !MayHaveLostBytes)
      Fault = NewFault;
    if (NewFault == LinkFault::Reset)
      resetBoth();
  }

private:
  using Bytes = std::array<char, 16384>;

  /// Reads from a client that can't reach the target until one of them ends.
  void discard() {
    ClientSocket.async_read_some(
        asio::buffer(ToTarget),
        [Self = shared_from_this()](boost::system::error_code Error,
                                    std::size_t) {
          if (Error)
            Self->resetBoth();
          else
            Self->discard();
        });
  }

  /// Frees the descriptors during a cut when the end at \p Socket has reset the
  /// connection.
  void dropWhenReset(tcp::socket &Socket) {
    Socket.async_wait(
        tcp::socket::wait_error,
        [Self = shared_from_this(), &Socket](boost::system::error_code Error) {
          if (Error || !Self->IsCut || !isReset(Socket))
            return;
          Self->resetBoth();
          Self->HeldReads.clear();
          Self->Held.reset();
        });
  }

  void resetBoth() {
    resetSocket(ClientSocket);
    resetSocket(TargetSocket);
  }

  bool dropsBytes(bool FromTarget) const {
    return Fault == LinkFault::Silence ||
           (Fault == LinkFault::OneWay && FromTarget);
  }

  void relay(tcp::socket &From, tcp::socket &To, Bytes &Buffer,
             bool FromTarget) {
    From.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this(), &From, &To, &Buffer,
         FromTarget](boost::system::error_code Error, std::size_t Count) {
          Self->onRead(From, To, Buffer, FromTarget, Error, Count);
        });
  }

  void onRead(tcp::socket &From, tcp::socket &To, Bytes &Buffer,
              bool FromTarget, boost::system::error_code Error,
              std::size_t Count) {
    if (IsCut) {
      HeldReads.push_back(
          [this, &From, &To, &Buffer, FromTarget, Error, Count] {
            onRead(From, To, Buffer, FromTarget, Error, Count);
          });
      // Keeps this object until the cut ends.
      Held = shared_from_this();
      dropWhenReset(From);
      return;
    }
    if (dropsBytes(FromTarget)) {
      // The end of the connection is not forwarded either.
      if (!Error)
        relay(From, To, Buffer, FromTarget);
      return;
    }
    if (Error) {
      boost::system::error_code IgnoredError;
      if (Error == asio::error::eof)
        To.shutdown(tcp::socket::shutdown_send, IgnoredError);
      else
        resetBoth();
      return;
    }
    if (Fault != LinkFault::Delay) {
      forward(From, To, Buffer, FromTarget, Count);
      return;
    }
    const auto Timer = std::make_shared<asio::steady_timer>(Context, DelayTime);
    Timer->async_wait([Self = shared_from_this(), Timer, &From, &To, &Buffer,
                       FromTarget, Count](boost::system::error_code) {
      Self->forward(From, To, Buffer, FromTarget, Count);
    });
  }

  void forward(tcp::socket &From, tcp::socket &To, Bytes &Buffer,
               bool FromTarget, std::size_t Count) {
    if (FromTarget) {
      IsForwarding = true;
      scheduleCopy({Buffer.data(), Count});
    }
    asio::async_write(
        To, asio::buffer(Buffer.data(), Count),
        [Self = shared_from_this(), &From, &To, &Buffer,
         FromTarget](boost::system::error_code Error, std::size_t) {
          if (FromTarget)
            Self->IsForwarding = false;
          if (Error)
            Self->resetBoth();
          else
            Self->relay(From, To, Buffer, FromTarget);
        });
  }

  void scheduleCopy(std::string_view Block) {
    const auto Delay = DrawCopyDelay ? DrawCopyDelay(Block) : std::nullopt;
    if (!Delay)
      return;
    const auto Timer = std::make_shared<asio::steady_timer>(Context, *Delay);
    Timer->async_wait([Self = shared_from_this(), Timer,
                       Copy = std::string(Block)](boost::system::error_code) {
      Self->writeCopy(Copy);
    });
  }

  /// Writes \p Copy at once, unless another block is being written.
  void writeCopy(const std::string &Copy) {
    if (IsForwarding || dropsBytes(true))
      return;
    boost::system::error_code IgnoredError;
    ClientSocket.write_some(asio::buffer(Copy), IgnoredError);
  }

  LinkFault Fault;
  const CopyHook DrawCopyDelay;
  /// A block from the target is being written.
  bool IsForwarding = false;
  bool MayHaveLostBytes = false;
  asio::io_context &Context;
  tcp::socket ClientSocket;
  tcp::socket TargetSocket;
  const std::string Source;
  bool IsCut;
  const bool OpenedInCut;
  std::vector<std::function<void()>> HeldReads;
  std::shared_ptr<ProxiedConnection> Held;
  Bytes ToTarget{};
  Bytes ToClient{};
};

FaultProxy::FaultProxy(asio::io_context &IoContext, std::string Target)
    : Context(IoContext), Target(std::move(Target)), Acceptor(IoContext) {}

bool FaultProxy::listen(const std::string &Address) {
  if (!listenOn(Acceptor, Address))
    return false;
  accept();
  return true;
}

void FaultProxy::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        // A proxy that accepts no more would look like a fault of the hosts.
        if (Error)
          throw std::runtime_error("cannot accept connections to " + Target +
                                   ": " + Error.message());
        if (Fault == LinkFault::Reset) {
          resetSocket(Socket);
        } else {
          const auto Connection =
              std::make_shared<ProxiedConnection>(*this, std::move(Socket));
          std::erase_if(Connections,
                        [](const auto &Entry) { return Entry.expired(); });
          Connections.push_back(Connection);
          Connection->start(*parseEndpoint(Target));
        }
        accept();
      });
}

void FaultProxy::cutOff(const std::string &Source) {
  ++Cuts[Source];
  updateCuts(Source);
}

void FaultProxy::reconnect(const std::string &Source) {
  const auto Found = Cuts.find(Source);
  if (Found != Cuts.end() && --Found->second == 0)
    Cuts.erase(Found);
  updateCuts(Source);
}

void FaultProxy::updateCuts(const std::string &Source) {
  for (const auto &Entry : Connections) {
    const auto Connection = Entry.lock();
    if (Connection && Connection->source() == Source)
      Connection->setCut(Cuts.contains(Source));
  }
}

void FaultProxy::setFault(LinkFault NewFault) {
  Fault = NewFault;
  for (const auto &Entry : Connections)
    if (const auto Connection = Entry.lock())
      Connection->setFault(NewFault);
}

} // namespace mimosacart
