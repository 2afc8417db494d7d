#include "wire/peer_codec.h"

#include "wire/field_checks.h"
#include "wire/generated/peer.pb.h"
#include "wire/quota_codec.h"
#include "wire/table_codec.h"
#include "wire/view_codec.h"

#include <google/protobuf/stubs/logging.h>

namespace mimosacart {

namespace {

/// The library would write a line on standard error for each text that is not
/// UTF-8, without a bound. decode() reports such messages.
google::protobuf::LogHandler *const OldLogHandler =
    google::protobuf::SetLogHandler(nullptr);

// Values that are part of several messages.

void write(const HeaderField &From, wire::Header &To) {
  To.set_name(From.Name);
  To.set_value(From.Value);
}

HeaderField read(const wire::Header &From) {
  return {From.name(), From.value()};
}

void write(const CallerRequest &From, wire::Request &To) {
  To.set_method(From.Method);
  To.set_target(From.Target);
  for (const HeaderField &Field : From.Headers)
    write(Field, *To.add_headers());
  To.set_body(From.Body.bytes());
  if (From.Key)
    To.set_key(*From.Key);
  if (From.Token)
    To.set_token(*From.Token);
  if (From.Timeout)
    To.set_timeout_us(From.Timeout->count());
  if (From.AttemptsLeft)
    To.set_attempts_left(*From.AttemptsLeft);
  To.set_trace_id(From.TraceId);
}

RequestPtr read(const wire::Request &From) {
  CallerRequest To;
  To.Method = From.method();
  To.Target = From.target();
  for (const wire::Header &Field : From.headers())
    To.Headers.push_back(read(Field));
  To.Body = From.body();
  if (From.has_key())
    To.Key = From.key();
  if (From.has_token())
    To.Token = From.token();
  if (From.has_timeout_us())
    To.Timeout = Duration(From.timeout_us());
  if (From.has_attempts_left())
    To.AttemptsLeft = From.attempts_left();
  To.TraceId = From.trace_id();
  return std::make_shared<const CallerRequest>(std::move(To));
}

void write(const Answer &From, wire::Answer &To) {
  To.set_status(From.Status);
  for (const HeaderField &Field : From.Headers)
    write(Field, *To.add_headers());
  To.set_body(From.Body.bytes());
}

AnswerPtr read(const wire::Answer &From) {
  Answer To;
  To.Status = From.status();
  for (const wire::Header &Field : From.headers())
    To.Headers.push_back(read(Field));
  To.Body = From.body();
  return std::make_shared<const Answer>(std::move(To));
}

void write(const ServiceLoad &From, wire::ServiceLoad &To) {
  To.set_service(From.Service.value());
  To.set_free_slots(From.FreeSlots);
  To.set_usable_slots(From.UsableSlots);
  To.set_queued(From.Queued);
}

ServiceLoad read(const wire::ServiceLoad &From) {
  return {ServiceName(From.service()), From.free_slots(), From.usable_slots(),
          From.queued()};
}

void write(const TransferredClaim &From, wire::HandedClaim &To) {
  To.set_epoch(From.Epoch);
  To.set_key(From.Key);
  if (From.Reply)
    write(*From.Reply, *To.mutable_reply());
}

TransferredClaim read(const wire::HandedClaim &From) {
  return {From.epoch(), From.key(),
          From.has_reply() ? read(From.reply()) : nullptr};
}

// Messages. readBody() reads the simple ones itself.

void write(const LoadReport &From, wire::Envelope &To) {
  wire::LoadReport &Report = *To.mutable_load_report();
  for (const ServiceLoad &Load : From.Loads)
    write(Load, *Report.add_loads());
}

LoadReport read(const wire::LoadReport &From) {
  LoadReport To;
  for (const wire::ServiceLoad &Load : From.loads())
    To.Loads.push_back(read(Load));
  return To;
}

void write(const ForwardedAttempt &From, wire::Envelope &Envelope) {
  wire::ForwardedAttempt &To = *Envelope.mutable_forwarded_attempt();
  To.set_origin(From.Origin.value());
  To.set_origin_life(From.OriginIncarnation.value());
  To.set_attempt(From.Attempt.value());
  To.set_service(From.Service.value());
  To.set_kind(From.Kind);
  write(*From.Request, *To.mutable_request());
  To.set_remaining_us(From.Remaining.count());
  To.set_hops(From.Hops);
  To.set_avoid(From.Avoid.value());
  if (From.Load)
    write(*From.Load, *To.mutable_load());
}

ForwardedAttempt read(const wire::ForwardedAttempt &From) {
  ForwardedAttempt To;
  To.Origin = HostName(From.origin());
  To.OriginIncarnation = IncarnationId(From.origin_life());
  To.Attempt = AttemptId(From.attempt());
  To.Service = ServiceName(From.service());
  To.Kind = From.kind();
  To.Request = read(From.request());
  To.Remaining = Duration(From.remaining_us());
  To.Hops = From.hops();
  To.Avoid = ServerName(From.avoid());
  if (From.has_load())
    To.Load = read(From.load());
  return To;
}

void write(const AttemptAnswer &From, wire::Envelope &Envelope) {
  wire::AttemptAnswer &To = *Envelope.mutable_attempt_answer();
  To.set_origin_life(From.OriginIncarnation.value());
  To.set_attempt(From.Attempt.value());
  To.set_end(static_cast<std::uint32_t>(From.Result.End));
  if (From.Result.Reply)
    write(*From.Result.Reply, *To.mutable_reply());
  To.set_reason(static_cast<std::uint32_t>(From.Result.Reason));
  To.set_server(From.Result.Server.value());
  To.set_service_time_us(From.Result.ServiceTime.count());
  if (From.Load)
    write(*From.Load, *To.mutable_load());
  To.set_needs_ack(From.NeedsAck);
}

AttemptAnswer read(const wire::AttemptAnswer &From) {
  AttemptAnswer To;
  To.OriginIncarnation = IncarnationId(From.origin_life());
  To.Attempt = AttemptId(From.attempt());
  To.Result.End = checkedEnum(From.end(), AttemptEnd::Failed);
  if (From.has_reply())
    To.Result.Reply = read(From.reply());
  // Without its answer, an answered attempt must not count as a success.
  if (To.Result.End == AttemptEnd::Answered && !To.Result.Reply)
    throw BadField();
  To.Result.Reason = checkedEnum(From.reason(), RefusalReason::OverQuota);
  To.Result.Server = ServerName(From.server());
  To.Result.ServiceTime = Duration(From.service_time_us());
  if (From.has_load())
    To.Load = read(From.load());
  To.NeedsAck = From.needs_ack();
  return To;
}

void write(const AttemptAnswerAck &From, wire::Envelope &To) {
  To.mutable_attempt_answer_ack()->set_origin_life(
      From.OriginIncarnation.value());
  To.mutable_attempt_answer_ack()->set_attempt(From.Attempt.value());
}

void write(const CancelForwarded &From, wire::Envelope &To) {
  To.mutable_cancel_forwarded()->set_origin_life(
      From.OriginIncarnation.value());
  To.mutable_cancel_forwarded()->set_attempt(From.Attempt.value());
}

void write(const WorkRequest &From, wire::Envelope &To) {
  To.mutable_work_wanted()->set_service(From.Service.value());
  To.mutable_work_wanted()->set_slots(From.Slots);
}

void write(const ClaimCall &From, wire::Envelope &To) {
  wire::ClaimCall &Call = *To.mutable_claim_call();
  Call.set_correlation(From.Correlation);
  write(*From.Request, *Call.mutable_request());
  Call.set_remaining_us(From.Remaining.count());
}

void write(const ClaimAnswer &From, wire::Envelope &To) {
  To.mutable_claim_answer()->set_correlation(From.Correlation);
  write(*From.Reply, *To.mutable_claim_answer()->mutable_reply());
}

void write(const Handover &From, wire::Envelope &Envelope) {
  wire::Handover &To = *Envelope.mutable_handover();
  To.set_from(From.From.value());
  To.set_life(From.Incarnation.value());
  To.set_current_epoch(From.CurrentEpoch);
  To.set_oldest_epoch(From.OldestEpoch);
  for (const TransferredClaim &Claim : From.Claims)
    write(Claim, *To.add_claims());
}

Handover read(const wire::Handover &From) {
  Handover To;
  To.From = HostName(From.from());
  To.Incarnation = IncarnationId(From.life());
  To.CurrentEpoch = From.current_epoch();
  To.OldestEpoch = From.oldest_epoch();
  for (const wire::HandedClaim &Claim : From.claims())
    To.Claims.push_back(read(Claim));
  return To;
}

void write(const HandoverAck &From, wire::Envelope &To) {
  To.mutable_handover_ack()->set_life(From.Incarnation.value());
}

void write(const ConfigurationRequest &From, wire::Envelope &To) {
  write(From.ConfigId, *To.mutable_configuration_request()->mutable_mark());
}

void write(const ConfigurationBytes &From, wire::Envelope &To) {
  write(From.ConfigId, *To.mutable_configuration_bytes()->mutable_mark());
  To.mutable_configuration_bytes()->set_bytes(From.Bytes);
}

void write(const CrashReport &From, wire::Envelope &To) {
  write(From.Notice, *To.mutable_crash_report()->mutable_notice());
}

void write(const CrashReportAck &From, wire::Envelope &To) {
  To.mutable_crash_report_ack()->set_event_id(From.EventId);
}

ClaimAnswer readClaimAnswer(const wire::ClaimAnswer &From) {
  if (!From.has_reply())
    throw BadField();
  return {From.correlation(), read(From.reply())};
}

PeerBody readBody(const wire::Envelope &From) {
  switch (From.body_case()) {
  case wire::Envelope::kPing:
    return readPing(From.ping());
  case wire::Envelope::kAck:
    return readAck(From.ack());
  case wire::Envelope::kPingRequest:
    return PingRequest{From.ping_request().sequence(),
                       HostName(From.ping_request().target())};
  case wire::Envelope::kSoftState:
    return readSoftState(From.soft_state());
  case wire::Envelope::kLoadReport:
    return read(From.load_report());
  case wire::Envelope::kForwardedAttempt:
    return read(From.forwarded_attempt());
  case wire::Envelope::kAttemptAnswer:
    return read(From.attempt_answer());
  case wire::Envelope::kCancelForwarded:
    return CancelForwarded{IncarnationId(From.cancel_forwarded().origin_life()),
                           AttemptId(From.cancel_forwarded().attempt())};
  case wire::Envelope::kWorkWanted:
    return WorkRequest{ServiceName(From.work_wanted().service()),
                       From.work_wanted().slots()};
  case wire::Envelope::kClaimCall:
    return ClaimCall{From.claim_call().correlation(),
                     read(From.claim_call().request()),
                     Duration(From.claim_call().remaining_us())};
  case wire::Envelope::kClaimAnswer:
    return readClaimAnswer(From.claim_answer());
  case wire::Envelope::kHandover:
    return read(From.handover());
  case wire::Envelope::kHandoverAck:
    return HandoverAck{IncarnationId(From.handover_ack().life())};
  case wire::Envelope::kConfigurationRequest:
    return ConfigurationRequest{
        readConfigurationId(From.configuration_request().mark())};
  case wire::Envelope::kConfigurationBytes:
    return ConfigurationBytes{
        readConfigurationId(From.configuration_bytes().mark()),
        From.configuration_bytes().bytes()};
  case wire::Envelope::kCrashReport:
    return CrashReport{readCrash(From.crash_report().notice())};
  case wire::Envelope::kCrashReportAck:
    return CrashReportAck{From.crash_report_ack().event_id()};
  case wire::Envelope::kAttemptAnswerAck:
    return AttemptAnswerAck{
        IncarnationId(From.attempt_answer_ack().origin_life()),
        AttemptId(From.attempt_answer_ack().attempt())};
  case wire::Envelope::kTableRequest:
    return required(readTableRequest(From.table_request()));
  case wire::Envelope::kTableRows:
    return required(readTableRows(From.table_rows()));
  case wire::Envelope::kViewSummary:
    return readViewSummary(From.view_summary());
  case wire::Envelope::kQuotaRequest:
    return readQuotaRequest(From.quota_request());
  case wire::Envelope::kQuotaGrant:
    return readQuotaGrant(From.quota_grant());
  case wire::Envelope::BODY_NOT_SET:
    break;
  }
  throw BadField();
}

} // namespace

std::string encode(const PeerMessage &Message) {
  wire::Envelope To;
  To.set_from(Message.From.value());
  To.set_from_life(Message.FromIncarnation.value());
  To.set_sequence(Message.Sequence);
  To.set_sent_at_us(Message.SentAt.time_since_epoch().count());
  std::visit([&To](const auto &Body) { write(Body, To); }, Message.Body);
  return To.SerializeAsString();
}

boost::outcome_v2::result<PeerMessage, std::error_code>
decode(std::string_view Bytes) {
  wire::Envelope From;
  if (!From.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return WireError::Malformed;
  if (From.from().empty())
    return WireError::BadField;
  try {
    PeerMessage To;
    To.From = HostName(From.from());
    To.FromIncarnation = IncarnationId(From.from_life());
    To.Sequence = From.sequence();
    To.SentAt = Instant(Duration(From.sent_at_us()));
    To.Body = readBody(From);
    return To;
  } catch (const BadField &) {
    return WireError::BadField;
  }
}

std::string encodeClaims(const std::vector<TransferredClaim> &Claims) {
  wire::Handover To;
  for (const TransferredClaim &Claim : Claims)
    write(Claim, *To.add_claims());
  return To.SerializeAsString();
}

boost::outcome_v2::result<std::vector<TransferredClaim>, std::error_code>
decodeClaims(std::string_view Bytes) {
  wire::Handover From;
  if (!From.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return WireError::Malformed;
  std::vector<TransferredClaim> Claims;
  for (const wire::HandedClaim &Claim : From.claims())
    Claims.push_back(read(Claim));
  return Claims;
}

} // namespace mimosacart
