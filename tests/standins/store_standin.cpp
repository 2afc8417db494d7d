#include "tests/standins/store_standin.h"

#include "platform/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace mimosacart {

namespace {

using Json = nlohmann::json;

/// Percent-decoding (RFC 3986, section 2.1).
std::string decodeText(const std::string &Text) {
  constexpr int Hexadecimal = 16;
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%') {
      Result += Text[At];
      continue;
    }
    Result += static_cast<char>(
        std::stoi(Text.substr(At + 1, 2), nullptr, Hexadecimal));
    At += 2;
  }
  return Result;
}

std::map<std::string, std::string> readQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    const std::size_t Equals = Pair.find('=');
    Result[Pair.substr(0, Equals)] =
        Equals == std::string::npos ? "" : decodeText(Pair.substr(Equals + 1));
    At = End;
  }
  return Result;
}

} // namespace

StoreStandin::StoreStandin(asio::io_context &Io)
    : Context(Io), Server(
                       Io, {},
                       [this](const HttpRequest &Request,
                              const std::shared_ptr<HttpExchange> &Exchange) {
                         onRequest(Request, Exchange);
                       },
                       [](NetError) {
                         return HttpResponse{400, {}, ""};
                       }) {}

bool StoreStandin::listen(const std::string &Address) {
  return Server.listen(Address).has_value();
}

std::uint64_t StoreStandin::put(const std::string &Table,
                                const std::string &Key,
                                const std::string &Value) {
  return write(Table, Key, {Value, 0, false});
}

std::uint64_t StoreStandin::remove(const std::string &Table,
                                   const std::string &Key) {
  return write(Table, Key, {"", 0, true});
}

std::uint64_t StoreStandin::write(const std::string &Table,
                                  const std::string &Key, Row Next) {
  Next.Version = ++Version;
  Changes.push_back({std::chrono::steady_clock::now(), Table, Key, Next});
  Tables[Table][Key] = std::move(Next);
  wakeFeeds();
  return Version;
}

void StoreStandin::forgetHistory() { HistoryFrom = Version + 1; }

void StoreStandin::replaceEraText(std::optional<std::string> Text) {
  IsEraTextReplaced = true;
  EraText = std::move(Text);
}

void StoreStandin::respond(HttpExchange &Exchange,
                           HttpResponse Response) const {
  std::optional<std::string> Text;
  if (IsEraTextReplaced)
    Text = EraText;
  else if (Era)
    Text = std::to_string(*Era);
  if (Text)
    Response.Headers.push_back({"Store-Era", *Text});
  Exchange.respond(std::move(Response));
}

void StoreStandin::goAway() {
  Mood = StoreMood::Refusing;
  for (const Feed &Each : std::exchange(Feeds, {})) {
    Each.Limit->cancel();
    respond(*Each.Exchange, {503, {}, ""});
  }
}

void StoreStandin::returnFromCopy(std::chrono::milliseconds Age) {
  const auto CopiedAt = std::chrono::steady_clock::now() - Age;
  const auto FirstLost = std::find_if(
      Changes.begin(), Changes.end(),
      [CopiedAt](const Change &Each) { return Each.At > CopiedAt; });
  returnFromVersion(FirstLost == Changes.end() ? Version
                                               : FirstLost->Result.Version - 1);
}

void StoreStandin::returnFromVersion(std::uint64_t CopyVersion) {
  std::erase_if(Changes, [CopyVersion](const Change &Each) {
    return Each.Result.Version > CopyVersion;
  });
  Tables.clear();
  for (const Change &Each : Changes)
    Tables[Each.Table][Each.Key] = Each.Result;
  Version = std::min(Version, CopyVersion);
  HistoryFrom = std::min(HistoryFrom, Version + 1);
  Era = Era.value_or(0) + 1;
  Mood = StoreMood::Sound;
}

std::string StoreStandin::listRows(const std::string &Table,
                                   std::uint64_t After,
                                   bool WithRemoved) const {
  Json Listed = Json::array();
  const auto Found = Tables.find(Table);
  if (Found != Tables.end())
    for (const auto &[Key, Each] : Found->second)
      if (Each.Version > After && (WithRemoved || !Each.Removed))
        Listed.push_back(toJson(Table, Key, Each));
  return Json({{"rows", Listed}, {"ver", Version}, {"hasMore", false}}).dump();
}

