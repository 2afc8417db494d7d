#include "direct/server_registry.h"

#include <algorithm>
#include <set>

namespace mimosacart {

const char *toString(ServerChange Value) {
  switch (Value) {
  case ServerChange::Joined:
    return "joined";
  case ServerChange::Updated:
    return "updated";
  case ServerChange::Reborn:
    return "reborn";
  case ServerChange::Lapsed:
    return "lapsed";
  case ServerChange::Gone:
    return "gone";
  }
  return "updated";
}

void ServerRegistry::update(Instant /*Now*/, const DiscoveredServer &Server) {
  const auto Found = Entries.find(Server.Id);
  if (Found == Entries.end()) {
    Entries[Server.Id] = {Server, Instant::max()};
    ByService[Server.Service].push_back(Server.Id);
    Changed(Server, ServerChange::Joined);
    return;
  }
  Entry &Known = Found->second;
  Known.LapsesAt = Instant::max();
  if (Known.Server.Service != Server.Service) {
    std::erase(ByService[Known.Server.Service], Server.Id);
    ByService[Server.Service].push_back(Server.Id);
  }
  const bool Reborn = Known.Server.Born != Server.Born ||
                      Known.Server.Address != Server.Address ||
                      Known.Server.Service != Server.Service;
  const bool Same = Known.Server == Server;
  Known.Server = Server;
  if (Reborn)
    Changed(Server, ServerChange::Reborn);
  else if (!Same)
    Changed(Server, ServerChange::Updated);
}

void ServerRegistry::remove(Instant Now, const ServerName &Id,
                            bool Interrupted) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  if (!Interrupted) {
    erase(Found);
    return;
  }
  if (Found->second.LapsesAt != Instant::max())
    return;
  Found->second.LapsesAt = Now + LapseTime;
  Changed(Found->second.Server, ServerChange::Lapsed);
}

void ServerRegistry::replace(Instant Now,
                             const std::vector<DiscoveredServer> &Servers,
                             bool Interrupted) {
  std::set<ServerName> Present;
  for (const DiscoveredServer &Server : Servers) {
    Present.insert(Server.Id);
    update(Now, Server);
  }
  std::vector<ServerName> Missing;
  for (const auto &[Id, Known] : Entries)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  for (const ServerName &Id : Missing)
    remove(Now, Id, Interrupted);
}

void ServerRegistry::tick(Instant Now) {
  for (auto Next = Entries.begin(); Next != Entries.end();) {
    const auto Current = Next++;
    if (Current->second.LapsesAt <= Now)
      erase(Current);
  }
}

void ServerRegistry::erase(std::map<ServerName, Entry>::iterator Where) {
  const DiscoveredServer Server = Where->second.Server;
  Entries.erase(Where);
  const auto Group = ByService.find(Server.Service);
  std::erase(Group->second, Server.Id);
  if (Group->second.empty())
    ByService.erase(Group);
  Changed(Server, ServerChange::Gone);
}

const DiscoveredServer *ServerRegistry::find(const ServerName &Id) const {
  const auto Found = Entries.find(Id);
  return Found == Entries.end() ? nullptr : &Found->second.Server;
}

std::vector<const DiscoveredServer *>
ServerRegistry::usable(const ServiceName &Service) const {
  std::vector<const DiscoveredServer *> Result;
  const auto Group = ByService.find(Service);
  if (Group == ByService.end())
    return Result;
  for (const ServerName &Id : Group->second) {
    const DiscoveredServer &Server = Entries.at(Id).Server;
    if (!Server.Draining)
      Result.push_back(&Server);
  }
  return Result;
}

Instant ServerRegistry::nextTick() const {
  Instant Result = Instant::max();
  for (const auto &[Id, Known] : Entries)
    Result = std::min(Result, Known.LapsesAt);
  return Result;
}

} // namespace mimosacart
