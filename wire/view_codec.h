/// \file
/// Conversion between Protobuf and the messages that keep the views of hosts
/// consistent: pings, soft state and summaries of views.
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
/// readPing(), readAck() and readSoftState() throw BadField if the status of a
/// member is not a known value.
Ping readPing(const wire::Ping &From);
Ack readAck(const wire::Ping &From);
SoftState readSoftState(const wire::SoftState &From);
ViewSummary readViewSummary(const wire::ViewSummary &From);

} // namespace mimosacart
