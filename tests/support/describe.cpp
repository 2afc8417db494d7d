#include "tests/support/describe.h"

#include <fmt/format.h>

namespace mimosacart {

namespace {

std::string line(const CallServer &Value) {
  return fmt::format("call_server call={} server={} target={} timeout_ms={} "
                     "reuse_idle={}",
                     Value.Call.Id.value(), Value.Call.Server.Name.value(),
                     Value.Call.Request->Target,
                     toMilliseconds(Value.Call.Timeout),
                     Value.Call.MayReuseIdle);
}

std::string line(const CancelCall &Value) {
  return fmt::format("cancel_call call={}", Value.Id.value());
}

std::string line(const ReplyToCaller &Value) {
  const Answer &Reply = *Value.Reply.Reply;
  const auto Refused = outcomeOf(Reply);
  return fmt::format("reply request={} status={} outcome={} reason={} body={}",
                     Value.Reply.Id.value(), Reply.Status,
                     Refused ? toString(*Refused) : "answered",
                     toString(Value.Reply.Reason), Refused ? "" : Reply.Body);
}

std::string line(const SendToPeer &Value) {
  std::string Detail;
  if (const auto *Given = std::get_if<ForwardedAttempt>(&Value.Message.Body))
    Detail = fmt::format(" attempt={} service={}", Given->Attempt.value(),
                         Given->Service.value());
  if (const auto *Answered = std::get_if<AttemptAnswer>(&Value.Message.Body))
    Detail = fmt::format(" attempt={}", Answered->Attempt.value());
  if (const auto *State = std::get_if<SoftState>(&Value.Message.Body))
    Detail = fmt::format(" members={} drains={} crashes={} generation={}",
                         State->Members.size(), State->Drains.size(),
                         State->Crashes.size(),
                         State->ConfigId ? State->ConfigId->Number.value() : 0);
  if (const auto *Claims = std::get_if<Handover>(&Value.Message.Body))
    Detail = fmt::format(" claims={}", Claims->Claims.size());
  return fmt::format("send to={} {}{}", Value.Address,
                     nameOf(Value.Message.Body), Detail);
}

std::string line(const FetchConfiguration &Value) {
  return fmt::format("fetch_configuration generation={}",
                     Value.ConfigId.Number.value());
}

std::string line(const WriteJournal &Value) {
  return fmt::format("write_journal epoch={} number={} claims={}",
                     Value.Segment.Epoch, Value.Segment.Number,
                     Value.Segment.Claims.size());
}

std::string line(const ReadJournal &Value) {
  return fmt::format("read_journal issuer={} key={}", Value.Token.Host.value(),
                     Value.Key);
}

std::string line(const ProbeServer &Value) {
  return fmt::format("probe server={}", Value.Server.Name.value());
}

std::string line(const LogEvent &Value) {
  std::string Result = "log " + Value.Name;
  for (const auto &[Key, Text] : Value.Fields)
    Result += fmt::format(" {}={}", Key, Text);
  return Result;
}

std::string line(const RecordSpan &Value) {
  std::string Result = "span " + Value.Value.Name;
  for (const auto &[Key, Text] : Value.Value.Fields)
    Result += fmt::format(" {}={}", Key, Text);
  return Result;
}

std::string line(const Stopped & /*Value*/) { return "stopped"; }

} // namespace

std::string describe(const Action &Value) {
  return std::visit([](const auto &Each) { return line(Each); }, Value);
}

} // namespace mimosacart
