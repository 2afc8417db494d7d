/// \file
/// What servers ask of RequestFlow in their answers and entries.
#include "direct/request_flow.h"

namespace mimosacart {

/// \p Proper is whether the answer would name the server's limit if there were
/// one; refusals and errors may lack it.
void RequestFlow::recordWishes(Instant Now, const ServerName &Server,
                               std::uint64_t Incarnation,
                               const ServerWishes &Wishes, bool Proper) {
  if (Wishes.Invalid) {
    ++Counters.InvalidWishes;
    Callbacks.Log("server_wish_unusable", {{"server", Server.value()}});
  }
  if (Wishes.Leaving && Constraints.setLeaving(Server, Incarnation))
    Callbacks.Log("server_leaving", {{"server", Server.value()}});
  // An answer of an earlier incarnation says nothing else about this one.
  const DiscoveredServer *Known = Registry.find(Server);
  if (Known == nullptr || Known->Incarnation != Incarnation)
    return;
  if (Wishes.QuietFor) {
    Constraints.setQuiet(Now, Server, *Wishes.QuietFor);
    Callbacks.Log("server_quiet", {{"server", Server.value()},
                                   {"for_ms", toMsText(*Wishes.QuietFor)}});
  }
  if (Wishes.WarmUpLeft)
    recordWarmUp(Now, *Known, *Wishes.WarmUpLeft, "answer");
  if (!Wishes.RequestsPerSecond && (!Proper || Wishes.Invalid))
    return;
  if (!Constraints.setLimit(Now, Server, Wishes.RequestsPerSecond))
    return;
  Callbacks.Log("server_limit",
                {{"server", Server.value()},
                 {"per_second", Wishes.RequestsPerSecond
                                    ? std::to_string(*Wishes.RequestsPerSecond)
                                    : "none"}});
}

void RequestFlow::recordWarmUp(Instant Now, const DiscoveredServer &Server,
                               Duration Left, const char *Source) {
  const auto Limit = Constraints.setWarmUp(Now, Server, Left);
  if (Limit)
    Callbacks.Log("server_cold", {{"server", Server.Id.value()},
                                  {"for_ms", toMsText(Left)},
                                  {"per_second", std::to_string(*Limit)},
                                  {"from", Source}});
}

void RequestFlow::onConfiguration(const RouteConfiguration &Configuration) {
  ColdServers::LimitMap Limits;
  for (const auto &[Name, Service] : Configuration.Services)
    if (Service.ColdRequestsPerSecond)
      Limits[Name] = *Service.ColdRequestsPerSecond;
  Constraints.setColdLimits(std::move(Limits));
}

} // namespace mimosacart
