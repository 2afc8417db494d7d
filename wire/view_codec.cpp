#include "wire/view_codec.h"

#include "wire/field_checks.h"

#include <algorithm>

namespace mimosacart {

void write(const ConfigurationId &From, wire::Mark &To) {
  To.set_generation(From.Number.value());
  To.set_digest(From.Digest);
}

ConfigurationId readConfigurationId(const wire::Mark &From) {
  return {Generation(From.generation()), From.digest()};
}

void write(const CrashNotice &From, wire::Crash &To) {
  To.set_fingerprint(From.Fingerprint);
  To.set_server(From.Server.value());
  To.set_event_id(From.EventId);
  To.set_remaining_us(From.Remaining.count());
  To.set_excused(From.Excused);
}

CrashNotice readCrash(const wire::Crash &From) {
  return {From.fingerprint(), ServerName(From.server()), From.event_id(),
          Duration(From.remaining_us()), From.excused()};
}

namespace {

void write(const MemberRecord &From, wire::Member &To) {
  To.set_host(From.Host.value());
  To.set_life(From.Incarnation.value());
  To.set_refutation(From.Refutation);
  To.set_status(static_cast<std::uint32_t>(From.Status));
  To.set_leaving(From.Leaving);
  To.set_data_centre(From.DataCentre);
  To.set_peer_address(From.PeerAddress);
  To.set_caller_address(From.CallerAddress);
  To.set_epoch(From.Epoch);
  To.set_successor(From.Successor.value());
  To.set_age_us(From.Age.count());
}

MemberRecord readMember(const wire::Member &From) {
  MemberRecord To;
  To.Host = HostName(From.host());
  To.Incarnation = IncarnationId(From.life());
  To.Refutation = From.refutation();
  To.Status = checkedEnum(From.status(), MemberStatus::Left);
  To.Leaving = From.leaving();
  To.DataCentre = From.data_centre();
  To.PeerAddress = From.peer_address();
  To.CallerAddress = From.caller_address();
  To.Epoch = From.epoch();
  To.Successor = HostName(From.successor());
  To.Age = Duration(std::max<std::int64_t>(0, From.age_us()));
  return To;
}

/// Ping and Ack have the same fields.
template <typename PingOrAck>
void writePingFields(const PingOrAck &From, wire::Ping &To) {
  To.set_sequence(From.Sequence);
  write(From.Self, *To.mutable_self());
  To.set_state_digest(From.StateDigest);
  if (From.ConfigId)
    write(*From.ConfigId, *To.mutable_mark());
  To.set_routes_version(From.Tables.Routes.number());
  To.set_routes_era(From.Tables.Routes.era());
  To.set_servers_version(From.Tables.Servers.number());
  To.set_servers_era(From.Tables.Servers.era());
}

template <typename PingOrAck> PingOrAck readPingFields(const wire::Ping &From) {
  PingOrAck To;
  To.Sequence = From.sequence();
  To.Self = readMember(From.self());
  To.StateDigest = From.state_digest();
  if (From.has_mark())
    To.ConfigId = readConfigurationId(From.mark());
  To.Tables = {{From.routes_era(), From.routes_version()},
               {From.servers_era(), From.servers_version()}};
  return To;
}

} // namespace

Ping readPing(const wire::Ping &From) { return readPingFields<Ping>(From); }

Ack readAck(const wire::Ping &From) { return readPingFields<Ack>(From); }

void write(const Ping &From, wire::Envelope &To) {
  writePingFields(From, *To.mutable_ping());
}

void write(const Ack &From, wire::Envelope &To) {
  writePingFields(From, *To.mutable_ack());
}

void write(const PingRequest &From, wire::Envelope &To) {
  To.mutable_ping_request()->set_sequence(From.Sequence);
  To.mutable_ping_request()->set_target(From.Target.value());
}

void write(const SoftState &From, wire::Envelope &Envelope) {
  wire::SoftState &To = *Envelope.mutable_soft_state();
  for (const MemberRecord &Record : From.Members)
    write(Record, *To.add_members());
  for (const DrainNotice &Notice : From.Drains) {
    wire::Drain &Drain = *To.add_drains();
    Drain.set_server(Notice.Server.value());
    Drain.set_version(Notice.Version);
    Drain.set_draining(Notice.Draining);
    Drain.set_remaining_us(Notice.Remaining.count());
  }
  for (const CrashNotice &Notice : From.Crashes)
    write(Notice, *To.add_crashes());
  if (From.ConfigId)
    write(*From.ConfigId, *To.mutable_mark());
  To.set_pass_on(From.ForwardInDataCentre);
}

SoftState readSoftState(const wire::SoftState &From) {
  SoftState To;
  for (const wire::Member &Record : From.members())
    To.Members.push_back(readMember(Record));
  for (const wire::Drain &Drain : From.drains())
    To.Drains.push_back({ServerName(Drain.server()), Drain.version(),
                         Drain.draining(), Duration(Drain.remaining_us())});
  for (const wire::Crash &Crash : From.crashes())
    To.Crashes.push_back(readCrash(Crash));
  if (From.has_mark())
    To.ConfigId = readConfigurationId(From.mark());
  To.ForwardInDataCentre = From.pass_on();
  return To;
}

void write(const ViewSummary &From, wire::Envelope &Envelope) {
  wire::ViewSummary &To = *Envelope.mutable_view_summary();
  To.mutable_buckets()->Add(From.Buckets.begin(), From.Buckets.end());
}

ViewSummary readViewSummary(const wire::ViewSummary &From) {
  return {{From.buckets().begin(), From.buckets().end()}};
}

} // namespace mimosacart
