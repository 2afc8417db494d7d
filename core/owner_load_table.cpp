#include "core/owner_load_table.h"

#include <algorithm>

namespace mimosacart {

void OwnerLoadTable::setOwners(const ServiceName &Service,
                               std::vector<OwnerShare> Owners) {
  std::vector<Belief> Next;
  for (const OwnerShare &Share : Owners) {
    const Belief *Known = find(Service, Share.Host);
    if (Known != nullptr && Known->Share == Share) {
      Next.push_back(*Known);
      continue;
    }
    ServiceLoad Idle;
    Idle.Service = Service;
    Idle.FreeSlots = Share.Slots;
    Idle.UsableSlots = Share.Slots;
    Next.push_back({Share, Idle});
  }
  Services[Service] = std::move(Next);
  Shares[Service] = std::move(Owners);
}

void OwnerLoadTable::removeService(const ServiceName &Service) {
  Services.erase(Service);
  Shares.erase(Service);
}

OwnerLoadTable::Belief *OwnerLoadTable::find(const ServiceName &Service,
                                             const HostName &Host) {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return nullptr;
  for (Belief &Known : Found->second)
    if (Known.Share.Host == Host)
      return &Known;
  return nullptr;
}

void OwnerLoadTable::update(const HostName &Host, const ServiceLoad &Load) {
  Belief *Known = find(Load.Service, Host);
  if (Known != nullptr)
    Known->Load = Load;
}

void OwnerLoadTable::recordForwarded(const HostName &Host,
                                     const ServiceName &Service) {
  Belief *Known = find(Service, Host);
  if (Known == nullptr)
    return;
  if (Known->Load.FreeSlots > 0)
    --Known->Load.FreeSlots;
  else
    ++Known->Load.Queued;
}

void OwnerLoadTable::recordIdle(const HostName &Host,
                                const ServiceName &Service,
                                std::uint32_t FreeSlots) {
  Belief *Known = find(Service, Host);
  if (Known == nullptr)
    return;
  Known->Load.FreeSlots = FreeSlots;
  Known->Load.Queued = 0;
}

void OwnerLoadTable::recordTaken(const HostName &Host,
                                 const ServiceName &Service,
                                 std::uint32_t Count) {
  Belief *Known = find(Service, Host);
  if (Known != nullptr)
    Known->Load.Queued -= std::min(Known->Load.Queued, Count);
}

std::optional<HostName> OwnerLoadTable::best(
    const ServiceName &Service, const HostName &Self,
    const std::function<bool(const ServiceLoad &)> &Fits,
    const std::function<double(const ServiceLoad &)> &Rank) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return std::nullopt;
  const Belief *Best = nullptr;
  for (const Belief &Known : Found->second) {
    if (Known.Share.Host == Self || !Fits(Known.Load))
      continue;
    if (Best == nullptr || Rank(Known.Load) > Rank(Best->Load))
      Best = &Known;
  }
  if (Best == nullptr)
    return std::nullopt;
  return Best->Share.Host;
}

std::optional<HostName>
OwnerLoadTable::withFreeSlot(const ServiceName &Service,
                             const HostName &Self) const {
  return best(
      Service, Self, [](const ServiceLoad &Load) { return Load.FreeSlots > 0; },
      [](const ServiceLoad &Load) { return double(Load.FreeSlots); });
}

std::optional<HostName>
OwnerLoadTable::leastLoaded(const ServiceName &Service,
                            const HostName &Self) const {
  return best(
      Service, Self, [](const ServiceLoad &) { return true; },
      [](const ServiceLoad &Load) {
        return -(Load.Queued + 1.0) / std::max(1U, Load.UsableSlots);
      });
}

std::optional<HostName> OwnerLoadTable::withQueue(const ServiceName &Service,
                                                  const HostName &Self) const {
  return best(
      Service, Self, [](const ServiceLoad &Load) { return Load.Queued > 0; },
      [](const ServiceLoad &Load) { return double(Load.Queued); });
}

bool OwnerLoadTable::hasUsable(const ServiceName &Service,
                               const HostName &Self) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return false;
  return std::any_of(
      Found->second.begin(), Found->second.end(), [&Self](const Belief &Known) {
        return Known.Share.Host != Self && Known.Load.UsableSlots > 0;
      });
}

std::vector<HostName> OwnerLoadTable::coOwners(const ServiceName &Service,
                                               const HostName &Self) const {
  std::vector<HostName> Result;
  for (const OwnerShare &Share : owners(Service))
    if (Share.Host != Self)
      Result.push_back(Share.Host);
  return Result;
}

const std::vector<OwnerShare> &
OwnerLoadTable::owners(const ServiceName &Service) const {
  static const std::vector<OwnerShare> None;
  const auto Found = Shares.find(Service);
  return Found == Shares.end() ? None : Found->second;
}

} // namespace mimosacart
