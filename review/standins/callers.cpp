#include "callers.h"

#include <set>

namespace review {

Callers::Callers(CallerSettings InitialSettings, Directory &Addresses,
                 Record &Lines)
    : Settings(std::move(InitialSettings)), Body(Settings.BodyBytes, 'x'),
      Addresses(Addresses), Lines(Lines) {
  for (unsigned Index = 0; Index < Settings.Clients; ++Index)
    Threads.emplace_back([this, Index] { run(Index); });
}

Callers::~Callers() { stop(); }

void Callers::stop() {
  Stopped = true;
  for (std::thread &Each : Threads)
    if (Each.joinable())
      Each.join();
}

std::vector<Cut> Callers::cuts() {
  const std::lock_guard Guard(Lock);
  return Cuts;
}

void Callers::run(unsigned Index) {
  std::mt19937 Random(Index);
  const auto PauseBetween = [&Random](std::chrono::microseconds Min,
                                      std::chrono::microseconds Max) {
    return std::chrono::microseconds(
        std::uniform_int_distribution<std::int64_t>(Min.count(),
                                                    Max.count())(Random));
  };
  std::unique_ptr<Connection> Link;
  std::string Address;
  unsigned Number = 0;
  bool Kept = false;
  while (true) {
    // The first requests are spread over the whole pause.
    const auto Until =
        std::chrono::steady_clock::now() +
        PauseBetween(Number == 0 ? std::chrono::microseconds::zero()
                                 : Settings.MinPause,
                     Settings.MaxPause);
    constexpr auto StopCheck = std::chrono::milliseconds(100);
    while (!Stopped && std::chrono::steady_clock::now() < Until)
      std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(
          Until - std::chrono::steady_clock::now(), StopCheck));
    if (Stopped)
      return;
    if (Link && !Addresses.isListed(Address))
      Link.reset();
    Kept = Link != nullptr;
    if (!Link) {
      Address = Addresses.pick(Random);
      Link = Connection::open(Address);
    }
    if (!Link->isOpen()) {
      Link.reset();
      continue;
    }
    const std::string Id =
        Settings.Name + std::to_string(Index) + "-" + std::to_string(++Number);
    if (!sendOne(*Link, Address, Id, Kept))
      Link.reset();
  }
}

/// Returns whether the connection may be used again.
bool Callers::sendOne(Connection &Link, const std::string &Address,
                      const std::string &Id, bool Kept) {
  constexpr int ExtraMs = 500;
  const double SentAt = Lines.elapsed();
  ++Sent;
  const bool Written = Link.send(
      formatMessage(Settings.Method + " " + Settings.Prefix + Id + " HTTP/1.1",
                    {{"Host", CallerHost},
                     {"X-Request-Id", Id},
                     {"X-Deadline-Ms", std::to_string(Settings.DeadlineMs)}},
                    Body));
  HttpMessage Answer;
  const ReadEnd End =
      Written ? Link.read(Answer, true,
                          static_cast<int>(Settings.DeadlineMs) + ExtraMs)
              : ReadEnd::Closed;
  Lines.line("sent request=" + Id + " host=" + Address +
             " at=" + std::to_string(SentAt) + " got=" +
             (End == ReadEnd::Complete ? std::to_string(Answer.status())
                                       : toString(End)));
  if (End != ReadEnd::Complete) {
    const std::lock_guard Guard(Lock);
    Cuts.push_back({Id, Address, SentAt, Lines.elapsed(), End, Kept});
    return false;
  }
  ++(Answer.status() == 200 ? Succeeded : Refused);
  return Answer.field("Connection") != "close";
}

std::vector<Cut> selectRun(Fleet &Servers, const std::vector<Cut> &Cuts) {
  std::set<std::string> Ran;
  for (const Run &Each : Servers.runs())
    Ran.insert(Each.RequestId);
  std::vector<Cut> Result;
  for (const Cut &Each : Cuts)
    if (Ran.count(Each.RequestId) > 0)
      Result.push_back(Each);
  return Result;
}

std::string describe(const Cut &Lost) {
  return "lost request=" + Lost.RequestId + " host=" + Lost.Host +
         " sent=" + std::to_string(Lost.SentAt) +
         " ended=" + std::to_string(Lost.EndedAt) +
         " how=" + toString(Lost.How) + " kept=" + (Lost.Kept ? "yes" : "no");
}

} // namespace review