std::string StoreStandin::listPage(const std::string &Table,
                                   const std::string &From) const {
  Json Listed = Json::array();
  bool More = false;
  const auto Found = Tables.find(Table);
  if (Found != Tables.end())
    for (auto Row = Found->second.lower_bound(From);
         Row != Found->second.end() && !More; ++Row) {
      if (Row->second.Removed)
        continue;
      More = Listed.size() == PageRows;
      if (!More)
        Listed.push_back(toJson(Table, Row->first, Row->second));
    }
  return Json({{"rows", Listed}, {"ver", Version}, {"hasMore", More}}).dump();
}

Json StoreStandin::toJson(const std::string &Table, const std::string &Key,
                          const Row &From) {
  Json Result = {
      {"table", Table}, {"part", ""}, {"key", Key}, {"ver", From.Version}};
  if (From.Removed)
    Result["tombstone"] = true;
  else
    Result["value"] = toBase64(From.Value);
  return Result;
}

void StoreStandin::onRequest(const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
  ++Calls;
  if (Mood == StoreMood::Silent) {
    Silenced.push_back(Exchange);
    return;
  }
  if (Mood == StoreMood::Refusing) {
    respond(*Exchange, {503, {}, ""});
    return;
  }
  const bool Malformed =
      std::any_of(Request.Target.begin(), Request.Target.end(),
                  [](unsigned char Each) { return std::iscntrl(Each) != 0; });
  if (Malformed) {
    respond(*Exchange, {400, {}, ""});
    return;
  }
  const auto Query = readQuery(Request.Target);
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  if (Path == "/v1/rows-get")
    respond(*Exchange,
            {200, {}, listPage(Query.at("table"), Query.at("from"))});
  else if (Path == "/v1/rows-feed")
    onFeed(Query, Exchange);
  else if (Path == "/v1/rows-tx")
    onTransaction(Request.Body, Exchange);
  else
    respond(*Exchange, {404, {}, ""});
}

void StoreStandin::onFeed(const std::map<std::string, std::string> &Query,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  Feed Next;
  Next.Table = Query.at("table");
  Next.After = std::stoull(Query.at("after"));
  Next.Exchange = Exchange;
  if (Next.After + 1 < HistoryFrom || Next.After > Version) {
    respond(*Exchange, {410, {}, ""});
    return;
  }
  Next.Limit = std::make_shared<asio::steady_timer>(
      Context, std::chrono::milliseconds(std::stol(Query.at("waitMs"))));
  Next.Limit->async_wait([this, Exchange](boost::system::error_code Error) {
    if (Error)
      return;
    const auto Found =
        std::find_if(Feeds.begin(), Feeds.end(), [&](const Feed &Each) {
          return Each.Exchange == Exchange;
        });
    if (Found == Feeds.end())
      return;
    respond(*Exchange, {200, {}, listRows(Found->Table, Found->After, true)});
    Feeds.erase(Found);
  });
  Feeds.push_back(std::move(Next));
  wakeFeeds();
}

void StoreStandin::wakeFeeds() {
  if (Mood == StoreMood::Silent)
    return;
  std::erase_if(Feeds, [this](const Feed &Each) {
    const auto &Rows = Tables[Each.Table];
    const bool HasUpdates =
        std::any_of(Rows.begin(), Rows.end(), [&Each](const auto &Entry) {
          return Entry.second.Version > Each.After;
        });
    if (!HasUpdates)
      return false;
    Each.Limit->cancel();
    respond(*Each.Exchange, {200, {}, listRows(Each.Table, Each.After, true)});
    return true;
  });
}

void StoreStandin::onTransaction(
    const std::string &Body, const std::shared_ptr<HttpExchange> &Exchange) {
  const Json Wanted = Json::parse(Body);
  for (const Json &Row : Wanted.at("writes"))
    put(Row.at("table"), Row.at("key"), fromBase64(Row.at("value")));
  for (const Json &Row : Wanted.at("remove"))
    remove(Row.at("table"), Row.at("key"));
  if (Mood == StoreMood::LosesAnswers) {
    Silenced.push_back(Exchange);
    return;
  }
  respond(*Exchange, {200, {}, Json({{"ver", Version}}).dump()});
}

} // namespace mimosacart
