/// \file
/// Addresses for the listeners of a test.
#pragma once

#include <string>

namespace mimosacart {

/// Returns a new loopback address with a port, on which neither this process
/// nor another one listens.
///
/// A port that was found free on 127.0.0.1 may be taken by the next outgoing
/// connection on the machine before the test listens on it. The addresses
/// returned here lie on an IP address of this process alone, which no outgoing
/// connection has as its source.
std::string newLoopbackAddress();

} // namespace mimosacart
