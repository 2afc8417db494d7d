#include "core/owner_load_table.h"

#include <algorithm>

namespace mimosacart {

void OwnerLoadTable::setOwners(const ServiceName &Service,
                               std::vector<OwnerShare> Owners) {
  std::vector<OwnerState> NewStates;
  for (const OwnerShare &Share : Owners) {
    const OwnerState *Owner = findOwner(Service, Share.Host);
    if (Owner != nullptr && Owner->Share == Share) {
      NewStates.push_back(*Owner);
      continue;
    }
    ServiceLoad Idle;
    Idle.Service = Service;
    Idle.FreeSlots = Share.Slots;
    Idle.UsableSlots = Share.Slots;
    NewStates.push_back({Share, Idle});
  }
  OwnersByService[Service] = std::move(NewStates);
  SharesByService[Service] = std::move(Owners);
}

void OwnerLoadTable::removeService(const ServiceName &Service) {
  OwnersByService.erase(Service);
  SharesByService.erase(Service);
}

OwnerLoadTable::OwnerState *
OwnerLoadTable::findOwner(const ServiceName &Service, const HostName &Host) {
  const auto Found = OwnersByService.find(Service);
  if (Found == OwnersByService.end())
    return nullptr;
  for (OwnerState &Owner : Found->second)
    if (Owner.Share.Host == Host)
      return &Owner;
  return nullptr;
}

void OwnerLoadTable::update(const HostName &Host, const ServiceLoad &Load) {
  OwnerState *Owner = findOwner(Load.Service, Host);
  if (Owner != nullptr)
    Owner->Load = Load;
}

void OwnerLoadTable::recordForwarded(const HostName &Host,
                                     const ServiceName &Service) {
  OwnerState *Owner = findOwner(Service, Host);
  if (Owner == nullptr)
    return;
  if (Owner->Load.FreeSlots > 0)
    --Owner->Load.FreeSlots;
  else
    ++Owner->Load.Queued;
}

void OwnerLoadTable::recordIdle(const HostName &Host,
                                const ServiceName &Service,
                                std::uint32_t FreeSlots) {
  OwnerState *Owner = findOwner(Service, Host);
  if (Owner == nullptr)
    return;
  Owner->Load.FreeSlots = FreeSlots;
  Owner->Load.Queued = 0;
}

void OwnerLoadTable::recordWorkRequested(const HostName &Host,
                                         const ServiceName &Service,
                                         std::uint32_t Count) {
  OwnerState *Owner = findOwner(Service, Host);
  if (Owner != nullptr)
    Owner->Load.Queued -= std::min(Owner->Load.Queued, Count);
}

std::optional<HostName> OwnerLoadTable::findBestOwner(
    const ServiceName &Service, const HostName &Self,
    const std::function<bool(const ServiceLoad &)> &Fits,
    const std::function<double(const ServiceLoad &)> &Rank) const {
  const auto Found = OwnersByService.find(Service);
  if (Found == OwnersByService.end())
    return std::nullopt;
  const OwnerState *Best = nullptr;
  for (const OwnerState &Owner : Found->second) {
    if (Owner.Share.Host == Self || !Fits(Owner.Load))
      continue;
    if (Best == nullptr || Rank(Owner.Load) > Rank(Best->Load))
      Best = &Owner;
  }
  if (Best == nullptr)
    return std::nullopt;
  return Best->Share.Host;
}

std::optional<HostName>
OwnerLoadTable::findOwnerWithFreeSlot(const ServiceName &Service,
                                      const HostName &Self) const {
  return findBestOwner(
      Service, Self, [](const ServiceLoad &Load) { return Load.FreeSlots > 0; },
      [](const ServiceLoad &Load) { return double(Load.FreeSlots); });
}

std::optional<HostName>
OwnerLoadTable::findLeastLoadedOwner(const ServiceName &Service,
                                     const HostName &Self) const {
  return findBestOwner(
      Service, Self, [](const ServiceLoad &) { return true; },
      [](const ServiceLoad &Load) {
        return -(Load.Queued + 1.0) / std::max(1U, Load.UsableSlots);
      });
}

std::optional<HostName>
OwnerLoadTable::findOwnerWithLongestQueue(const ServiceName &Service,
                                          const HostName &Self) const {
  return findBestOwner(
      Service, Self, [](const ServiceLoad &Load) { return Load.Queued > 0; },
      [](const ServiceLoad &Load) { return double(Load.Queued); });
}

bool OwnerLoadTable::hasUsable(const ServiceName &Service,
                               const HostName &Self) const {
  const auto Found = OwnersByService.find(Service);
  if (Found == OwnersByService.end())
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&Self](const OwnerState &Owner) {
                       return Owner.Share.Host != Self &&
                              Owner.Load.UsableSlots > 0;
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
  const auto Found = SharesByService.find(Service);
  return Found == SharesByService.end() ? None : Found->second;
}

} // namespace mimosacart
