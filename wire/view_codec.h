/// \file
/// Protobuf form of the messages by which hosts keep their views alike: pings
/// and what they know of each other.
#pragma once

#include "core/peer_messages.h"
#include "wire/generated/peer.pb.h"

namespace mimosacart {

void write(const ConfigurationId &From, wire::Mark &To);
void write(const CrashNotice &From, wire::Crash &To);
void write(const Ping &From, wire::Envelope &To);
void write(const Ack &From, wire::Envelope &To);
void write(const PingRequest &From, wire::Envelope &To);
void write(const SoftState &From, wire::Envelope &To);
void write(const ViewSummary &From, wire::Envelope &To);

ConfigurationId readConfigurationId(const wire::Mark &From);
CrashNotice readCrash(const wire::Crash &From);
/// These throw BadField if a member's status is none.
Ping readPing(const wire::Ping &From);
Ack readAck(const wire::Ping &From);
SoftState readSoftState(const wire::SoftState &From);
ViewSummary readViewSummary(const wire::ViewSummary &From);

} // namespace mimosacart
