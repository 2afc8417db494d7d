#include "tests/support/describe.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

std::string formatAction(const CallServer &Value) {
  return fmt::format("call_server call={} server={} target={} timeout_ms={} "
                     "reuse_idle={}",
                     Value.Call.Id.value(), Value.Call.Server.Name.value(),
                     Value.Call.Request->Target,
                     toMilliseconds(Value.Call.Timeout),
                     Value.Call.MayReuseIdle);
}

std::string formatAction(const CancelCall &Value) {
  return fmt::format("cancel_call call={}", Value.Id.value());
}

std::string formatAction(const ReplyToCaller &Value) {
  const Answer &Reply = *Value.Reply.Reply;
  const auto Outcome = outcomeOf(Reply);
  return fmt::format("reply request={} status={} outcome={} reason={} body={}",
                     Value.Reply.Id.value(), Reply.Status,
                     Outcome ? toString(*Outcome) : "answered",
                     toString(Value.Reply.Reason),
                     Outcome ? "" : Reply.Body.bytes());
}

std::string formatAction(const SendToPeer &Value) {
  std::string Detail;
  if (const auto *Attempt = std::get_if<ForwardedAttempt>(&Value.Message.Body))
    Detail = fmt::format(" attempt={} service={}", Attempt->Attempt.value(),
                         Attempt->Service.value());
  if (const auto *Result = std::get_if<AttemptAnswer>(&Value.Message.Body))
    Detail = fmt::format(" attempt={}", Result->Attempt.value());
  if (const auto *State = std::get_if<SoftState>(&Value.Message.Body))
    Detail = fmt::format(" members={} drains={} crashes={} generation={}",
                         State->Members.size(), State->Drains.size(),
                         State->Crashes.size(),
                         State->ConfigId ? State->ConfigId->Number.value() : 0);
  if (const auto *Transfer = std::get_if<Handover>(&Value.Message.Body))
    Detail = fmt::format(" claims={}", Transfer->Claims.size());
  return fmt::format("send to={} {}{}", Value.Address,
                     nameOf(Value.Message.Body), Detail);
}

std::string formatAction(const FetchConfiguration &Value) {
  return fmt::format("fetch_configuration generation={}",
                     Value.ConfigId.Number.value());
}

std::string formatAction(const WriteJournal &Value) {
  return fmt::format("write_journal epoch={} number={} claims={}",
                     Value.Segment.Epoch, Value.Segment.Number,
                     Value.Segment.Claims.size());
}

std::string formatAction(const ReadJournal &Value) {
  return fmt::format("read_journal issuer={} key={}", Value.Token.Host.value(),
                     Value.Key);
}

std::string formatAction(const ProbeServer &Value) {
  return fmt::format("probe server={}", Value.Server.Name.value());
}

std::string formatAction(const LogEvent &Value) {
  std::string Result = "log " + Value.Name;
  for (const auto &[Key, Text] : Value.Fields)
    Result += fmt::format(" {}={}", Key, Text);
  return Result;
}

std::string formatAction(const RecordSpan &Value) {
  std::string Result = "span " + Value.Value.Name;
  for (const auto &[Key, Text] : Value.Value.Fields)
    Result += fmt::format(" {}={}", Key, Text);
  return Result;
}

std::string formatAction(const Stopped & /*Value*/) { return "stopped"; }

} // namespace

std::string describe(const Action &Value) {
  return std::visit(
      [](const auto &Alternative) { return formatAction(Alternative); }, Value);
}

} // namespace mimosacart
