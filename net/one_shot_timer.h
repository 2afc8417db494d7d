/// \file
/// A timer that can be started again and cancelled safely at any time.
#pragma once

#include "core/time.h"

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace mimosacart {

/// Calls a hook once after a delay. The hook belongs to the start() that it was
/// given to: after cancel(), another start() or the destruction of the timer it
/// is never called, even if the timer had expired before. An Asio timer, by
/// contrast, reports success to a handler that was queued before cancel().
class OneShotTimer {
public:
  explicit OneShotTimer(boost::asio::io_context &Context);

  /// Calls \p OnExpiry after \p Delay, in place of an earlier hook.
  void start(Duration Delay, std::function<void()> OnExpiry);
  void cancel();

private:
  /// Exists from start() on, until the hook must not be called any more.
  struct Arming {};

  boost::asio::steady_timer Timer;
  std::shared_ptr<const Arming> Current;
};

} // namespace mimosacart
