/// \file
/// Encoding of the messages about quotas.
#pragma once

#include "core/peer_messages.h"
#include "wire/generated/peer.pb.h"

namespace mimosacart {

void write(const QuotaRequest &From, wire::Envelope &Envelope);
void write(const QuotaGrant &From, wire::Envelope &Envelope);

/// Durations outside of what a correct host sends are bounded.
QuotaRequest readQuotaRequest(const wire::QuotaRequest &From);
QuotaGrant readQuotaGrant(const wire::QuotaGrant &From);

} // namespace mimosacart
