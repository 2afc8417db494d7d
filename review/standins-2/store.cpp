#include "store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxPageRows = 500;

std::string encodeBase64(const std::string &Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    unsigned Group = 0;
    for (std::size_t Next = At; Next < At + 3; ++Next)
      Group =
          Group << 8U |
          (Next < Bytes.size() ? static_cast<unsigned char>(Bytes[Next]) : 0U);
    for (unsigned Digit = 0; Digit < 4; ++Digit)
      Result += At + Digit > Bytes.size()
                    ? '='
                    : Digits[Group >> (18U - 6U * Digit) & 63U];
  }
  return Result;
}

std::string percentDecode(const std::string &Text) {
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%' || At + 2 >= Text.size()) {
      Result += Text[At];
      continue;
    }
    Result += static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
    At += 2;
  }
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  std::size_t At = Target.find('?');
  while (At != Target.npos) {
    const std::size_t End = std::min(Target.find('&', At + 1), Target.size());
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    Result[Pair.substr(0, Equals)] =
        Equals < Pair.size() ? percentDecode(Pair.substr(Equals + 1)) : "";
    At = End < Target.size() ? End : Target.npos;
  }
  return Result;
}

} // namespace

bool Store::listen(const Endpoint &Local) {
  return serveConnections(Local, [this](Connection &Caller) { serve(Caller); });
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  ++Version;
  write({Table, Key, encodeBase64(Value), Version, false});
}

void Store::write(Row Next) {
  Next.Version = Version;
  if (Next.Removed)
    Tables[Next.Table].erase(Next.Key);
  else
    Tables[Next.Table][Next.Key] = Next;
  History.push_back(std::move(Next));
  Changed.notify_all();
}

void Store::serve(Connection &Caller) {
  MessageHead Head;
  std::string Body;
  while (Caller.readHead(Head) && Caller.readBody(Head.contentLength(), Body)) {
    const std::string Text = answer(Head.Second, Body);
    if (!Caller.writeAll("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Text.size()) + "\r\n\r\n" + Text))
      return;
  }
}

std::string Store::answer(const std::string &Target, const std::string &Body) {
  if (Target.starts_with("/v1/rows-get"))
    return listRows(parseQuery(Target));
  if (Target.starts_with("/v1/rows-feed"))
    return awaitChanges(parseQuery(Target));
  return transact(Body);
}

std::string Store::render(const std::vector<Row> &Rows) const {
  Json List = Json::array();
  for (const Row &Each : Rows) {
    Json Fields = {{"table", Each.Table},
                   {"part", ""},
                   {"key", Each.Key},
                   {"ver", Each.Version}};
    if (Each.Removed)
      Fields["tombstone"] = true;
    else
      Fields["value"] = Each.Value;
    List.push_back(std::move(Fields));
  }
  return Json{{"rows", List},
              {"ver", Version},
              {"now", std::chrono::duration<double>(
                          std::chrono::steady_clock::now().time_since_epoch())
                          .count()},
              {"hasMore", false}}
      .dump();
}

std::string Store::listRows(const Query &Wanted) {
  const std::lock_guard Lock(Mutex);
  const auto From = Wanted.find("from");
  std::vector<Row> Rows;
  for (const auto &[Key, Each] : Tables[Wanted.at("table")])
    if ((From == Wanted.end() || Key >= From->second) &&
        Rows.size() < MaxPageRows)
      Rows.push_back(Each);
  return render(Rows);
}

std::string Store::awaitChanges(const Query &Wanted) {
  std::unique_lock Lock(Mutex);
  const std::uint64_t After = std::stoull(Wanted.at("after"));
  const auto Until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::stol(Wanted.at("waitMs")));
  std::vector<Row> Rows;
  const auto Find = [&] {
    Rows.clear();
    std::copy_if(History.begin(), History.end(), std::back_inserter(Rows),
                 [&](const Row &Each) {
                   return Each.Version > After &&
                          Each.Table == Wanted.at("table");
                 });
    return !Rows.empty();
  };
  Changed.wait_until(Lock, Until, Find);
  return render(Rows);
}

std::string Store::transact(const std::string &Body) {
  const Json Entries = Json::parse(Body);
  const std::lock_guard Lock(Mutex);
  ++Version;
  for (const Json &Each : Entries.value("writes", Json::array()))
    write({Each.at("table"), Each.at("key"), Each.at("value"), Version, false});
  for (const Json &Each : Entries.value("remove", Json::array()))
    if (Tables[Each.at("table")].contains(Each.at("key")))
      write({Each.at("table"), Each.at("key"), "", Version, true});
  return render({});
}

} // namespace review
