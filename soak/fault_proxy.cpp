#include "soak/fault_proxy.h"

#include <boost/asio/write.hpp>

#include <array>

namespace mimosacart {

namespace {

constexpr auto DelayTime = std::chrono::milliseconds(150);

void reset(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
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

/// Both ends of one connection.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
public:
  Pair(FaultProxy &Owner, tcp::socket Near)
      : Fault(Owner.Fault), Context(Owner.Context), Near(std::move(Near)),
        Far(Owner.Context) {}

  void start(const tcp::endpoint &Target) {
    Far.async_connect(
        Target, [Self = shared_from_this()](boost::system::error_code Error) {
          if (Error || Self->Fault == LinkFault::Reset) {
            Self->resetBoth();
            return;
          }
          Self->pump(Self->Near, Self->Far, Self->ToFar, false);
          Self->pump(Self->Far, Self->Near, Self->ToNear, true);
        });
  }

  void setFault(LinkFault Next) {
    // What a silence swallowed is missing for good.
    Lost = Lost || Next == LinkFault::Silence || Next == LinkFault::OneWay;
    if (Next != LinkFault::None || !Lost)
      Fault = Next;
    if (Next == LinkFault::Reset)
      resetBoth();
  }

private:
  using Bytes = std::array<char, 16384>;

  void resetBoth() {
    reset(Near);
    reset(Far);
  }

  bool swallows(bool Back) const {
    return Fault == LinkFault::Silence || (Fault == LinkFault::OneWay && Back);
  }

  void pump(tcp::socket &From, tcp::socket &To, Bytes &Buffer, bool Back) {
    From.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this(), &From, &To, &Buffer,
         Back](boost::system::error_code Error, std::size_t Count) {
          Self->onRead(From, To, Buffer, Back, Error, Count);
        });
  }

  void onRead(tcp::socket &From, tcp::socket &To, Bytes &Buffer, bool Back,
              boost::system::error_code Error, std::size_t Count) {
    if (swallows(Back)) {
      // An end of the connection does not pass either.
      if (!Error)
        pump(From, To, Buffer, Back);
      return;
    }
    if (Error) {
      boost::system::error_code Ignored;
      if (Error == asio::error::eof)
        To.shutdown(tcp::socket::shutdown_send, Ignored);
      else
        resetBoth();
      return;
    }
    if (Fault != LinkFault::Delay) {
      write(From, To, Buffer, Back, Count);
      return;
    }
    const auto Timer = std::make_shared<asio::steady_timer>(Context, DelayTime);
    Timer->async_wait([Self = shared_from_this(), Timer, &From, &To, &Buffer,
                       Back, Count](boost::system::error_code) {
      Self->write(From, To, Buffer, Back, Count);
    });
  }

  void write(tcp::socket &From, tcp::socket &To, Bytes &Buffer, bool Back,
             std::size_t Count) {
    asio::async_write(To, asio::buffer(Buffer.data(), Count),
                      [Self = shared_from_this(), &From, &To, &Buffer,
                       Back](boost::system::error_code Error, std::size_t) {
                        if (Error)
                          Self->resetBoth();
                        else
                          Self->pump(From, To, Buffer, Back);
                      });
  }

  LinkFault Fault;
  bool Lost = false;
  asio::io_context &Context;
  tcp::socket Near;
  tcp::socket Far;
  Bytes ToFar{};
  Bytes ToNear{};
};

FaultProxy::FaultProxy(asio::io_context &Io, std::string Target)
    : Context(Io), Target(std::move(Target)), Acceptor(Io) {}

bool FaultProxy::listen(const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  boost::system::error_code Error;
  Acceptor.open(Endpoint->protocol(), Error);
  Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  Acceptor.bind(*Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    Acceptor.close();
    return false;
  }
  accept();
  return true;
}

void FaultProxy::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        if (Fault == LinkFault::Reset) {
          reset(Socket);
        } else {
          const auto Made = std::make_shared<Pair>(*this, std::move(Socket));
          std::erase_if(Pairs, [](const auto &Each) { return Each.expired(); });
          Pairs.push_back(Made);
          Made->start(*parseEndpoint(Target));
        }
        accept();
      });
}

void FaultProxy::setFault(LinkFault Next) {
  Fault = Next;
  for (const auto &Each : Pairs)
    if (const auto Open = Each.lock())
      Open->setFault(Next);
}

} // namespace mimosacart
