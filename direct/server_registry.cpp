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
    join(Server);
    Changed(Server, ServerChange::Joined);
    return;
  }
  Entry &Known = Found->second;
  setLapse(Server.Id, Known, Instant::max());
  if (Known.Server.Service != Server.Service) {
    leave(Known.Server);
    join(Server);
  }
  const bool Reborn = Known.Server.Incarnation != Server.Incarnation ||
                      Known.Server.Address != Server.Address ||
                      Known.Server.Service != Server.Service;
  const bool Same = Known.Server == Server;
  Known.Server = Server;
  touch(Server.Service);
  if (Reborn)
    Changed(Server, ServerChange::Restarted);
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
  setLapse(Id, Found->second, Now + LapseTime);
  Changed(Found->second.Server, ServerChange::RemovalPending);
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
  while (!Lapsing.empty() && Lapsing.begin()->first <= Now)
    erase(Entries.find(Lapsing.begin()->second));
}

void ServerRegistry::setLapse(const ServerName &Id, Entry &Of, Instant At) {
  Lapsing.erase({Of.LapsesAt, Id});
  Of.LapsesAt = At;
  if (At != Instant::max())
    Lapsing.emplace(At, Id);
}

void ServerRegistry::erase(std::map<ServerName, Entry>::iterator Where) {
  const DiscoveredServer Server = Where->second.Server;
  setLapse(Server.Id, Where->second, Instant::max());
  Entries.erase(Where);
  leave(Server);
  Changed(Server, ServerChange::Removed);
}

void ServerRegistry::join(const DiscoveredServer &Server) {
  ByService[Server.Service].Ids.push_back(Server.Id);
  touch(Server.Service);
}

void ServerRegistry::leave(const DiscoveredServer &Server) {
  const auto Found = ByService.find(Server.Service);
  std::erase(Found->second.Ids, Server.Id);
  if (Found->second.Ids.empty())
    ByService.erase(Found);
  else
    touch(Server.Service);
}

void ServerRegistry::touch(const ServiceName &Service) {
  Group &Of = ByService.at(Service);
  Of.Revision = ++LastRevision;
  Of.Usable.reset();
}

const DiscoveredServer *ServerRegistry::find(const ServerName &Id) const {
  const auto Found = Entries.find(Id);
  return Found == Entries.end() ? nullptr : &Found->second.Server;
}

const std::vector<const DiscoveredServer *> &
ServerRegistry::usable(const ServiceName &Service) const {
  static const std::vector<const DiscoveredServer *> None;
  const auto Found = ByService.find(Service);
  if (Found == ByService.end())
    return None;
  const Group &Of = Found->second;
  if (!Of.Usable) {
    Of.Usable.emplace();
    for (const ServerName &Id : Of.Ids) {
      const DiscoveredServer &Server = Entries.at(Id).Server;
      if (!Server.Draining)
        Of.Usable->push_back(&Server);
    }
  }
  return *Of.Usable;
}

std::uint64_t ServerRegistry::revision(const ServiceName &Service) const {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? 0 : Found->second.Revision;
}

Instant ServerRegistry::nextTick() const {
  return Lapsing.empty() ? Instant::max() : Lapsing.begin()->first;
}

} // namespace mimosacart
