/// \file
/// Settings of a whole entry host that runs in the thread of a test.
#pragma once

#include "settings/host_settings.h"
#include "tests/support/loopback_addresses.h"

namespace mimosacart {

/// Settings of a host whose addresses, the one of its store included, nobody
/// listens on yet.
inline HostSettings makeDirectHostSettings() {
  HostSettings Settings;
  Settings.Name = HostName("host");
  Settings.DataCentre = "here";
  Settings.PlatformAddress = newLoopbackAddress();
  Settings.CallerAddress = newLoopbackAddress();
  Settings.PeerAddress = newLoopbackAddress();
  Settings.AdminAddress = newLoopbackAddress();
  Settings.Direct.emplace();
  Settings.Direct->DirectoryAddress = newLoopbackAddress();
  Settings.Direct->ReadinessAddress = newLoopbackAddress();
  return Settings;
}

} // namespace mimosacart
