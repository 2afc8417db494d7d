#include "platform/http_codec.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

using namespace std::chrono_literals;

const std::string *findHeader(const std::vector<HeaderField> &Headers,
                              const char *Name) {
  return findField(Headers, Name);
}

HttpRequest makeRequest() {
  return {"POST",
          "/a/b?c=d",
          {{"Host", "x.example"},
           {"X-Request-Id", "id-1"},
           {"X-Deadline-Ms", "2500"},
           {"X-Expect-Instance", "forged"},
           {"Connection", "keep-alive"},
           {"Accept", "text/plain"}},
          "body",
          "10.0.0.7"};
}

DirectCall makeCall() {
  DirectCall Call;
  Call.Server.Id = ServerName("i-9");
  Call.Server.Address = "10.1.1.1:80";
  Call.Request = readCallerRequest(makeRequest());
  Call.Remaining = 1234ms;
  Call.Timeout = 1500ms;
  return Call;
}

TEST(HttpCodecTest, readCallerRequest_platformHeaders_becomeFields) {
  const RequestPtr Read = readCallerRequest(makeRequest());
  EXPECT_EQ(Read->TraceId, "id-1");
  EXPECT_EQ(Read->Timeout, 2500ms);
  EXPECT_EQ(Read->Caller, "10.0.0.7");
  EXPECT_EQ(findHeader(Read->Headers, "X-Expect-Instance"), nullptr);
  EXPECT_EQ(findHeader(Read->Headers, "Connection"), nullptr);
  EXPECT_EQ(*findHeader(Read->Headers, "Accept"), "text/plain");
}

TEST(HttpCodecTest, readCallerRequest_invalidDeadline_isIgnored) {
  HttpRequest Request = makeRequest();
  Request.Headers[2].Value = "soon";
  EXPECT_EQ(readCallerRequest(Request)->Timeout, std::nullopt);
}

TEST(HttpCodecTest, readCallerRequest_deadlineOutOfRange_isClamped) {
  HttpRequest Request = makeRequest();
  Request.Headers[2].Value = "9223372036854775807";
  const auto Read = readCallerRequest(Request)->Timeout;
  ASSERT_TRUE(Read.has_value());
  EXPECT_GE(*Read, 24h);
  EXPECT_LE(*Read, 24h * 366);
}

TEST(HttpCodecTest, writeServerCall_request_onlyGainsPlatformHeaders) {
  const HttpCall Call = writeServerCall(makeCall());
  EXPECT_EQ(Call.Request.Method, "POST");
  EXPECT_EQ(Call.Request.Target, "/a/b?c=d");
  EXPECT_EQ(Call.Request.Body, "body");
  EXPECT_EQ(*findHeader(Call.Request.Headers, "Host"), "x.example");
  EXPECT_EQ(*findHeader(Call.Request.Headers, "X-Request-Id"), "id-1");
  EXPECT_EQ(*findHeader(Call.Request.Headers, "X-Deadline-Ms"), "1234");
  EXPECT_EQ(*findHeader(Call.Request.Headers, "X-Expect-Instance"), "i-9");
}

TEST(HttpCodecTest, writeServerCall_responseToAnotherRequest_isNotAccepted) {
  const HttpCall Call = writeServerCall(makeCall());
  EXPECT_TRUE(Call.Accept({200, {{"X-Request-Id", "id-1"}}, ""}));
  EXPECT_FALSE(Call.Accept({200, {{"X-Request-Id", "id-0"}}, ""}));
  EXPECT_FALSE(Call.Accept({200, {}, ""}));
  EXPECT_TRUE(Call.Accept({503, {{"X-Not-Executed", "1"}}, ""}));
}

