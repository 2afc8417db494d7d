/// \file
/// The faults that a soak injects.
#include "soak/soak.h"

#include <fmt/format.h>

#include <csignal>

namespace mimosacart {

using namespace std::chrono_literals;

namespace {

/// A server must receive no more requests once this time has passed since it
/// was registered as draining.
constexpr auto DrainTime = 2300ms;

} // namespace

void Soak::scheduleFaults() {
  const auto FaultPeriod =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Options.Length - FaultFreeStart - FaultFreeEnd);
  const std::size_t Count = 4 + drawIndex(8);
  for (std::size_t Fault = 0; Fault < Count && FaultPeriod > 0ms; ++Fault)
    runAfter(
        std::chrono::duration_cast<std::chrono::milliseconds>(FaultFreeStart) +
            drawDuration(0, static_cast<unsigned>(FaultPeriod.count())),
        [this] { injectFault(); });
}

void Soak::injectFault() {
  // Faults listed twice are drawn twice as often.
  static const std::vector<void (Soak::*)()> Faults = {
      &Soak::killHost,
      &Soak::pauseHost,
      &Soak::stopHost,
      &Soak::stopHost,
      &Soak::reloadHost,
      &Soak::injectStoreLinkFault,
      &Soak::injectServerLinkFault,
      &Soak::injectStoreFault,
      &Soak::crashServer,
      &Soak::replaceServer,
      &Soak::replaceServer,
      &Soak::slowDownServer,
      &Soak::changeConfiguration};
  (this->*Faults[drawIndex(Faults.size())])();
}

void Soak::killHost() {
  const std::size_t HostIndex = drawIndex(Hosts.size());
  recordDisturbance("kill", 1500ms, HostIndex, DisturbanceKind::Process);
  Hosts[HostIndex].Process->signal(SIGKILL);
}

void Soak::pauseHost() {
  const std::size_t HostIndex = drawIndex(Hosts.size());
  const auto Length = drawDuration(200, 3000);
  recordDisturbance("pause", Length, HostIndex, DisturbanceKind::Process);
  Hosts[HostIndex].Process->signal(SIGSTOP);
  runAfter(Length,
           [this, HostIndex] { Hosts[HostIndex].Process->signal(SIGCONT); });
}

void Soak::stopHost() {
  const std::size_t HostIndex = drawIndex(Hosts.size());
  recordDisturbance("planned stop", 5000ms, HostIndex,
                    DisturbanceKind::PlannedStop);
  Hosts[HostIndex].Process->signal(SIGTERM);
}

void Soak::reloadHost() {
  const std::size_t HostIndex = drawIndex(Hosts.size());
  recordDisturbance("reload", 500ms, HostIndex, DisturbanceKind::Reload);
  Hosts[HostIndex].Process->signal(SIGHUP);
}

void Soak::injectStoreLinkFault() {
  const std::size_t HostIndex = drawIndex(Hosts.size());
  const auto Length = drawDuration(500, 4000);
  // Skips LinkFault::None.
  const auto Fault = static_cast<LinkFault>(1 + drawIndex(4));
  recordDisturbance(fmt::format("store link {}", toString(Fault)), Length,
                    HostIndex, DisturbanceKind::Link);
  Hosts[HostIndex].StoreProxy->setFault(Fault);
  runAfter(Length, [this, HostIndex] {
    Hosts[HostIndex].StoreProxy->setFault(LinkFault::None);
  });
}

void Soak::injectServerLinkFault() {
  ServerInstance &Server = *Servers[drawIndex(Servers.size())];
  const auto Length = drawDuration(500, 4000);
  // Skips LinkFault::None.
  const auto Fault = static_cast<LinkFault>(1 + drawIndex(4));
  recordDisturbance(fmt::format("link of {} {}", Server.Id, toString(Fault)),
                    Length, std::nullopt, DisturbanceKind::Link);
  Server.Proxy->setFault(Fault);
  runAfter(Length, [&Server] { Server.Proxy->setFault(LinkFault::None); });
}

void Soak::injectStoreFault() {
  const auto Length = drawDuration(500, 5000);
  if (drawIndex(4) == 0) {
    printEvent("store discards its history");
    Store.forgetHistory();
    return;
  }
  // Skips StoreMood::Sound, which is no fault.
  const auto Mode = static_cast<StoreMood>(1 + drawIndex(3));
  recordDisturbance(fmt::format("store fault mode {}", static_cast<int>(Mode)),
                    Length, std::nullopt, DisturbanceKind::Store);
  Store.setMood(Mode);
  runAfter(Length, [this] { Store.setMood(StoreMood::Sound); });
}

void Soak::crashServer() {
  ServerInstance &Server = *Servers[drawIndex(Servers.size())];
  if (!Server.RunningServer)
    return;
  const auto Length = drawDuration(300, 3000);
  recordDisturbance("crash of " + Server.Id, Length, std::nullopt,
                    DisturbanceKind::Server);
  Server.RunningServer.reset();
  Server.Proxy->setFault(LinkFault::Reset);
  runAfter(Length, [this, &Server] {
    Server.Proxy->setFault(LinkFault::None);
    startServer(Server);
  });
}

/// Planned replacement: a new server of the same service joins, then the chosen
/// one drains and leaves.
void Soak::replaceServer() {
  ServerInstance &Server = *Servers[drawIndex(Servers.size())];
  if (!Server.RunningServer)
    return;
  printEvent("replace " + Server.Id);
  addServer(Server.Service);
  registerServer(Server, "draining");
  Server.IsLeaving = true;
  Checker.forbidServer(Server.Id, std::chrono::steady_clock::now() + DrainTime);
  runAfter(3500ms, [this, Id = Server.Id] { removeServerRow(Id); });
}

void Soak::slowDownServer() {
  ServerInstance &Server = *Servers[drawIndex(Servers.size())];
  if (!Server.RunningServer)
    return;
  printEvent("slow " + Server.Id);
  Server.RunningServer->setSlowness(8);
  runAfter(drawDuration(300, 3000), [&Server] {
    if (Server.RunningServer)
      Server.RunningServer->setSlowness(1);
  });
}

void Soak::changeConfiguration() {
  const std::string NewOnceService =
      OnceService == "ledger" ? "archive" : "ledger";
  printEvent("configuration: non-idempotent requests go to " + NewOnceService);
  publishConfiguration(NewOnceService);
}

} // namespace mimosacart
