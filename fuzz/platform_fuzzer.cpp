/// \file
/// Input from the platform: any row, request or response is either decoded or
/// reported as unusable. The first byte selects the decoder for the rest.
#include "platform/base64.h"
#include "platform/http_codec.h"
#include "platform/row_codec.h"

#include <cstdint>
#include <cstdlib>
#include <stdexcept>

namespace {

using namespace mimosacart;

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

bool isInRange(Duration Time) {
  return Time >= Duration::zero() && Time <= std::chrono::hours(24 * 366);
}

void readConfigurationRow(const std::string &Text) {
  const auto Read = readConfiguration({"config", 1, false, Text});
  const auto *Usable = std::get_if<RouteConfigurationPtr>(&Read);
  if (Usable == nullptr)
    return;
  require(*Usable != nullptr);
  for (const HostRoute &Route : (*Usable)->Routes) {
    require(!Route.Services.empty());
    require(isInRange(Route.Timeout) && isInRange(Route.Objective));
  }
}

void readServerRow(const std::string &Text) {
  const auto Read = readServer({"a", 1, false, Text});
  if (const auto *Server = std::get_if<DiscoveredServer>(&Read))
    require(isInRange(Server->WarmUpLeft) && Server->Slots > 0);
}

void readBase64(const std::string &Text) {
  try {
    (void)fromBase64(Text);
  } catch (const std::invalid_argument &) { // Documented for invalid text.
  }
  require(fromBase64(toBase64(Text)) == Text);
}

/// Parses header lines, an empty line and the body.
HttpResponse readResponse(const std::string &Text) {
  HttpResponse Response{200, {}, ""};
  std::size_t Position = 0;
  while (Position < Text.size()) {
    const std::size_t End = std::min(Text.find('\n', Position), Text.size());
    const std::string Line = Text.substr(Position, End - Position);
    Position = End + 1;
    if (Line.empty())
      break;
    const std::size_t Colon = std::min(Line.find(':'), Line.size());
    Response.Headers.push_back(
        {Line.substr(0, Colon), Line.substr(std::min(Colon + 1, Line.size()))});
  }
  Response.Body = Text.substr(std::min(Position, Text.size()));
  return Response;
}

void readExchange(const std::string &Text) {
  const HttpResponse Response = readResponse(Text);
  const ServerCallResult CallResult = readServerAnswer(Response);
  require(CallResult.End == CallEnd::Answered && CallResult.Answer.Reply);
  (void)readProbe(Response);
  FlowResult Result;
  Result.Reply = CallResult.Answer.Reply;
  require(writeCallerAnswer(Result).Body == Response.Body);
  const RequestPtr Request =
      readCallerRequest({"GET", "/", Response.Headers, Response.Body, "a"});
  if (Request->Timeout)
    require(isInRange(*Request->Timeout));
  DirectCall Call;
  Call.Request = Request;
  const HttpCall ServerCall = writeServerCall(Call);
  require(ServerCall.Request.Body == Response.Body);
  (void)ServerCall.Accept(Response);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput( // NOLINT: required by libFuzzer.
    const std::uint8_t *Data, std::size_t Size) {
  if (Size == 0)
    return 0;
  const std::string Text(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  switch (Data[0]) {
  case 'c':
    readConfigurationRow(Text);
    break;
  case 's':
    readServerRow(Text);
    break;
  case 'h':
    (void)readHost({"a", 1, false, Text});
    break;
  case 'b':
    readBase64(Text);
    break;
  default:
    readExchange(Text);
  }
  return 0;
}
