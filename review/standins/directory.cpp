#include "directory.h"

#include <algorithm>

namespace review {

Directory::Directory(Fleet &Servers)
    : Servers(Servers), Refresher([this] { refresh(); }) {}

Directory::~Directory() {
  Stopped = true;
  Refresher.join();
}

void Directory::refresh() {
  constexpr auto Interval = std::chrono::milliseconds(500);
  while (!Stopped) {
    for (const auto &Host : Servers.Hosts) {
      const std::vector<std::string> Found = Fleet::resolve(*Host);
      if (Found.empty())
        continue;
      const std::lock_guard Guard(Lock);
      Addresses = Found;
      break;
    }
    std::this_thread::sleep_for(Interval);
  }
}

std::string Directory::pick(std::mt19937 &Random) {
  const std::lock_guard Guard(Lock);
  if (Addresses.empty())
    return "";
  return Addresses[Random() % Addresses.size()];
}

bool Directory::isListed(const std::string &Address) {
  const std::lock_guard Guard(Lock);
  return std::find(Addresses.begin(), Addresses.end(), Address) !=
         Addresses.end();
}

} // namespace review
