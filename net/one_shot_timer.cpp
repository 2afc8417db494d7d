#include "net/one_shot_timer.h"

#include "net/asio.h"

namespace mimosacart {

OneShotTimer::OneShotTimer(asio::io_context &Context) : Timer(Context) {}

void OneShotTimer::start(Duration Delay, std::function<void()> OnExpiry) {
  Current = std::make_shared<const Arming>();
  Timer.expires_after(Delay);
  Timer.async_wait(
      [Weak = std::weak_ptr(Current),
       OnExpiry = std::move(OnExpiry)](const beast::error_code &Error) {
        if (!Error && !Weak.expired())
          OnExpiry();
      });
}

void OneShotTimer::cancel() {
  Current.reset();
  Timer.cancel();
}

} // namespace mimosacart
