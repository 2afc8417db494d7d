#include "soak/retry_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace mimosacart {

namespace {

using Time = RetryChecker::Time;

/// Number of entries of \p Times, which is sorted, in the window that ends at
/// \p End.
std::size_t countIn(const std::deque<Time> &Times, Time End,
                    std::chrono::seconds Window) {
  return static_cast<std::size_t>(
      std::upper_bound(Times.begin(), Times.end(), End) -
      std::upper_bound(Times.begin(), Times.end(), End - Window));
}

void dropUntil(std::deque<Time> &Times, Time Last) {
  while (!Times.empty() && Times.front() <= Last)
    Times.pop_front();
}

} // namespace

void RetryChecker::onRequest(Time Now, const std::string &Service) {
  std::deque<Time> &Requests = Services[Service].Requests;
  dropUntil(Requests, Now - 3 * Limits.Window);
  Requests.push_back(Now);
}

/// The requests of the window, of the one before it or of the one half a window
/// before it count, whichever has most.
double RetryChecker::limitAt(Time Now, const ServiceState &State) const {
  const std::size_t Most =
      std::max({countIn(State.Requests, Now, Limits.Window),
                countIn(State.Requests, Now - Limits.Window / 2, Limits.Window),
                countIn(State.Requests, Now - Limits.Window, Limits.Window)});
  return Limits.Share * static_cast<double>(Most) + Limits.Slack;
}

void RetryChecker::onArrival(Time Now, const std::string &Service,
                             const std::string &RequestId) {
  if (Arrived.insert(RequestId).second)
    return;
  ++RepeatCount;
  ServiceState &State = Services[Service];
  dropUntil(State.Repeats, Now - Limits.Window);
  State.Repeats.push_back(Now);
  const double Limit = limitAt(Now, State);
  const double Used = static_cast<double>(State.Repeats.size()) / Limit;
  if (Used <= State.MostUsed)
    return;
  State.MostUsed = Used;
  State.WorstRepeats = State.Repeats.size();
  State.WorstLimit = Limit;
}

std::vector<std::string> RetryChecker::findViolations() const {
  std::vector<std::string> Result;
  for (const auto &[Service, State] : Services)
    if (State.MostUsed > 1)
      Result.push_back(fmt::format("BUDGET: {} repeats reached {} in a window, "
                                   "{:.1f} are allowed",
                                   State.WorstRepeats, Service,
                                   State.WorstLimit));
  return Result;
}

double RetryChecker::mostUsed() const {
  double Result = 0;
  for (const auto &[Service, State] : Services)
    Result = std::max(Result, State.MostUsed);
  return Result;
}

} // namespace mimosacart