TEST(HttpCodecTest, readServerAnswer_loadHeader_isReadWithOrWithoutSlowness) {
  const auto LoadOf = [](const std::string &Text) {
    return readServerAnswer(HttpResponse{200, {{"X-Server-Load", Text}}, ""})
        .Answer.Load;
  };
  EXPECT_EQ(LoadOf("3,1,8,700"), (ServerLoad{3, 1, 8, 700}));
  EXPECT_EQ(LoadOf("3, 0, 8"), (ServerLoad{3, 0, 8, 100}));
  for (const char *Text : {"", "3", "3,1", "a,b,c", "3,-1,8", "3,,8"})
    EXPECT_EQ(LoadOf(Text), std::nullopt) << Text;
}

TEST(HttpCodecTest, readServerAnswer_notRunOrWrongServer_isReported) {
  EXPECT_TRUE(readServerAnswer(HttpResponse{503, {{"X-Not-Executed", "1"}}, ""})
                  .Answer.NotRun);
  EXPECT_FALSE(readServerAnswer(HttpResponse{503, {}, ""}).Answer.NotRun);
  EXPECT_TRUE(readServerAnswer(HttpResponse{421, {}, ""}).Answer.WrongServer);
}

// Guards against a refusal of ours for work that runs: bytes without an id that
// come late may belong to an earlier call on the connection.
TEST(HttpCodecTest,
     readServerAnswer_refusalWithoutIdAfterOtherCalls_isNoProof) {
  const ConnectionUse First{1, 0};
  const ConnectionUse Later{1, 1};
  const std::vector<HeaderField> Refused = {{"X-Not-Executed", "1"}};
  const std::vector<HeaderField> RefusedWithId = {{"X-Not-Executed", "1"},
                                                  {"X-Request-Id", "a"}};
  const auto Read = [](unsigned Status, const std::vector<HeaderField> &Headers,
                       ConnectionUse Use) {
    return readServerAnswer(HttpResponse{Status, Headers, "", Use}).Answer;
  };
  EXPECT_FALSE(Read(503, Refused, Later).NotRun);
  EXPECT_FALSE(Read(421, {}, Later).WrongServer);
  EXPECT_TRUE(Read(503, Refused, First).NotRun);
  EXPECT_TRUE(Read(421, {}, First).WrongServer);
  EXPECT_TRUE(Read(503, RefusedWithId, Later).NotRun);
  EXPECT_TRUE(Read(421, RefusedWithId, Later).WrongServer);
}

ServerWishes readWishesOf(unsigned Status, std::vector<HeaderField> Headers) {
  return readServerAnswer(HttpResponse{Status, std::move(Headers), ""})
      .Answer.Wishes;
}

TEST(HttpCodecTest, readServerAnswer_wishes_areDecoded) {
  EXPECT_EQ(readWishesOf(200, {{"Server-Limit", "2.5"}}),
            (ServerWishes{2.5, false, {}, false}));
  EXPECT_EQ(readWishesOf(200, {{"server-leaving", "1"}}),
            (ServerWishes{{}, true, {}, false}));
  EXPECT_EQ(readWishesOf(503, {{"Retry-After", "1.5"}}),
            (ServerWishes{{}, false, 1500ms, false}));
  // Only a refusal asks for a pause.
  EXPECT_EQ(readWishesOf(200, {{"Retry-After", "1.5"}}), ServerWishes());
}

