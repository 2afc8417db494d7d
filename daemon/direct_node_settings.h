/// \file
/// Turns the settings of an entry host into those of its core.
#pragma once

#include "direct/direct_node.h"
#include "settings/host_settings.h"

namespace mimosacart {

/// Returns the settings of the core of \p Host, which must contain settings for
/// direct hosts, in a process with \p Incarnation.
DirectNodeSettings makeNodeSettings(const HostSettings &Host,
                                    IncarnationId Incarnation);

} // namespace mimosacart
