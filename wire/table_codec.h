/// \file
/// Protobuf form of the messages that hand table rows on.
#pragma once

#include "core/peer_messages.h"
#include "wire/generated/peer.pb.h"

#include <optional>

namespace mimosacart {

void write(const TableRequest &From, wire::Envelope &To);
void write(const TableRows &From, wire::Envelope &To);

/// Nothing if the table is not one that hosts follow.
std::optional<TableRequest> readTableRequest(const wire::TableRequest &From);
std::optional<TableRows> readTableRows(const wire::TableRows &From);

} // namespace mimosacart