// Guards against values that take a server out for ever or end the process.
TEST(HttpCodecTest, readServerAnswer_unusableWishes_areIgnoredAndMarked) {
  const ServerWishes Ignored{{}, false, {}, true};
  for (const char *Value :
       {"", "-1", "nan", "inf", "1e300", "many", "1,5", "0x10", "2 3",
        "99999999999999999999", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    EXPECT_EQ(readWishesOf(200, {{"Server-Limit", Value}}), Ignored) << Value;
    EXPECT_EQ(readWishesOf(200, {{"Server-Leaving", Value}}), Ignored) << Value;
    EXPECT_EQ(readWishesOf(503, {{"Retry-After", Value}}), Ignored) << Value;
  }
  EXPECT_EQ(readWishesOf(503, {{"Retry-After", "1"}, {"Retry-After", "1"}}),
            Ignored);
}

// Guards against sending without a limit to a server whose limit comes twice,
// as a proxy may repeat it.
TEST(HttpCodecTest, readServerAnswer_severalLimits_lowestCountsAndIsMarked) {
  const ServerWishes Lowest{1.5, false, {}, true};
  EXPECT_EQ(readWishesOf(200, {{"Server-Limit", "1.5"}, {"Server-Limit", "9"}}),
            Lowest);
  EXPECT_EQ(
      readWishesOf(503, {{"Server-Limit", "1.5"}, {"server-limit", "1.5"}}),
      Lowest);
  EXPECT_EQ(
      readWishesOf(500, {{"Server-Limit", "many"}, {"Server-Limit", "1.5"}}),
      Lowest);
}

TEST(HttpCodecTest, readServerAnswer_encodedBody_isNotSigned) {
  const HttpResponse Signed{200, {{"X-Response-Stamp", "s"}}, ""};
  HttpResponse Encoded = Signed;
  Encoded.Headers.push_back({"Content-Encoding", "gzip"});
  EXPECT_TRUE(readServerAnswer(Signed).Answer.Signed);
  EXPECT_FALSE(readServerAnswer(Encoded).Answer.Signed);
  EXPECT_FALSE(readServerAnswer(HttpResponse{200, {}, ""}).Answer.Signed);
}

TEST(HttpCodecTest, readServerAnswer_networkErrors_becomeCallEnds) {
  const auto EndOf = [](NetError Error) {
    return readServerAnswer(make_error_code(Error)).End;
  };
  EXPECT_EQ(EndOf(NetError::ConnectFailed), CallEnd::NotSent);
  EXPECT_EQ(EndOf(NetError::TimedOut), CallEnd::TimedOut);
  EXPECT_EQ(EndOf(NetError::Broken), CallEnd::Broken);
  EXPECT_EQ(EndOf(NetError::Malformed), CallEnd::Broken);
}

TEST(HttpCodecTest, writeCallerAnswer_refusal_statusFollowsOutcomeAndReason) {
  const auto StatusOf = [](RefusalOutcome Outcome, RefusalReason Reason) {
    FlowResult Result;
    Result.Refused = {Outcome, Reason, 250ms};
    return writeCallerAnswer(Result).Status;
  };
  EXPECT_EQ(StatusOf(RefusalOutcome::NotRun, RefusalReason::Overloaded), 503U);
  EXPECT_EQ(StatusOf(RefusalOutcome::NotRun, RefusalReason::NoConfiguration),
            503U);
  EXPECT_EQ(StatusOf(RefusalOutcome::NotRun, RefusalReason::ServerTimeout),
            503U);
  EXPECT_EQ(StatusOf(RefusalOutcome::Unknown, RefusalReason::ServerTimeout),
            504U);
  EXPECT_EQ(StatusOf(RefusalOutcome::Unknown, RefusalReason::ServerBroke),
            502U);
  EXPECT_EQ(StatusOf(RefusalOutcome::Unknown, RefusalReason::Overloaded), 502U);
  EXPECT_EQ(StatusOf(RefusalOutcome::NotRun, RefusalReason::NoRoute), 404U);
}

TEST(HttpCodecTest, writeCallerAnswer_notRun_sendsRetryAfter) {
  FlowResult Result;
  Result.Refused = {RefusalOutcome::NotRun, RefusalReason::Overloaded, 250ms};
  const HttpResponse Response = writeCallerAnswer(Result);
  EXPECT_EQ(*findHeader(Response.Headers, "Retry-After"), "0.250");
}

TEST(HttpCodecTest,
     writeCallerAnswer_serverAnswer_keepsSignatureButNoOtherPlatformHeader) {
  FlowResult Result;
  Result.Reply =
      std::make_shared<const Answer>(Answer{500,
                                            {{"X-Response-Stamp", "s"},
                                             {"X-Server-Load", "1,0,2"},
                                             {"X-Instance-Id", "i"},
                                             {"Keep-Alive", "timeout=10"},
                                             {"Content-Type", "text/plain"}},
                                            "b"});
  const HttpResponse Response = writeCallerAnswer(Result);
  EXPECT_EQ(Response.Status, 500U);
  EXPECT_EQ(Response.Body, "b");
  EXPECT_EQ(Response.Headers,
            (std::vector<HeaderField>{{"X-Response-Stamp", "s"},
                                      {"Content-Type", "text/plain"}}));
}

TEST(HttpCodecTest, writeDirectory_hosts_areListedWithLifetime) {
  const HttpResponse Response = writeDirectory({"10.0.0.1:80"}, 1500ms, 9);
  EXPECT_EQ(Response.Body, R"({"addrs":["10.0.0.1:80"],"ttl":"1500ms"})");
  EXPECT_EQ(writeDirectory({}, 1s, 1).Status, 503U);
  const std::vector<std::string> Addresses(100, "10.0.0.1:80");
  EXPECT_LT(writeDirectory(Addresses, 1s, 1).Body.size(), 64 * 15 + 40U);
}

// Guards against a destination that is not recognized as it is escaped, and
// against a caller whose odd query gets no list.
TEST(HttpCodecTest, readDirectoryQuery_parameters_areDecoded) {
  const DirectoryQuery Query = readDirectoryQuery(
      "/v1/resolve?name=a%2Dx.example&zone=north-a&region=north&other=1&x");
  EXPECT_EQ(Query.Destination, "a-x.example");
  EXPECT_EQ(Query.Region, "north");
  EXPECT_EQ(Query.DataCentre, "north-a");
  EXPECT_EQ(readDirectoryQuery("/v1/resolve").Destination, "");
  EXPECT_EQ(readDirectoryQuery("/v1/resolve?").Destination, "");
  EXPECT_EQ(readDirectoryQuery("/v1/resolve?name=%").Destination, "%");
  EXPECT_EQ(readDirectoryQuery("/?name=%4").Destination, "%4");
  EXPECT_EQ(readDirectoryQuery("/?name=%zz%41&&=&name").Destination, "%zzA");
}

// Guards against a process that ends because another host names an address that
// is not UTF-8.
TEST(HttpCodecTest, writeDirectory_addressNotUtf8_othersAreListed) {
  const HttpResponse Response =
      writeDirectory({"10.0.0.1:80", "\xff"}, std::chrono::seconds(1), 0);
  EXPECT_NE(Response.Body.bytes().find("10.0.0.1:80"), std::string::npos);
}

TEST(HttpCodecTest, writeDirectory_longList_isCoveredByConsecutiveResponses) {
  std::vector<std::string> Addresses;
  for (unsigned Number = 0; Number < 150; ++Number)
    Addresses.push_back("10.0.0." + std::to_string(Number) + ":80");
  std::string Bodies;
  for (std::uint64_t ResponseNumber = 7; ResponseNumber < 10; ++ResponseNumber)
    Bodies += writeDirectory(Addresses, 1s, ResponseNumber).Body.bytes();
  for (const std::string &Address : Addresses)
    EXPECT_NE(Bodies.find('"' + Address + '"'), std::string::npos) << Address;
}

TEST(HttpCodecTest, readProbe_response_givesHealthAndServer) {
  const ProbeResult Probe = readProbe(HttpResponse{
      200, {{"X-Instance-Id", "i-1"}, {"X-Server-Load", "0,0,2,100"}}, ""});
  EXPECT_TRUE(Probe.Answered);
  EXPECT_TRUE(Probe.Healthy);
  EXPECT_EQ(Probe.Server, ServerName("i-1"));
  EXPECT_FALSE(readProbe(HttpResponse{503, {}, ""}).Healthy);
  EXPECT_FALSE(readProbe(make_error_code(NetError::Broken)).Answered);
}

CallerKey readKeyOf(const std::vector<std::string> &Values) {
  HttpRequest Request = makeRequest();
  for (const std::string &Value : Values)
    Request.Headers.push_back({"authorization", Value});
  return readCallerRequest(Request)->WorkspaceKey;
}

// Guards against a key that is guessed from a header that others read
// differently.
TEST(HttpCodecTest, readCallerRequest_notExactlyOneKey_isMalformed) {
  EXPECT_EQ(readKeyOf({}), CallerKey{});
  EXPECT_EQ(readKeyOf({"Bearer k-1"}).Digest, digestKey("k-1"));
  for (const char *Value :
       {"", "Bearer", "Bearer ", "Bearer  k-1", "Basic k-1", "bearer k-1",
        "Bearer k 1", "Bearer k-1, k-2", "Bearer\tk-1", "k-1"}) {
    EXPECT_TRUE(readKeyOf({Value}).Malformed) << Value;
    EXPECT_FALSE(readKeyOf({Value}).Digest) << Value;
  }
  const CallerKey Twice = readKeyOf({"Bearer k-1", "Bearer k-1"});
  EXPECT_TRUE(Twice.Malformed);
  EXPECT_FALSE(Twice.Digest);
}

// Guards against a caller's key or forged workspace that reaches a server.
TEST(HttpCodecTest, writeServerCall_keyIsReplaced_serverGetsWorkspaceOnly) {
  HttpRequest Request = makeRequest();
  Request.Headers.push_back({"Authorization", "Bearer k-1"});
  Request.Headers.push_back({"x-tenant-id", "forged"});
  DirectCall Call = makeCall();
  Call.Request = readCallerRequest(Request);
  Call.ReplacesKey = true;
  HttpCall Written = writeServerCall(Call);
  EXPECT_EQ(findHeader(Written.Request.Headers, "Authorization"), nullptr);
  EXPECT_EQ(findHeader(Written.Request.Headers, "X-Tenant-Id"), nullptr);
  Workspace Owner;
  Owner.Name = "labs";
  Call.Workspace = std::make_shared<const Workspace>(Owner);
  Written = writeServerCall(Call);
  EXPECT_EQ(*findHeader(Written.Request.Headers, "X-Tenant-Id"), "labs");
}

// Guards the deployments without workspaces, where the field is the servers'.
TEST(HttpCodecTest, writeServerCall_keyIsNotOurs_isPassedOn) {
  HttpRequest Request = makeRequest();
  Request.Headers.push_back({"Authorization", "Bearer k-1"});
  DirectCall Call = makeCall();
  Call.Request = readCallerRequest(Request);
  EXPECT_EQ(*findHeader(writeServerCall(Call).Request.Headers, "Authorization"),
            "Bearer k-1");
}

TEST(HttpCodecTest, writeCallerAnswer_keyAndQuota_haveTheirStatus) {
  FlowResult Result;
  for (const RefusalReason Reason :
       {RefusalReason::KeyMissing, RefusalReason::KeyMalformed,
        RefusalReason::KeyUnknown}) {
    Result.Refused = {RefusalOutcome::NotRun, Reason, {}};
    const HttpResponse Written = writeCallerAnswer(Result);
    EXPECT_EQ(Written.Status, 401U);
    EXPECT_NE(findHeader(Written.Headers, "WWW-Authenticate"), nullptr);
  }
  Result.Refused = {RefusalOutcome::NotRun, RefusalReason::OverQuota, 250ms};
  const HttpResponse Written = writeCallerAnswer(Result);
  EXPECT_EQ(Written.Status, 429U);
  EXPECT_EQ(*findHeader(Written.Headers, "Retry-After"), "0.250");
}

} // namespace
} // namespace mimosacart
