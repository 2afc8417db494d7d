/// \file
/// Conversion between Protobuf and the messages that request and carry table
/// rows.
#pragma once

#include "core/peer_messages.h"
#include "wire/generated/peer.pb.h"

#include <optional>

namespace mimosacart {

void write(const TableRequest &From, wire::Envelope &To);
void write(const TableRows &From, wire::Envelope &To);

/// These return nothing if the table is not a known StoreTable value.
std::optional<TableRequest> readTableRequest(const wire::TableRequest &From);
std::optional<TableRows> readTableRows(const wire::TableRows &From);

} // namespace mimosacart
