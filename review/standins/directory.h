/// \file
/// The addresses of entry hosts as clients know them.
#pragma once

#include "fleet.h"

#include <random>

namespace review {

/// Asks the directory twice a second; an answer is good for a second.
class Directory {
public:
  explicit Directory(Fleet &Servers);
  ~Directory();
  Directory(const Directory &) = delete;
  Directory &operator=(const Directory &) = delete;

  /// A random address; empty if none is known.
  std::string pick(std::mt19937 &Random);
  /// Whether the last answer names \p Address. Clients leave connections to
  /// others.
  bool isListed(const std::string &Address);

private:
  void refresh();

  Fleet &Servers;
  std::mutex Lock;
  std::vector<std::string> Addresses;
  std::atomic<bool> Stopped = false;
  std::thread Refresher;
};

} // namespace review
