#include "direct/server_registry.h"

#include <algorithm>
#include <set>

namespace mimosacart {

const char *toString(ServerChange Value) {
  // The names in logs are fixed; some differ from the enumerators.
  switch (Value) {
  case ServerChange::Joined:
    return "joined";
  case ServerChange::Updated:
    return "updated";
  case ServerChange::Restarted:
    return "reborn";
  case ServerChange::RemovalPending:
    return "lapsed";
  case ServerChange::Removed:
    return "gone";
  }
  return "updated";
}

void ServerRegistry::update(Instant /*Now*/, const DiscoveredServer &Server) {
  const auto Found = Entries.find(Server.Id);
  if (Found == Entries.end()) {
    Entries[Server.Id] = {Server, Instant::max()};
    addToService(Server);
    OnChange(Server, ServerChange::Joined);
    return;
  }
  Entry &Existing = Found->second;
  scheduleRemoval(Server.Id, Existing, Instant::max());
  if (Existing.Server.Service != Server.Service) {
    removeFromService(Existing.Server);
    addToService(Server);
  }
  // A new address or service counts as a restart as well: the load known so far
  // no longer applies.
  const bool Restarted = Existing.Server.Incarnation != Server.Incarnation ||
                         Existing.Server.Address != Server.Address ||
                         Existing.Server.Service != Server.Service;
  const bool Unchanged = Existing.Server == Server;
  Existing.Server = Server;
  invalidate(Server.Service);
  if (Restarted)
    OnChange(Server, ServerChange::Restarted);
  else if (!Unchanged)
    OnChange(Server, ServerChange::Updated);
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
  if (Found->second.RemoveAt != Instant::max())
    return;
  scheduleRemoval(Id, Found->second, Now + RemovalDelay);
  OnChange(Found->second.Server, ServerChange::RemovalPending);
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
  for (const auto &[Id, Existing] : Entries)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  for (const ServerName &Id : Missing)
    remove(Now, Id, Interrupted);
}

bool ServerRegistry::setEvacuated(const std::string &DataCentre,
                                  bool IsEvacuated) {
  const bool Changed = IsEvacuated ? Evacuated.insert(DataCentre).second
                                   : Evacuated.erase(DataCentre) > 0;
  if (!Changed)
    return false;
  for (auto &[Service, Servers] : ServersByService) {
    Servers.Revision = ++LastRevision;
    Servers.Usable.reset();
  }
  return true;
}

void ServerRegistry::tick(Instant Now) {
  while (!PendingRemovals.empty() && PendingRemovals.begin()->first <= Now)
    erase(Entries.find(PendingRemovals.begin()->second));
}

void ServerRegistry::scheduleRemoval(const ServerName &Id, Entry &Target,
                                     Instant At) {
  PendingRemovals.erase({Target.RemoveAt, Id});
  Target.RemoveAt = At;
  if (At != Instant::max())
    PendingRemovals.emplace(At, Id);
}

void ServerRegistry::erase(std::map<ServerName, Entry>::iterator Position) {
  const DiscoveredServer Server = Position->second.Server;
  scheduleRemoval(Server.Id, Position->second, Instant::max());
  Entries.erase(Position);
  removeFromService(Server);
  OnChange(Server, ServerChange::Removed);
}

void ServerRegistry::addToService(const DiscoveredServer &Server) {
  ServersByService[Server.Service].Ids.push_back(Server.Id);
  invalidate(Server.Service);
}

void ServerRegistry::removeFromService(const DiscoveredServer &Server) {
  const auto Found = ServersByService.find(Server.Service);
  std::erase(Found->second.Ids, Server.Id);
  if (Found->second.Ids.empty())
    ServersByService.erase(Found);
  else
    invalidate(Server.Service);
}

void ServerRegistry::invalidate(const ServiceName &Service) {
  ServiceServers &Servers = ServersByService.at(Service);
  Servers.Revision = ++LastRevision;
  Servers.Usable.reset();
}

const DiscoveredServer *ServerRegistry::find(const ServerName &Id) const {
  const auto Found = Entries.find(Id);
  return Found == Entries.end() ? nullptr : &Found->second.Server;
}

const std::vector<const DiscoveredServer *> &
ServerRegistry::usable(const ServiceName &Service) const {
  static const std::vector<const DiscoveredServer *> None;
  const auto Found = ServersByService.find(Service);
  if (Found == ServersByService.end())
    return None;
  const ServiceServers &Servers = Found->second;
  if (!Servers.Usable) {
    Servers.Usable.emplace();
    for (const ServerName &Id : Servers.Ids) {
      const DiscoveredServer &Server = Entries.at(Id).Server;
      if (!Server.Draining && !Evacuated.contains(Server.DataCentre))
        Servers.Usable->push_back(&Server);
    }
  }
  return *Servers.Usable;
}

std::uint64_t ServerRegistry::revision(const ServiceName &Service) const {
  const auto Found = ServersByService.find(Service);
  return Found == ServersByService.end() ? 0 : Found->second.Revision;
}

Instant ServerRegistry::nextTick() const {
  return PendingRemovals.empty() ? Instant::max()
                                 : PendingRemovals.begin()->first;
}

} // namespace mimosacart
