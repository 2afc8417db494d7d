#include "settings/configuration_file.h"

#include <fmt/format.h>

#include <map>
#include <set>

namespace mimosacart {

namespace {

constexpr IntegerRange SlotRange{1, 10'000};
constexpr IntegerRange ConnectionRange{1, 1'000'000};
constexpr IntegerRange DeadlineMsRange{1, 300'000};
constexpr IntegerRange RetryRange{0, 10};

PriorityClass priorityOf(const std::string &Text) {
  if (Text == "high")
    return PriorityClass::High;
  if (Text == "low")
    return PriorityClass::Low;
  return PriorityClass::Normal;
}

/// Names and routes that may be used once in a file.
struct SeenNames {
  std::set<std::string> Services;
  std::set<std::string> Servers;
  std::set<std::string> Addresses;
  std::set<std::string> Routes;
};

std::string readName(TableReader &Reader, std::set<std::string> &Seen) {
  std::string Name = Reader.requiredText("name");
  if (Name.empty())
    return Name;
  if (!isName(Name))
    Reader.fail("name", fmt::format("found \"{}\", expected up to 63 letters, "
                                    "digits, '-' and '_'",
                                    Name));
  else if (!Seen.insert(Name).second)
    Reader.fail("name", fmt::format("\"{}\" is used twice", Name));
  return Name;
}

BackendServer readServer(TableReader &Reader, SeenNames &Seen) {
  BackendServer Result;
  Result.Name = ServerName(readName(Reader, Seen.Servers));
  Result.Address = Reader.requiredAddress("address");
  if (!Result.Address.empty() && !Seen.Addresses.insert(Result.Address).second)
    Reader.fail("address", fmt::format("\"{}\" is used twice", Result.Address));
  Result.DataCentre = Reader.requiredText("data_centre");
  Result.Slots =
      static_cast<unsigned>(Reader.requiredInteger("slots", SlotRange));
  Result.Connections = static_cast<unsigned>(
      Reader.requiredInteger("connections", ConnectionRange));
  Reader.finish();
  return Result;
}

void checkRoute(TableReader &Reader, const RequestKind &Kind, SeenNames &Seen) {
  if (Kind.Path.empty() || Kind.Method.empty())
    return;
  if (Kind.Path.front() != '/')
    Reader.fail("path", fmt::format("found \"{}\", expected a path that "
                                    "begins with '/'",
                                    Kind.Path));
  if (Kind.Path.rfind("/*", 0) == 0)
    Reader.fail("path", "the first segment must not be '*'");
  if (Kind.Path.rfind("/v1/entries", 0) == 0)
    Reader.fail("path", "\"/v1/entries\" belongs to the entry hosts");
  if (!Seen.Routes.insert(Kind.Method + ' ' + Kind.Path).second)
    Reader.fail("path",
                fmt::format("\"{} {}\" is used twice", Kind.Method, Kind.Path));
}

RequestKind readKind(TableReader &Reader, std::set<std::string> &KindNames,
                     SeenNames &Seen) {
  RequestKind Result;
  Result.Name = readName(Reader, KindNames);
  Result.Method = Reader.choiceOr(
      "method", "GET", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
  Result.Path = Reader.requiredText("path");
  Result.Idempotent = Reader.requiredBoolean("idempotent");
  Result.Deadline = std::chrono::milliseconds(
      Reader.requiredInteger("deadline_ms", DeadlineMsRange));
  Result.Priority = priorityOf(
      Reader.choiceOr("priority", "normal", {"high", "normal", "low"}));
  Result.Retries =
      static_cast<unsigned>(Reader.integerOr("retries", 0, RetryRange));
  Result.Hedge = Reader.booleanOr("hedge", false);
  if (!Result.Idempotent && Result.Retries > 0)
    Reader.fail("retries", "must be 0 unless idempotent = true");
  if (!Result.Idempotent && Result.Hedge)
    Reader.fail("hedge", "must be false unless idempotent = true");
  checkRoute(Reader, Result, Seen);
  Reader.finish();
  return Result;
}

Service readService(TableReader &Reader, SeenNames &Seen) {
  Service Result;
  Result.Name = ServiceName(readName(Reader, Seen.Services));
  for (TableReader &Server : Reader.requiredTables("server"))
    Result.Servers.push_back(readServer(Server, Seen));
  std::set<std::string> KindNames;
  for (TableReader &Kind : Reader.requiredTables("kind"))
    Result.Kinds.push_back(readKind(Kind, KindNames, Seen));
  Reader.finish();
  return Result;
}

template <typename T, typename Id>
void compareNamed(const std::string &What, const std::vector<T> &Before,
                  const std::vector<T> &After, Id IdOf,
                  std::vector<std::string> &Lines) {
  std::map<std::string, const T *> Old;
  for (const T &Item : Before)
    Old[IdOf(Item)] = &Item;
  for (const T &Item : After) {
    const auto Found = Old.find(IdOf(Item));
    if (Found == Old.end()) {
      Lines.push_back(fmt::format("add {} {}", What, IdOf(Item)));
      continue;
    }
    if (!(*Found->second == Item))
      Lines.push_back(fmt::format("change {} {}", What, IdOf(Item)));
    Old.erase(Found);
  }
  for (const auto &[Name, Item] : Old)
    Lines.push_back(fmt::format("remove {} {}", What, Name));
}

} // namespace

Checked<Configuration> parseConfiguration(std::string_view Text,
                                          const std::string &File) {
  const Checked<toml::table> Parsed = parseToml(Text, File);
  if (Parsed.has_error())
    return Parsed.error();
  FieldErrors Errors;
  TableReader Root(File, "", Parsed.value(), Errors);
  SeenNames Seen;
  Configuration Result;
  for (TableReader &Reader : Root.requiredTables("service"))
    Result.Services.push_back(readService(Reader, Seen));
  Root.finish();
  if (!Errors.empty())
    return Errors;
  return Result;
}

std::vector<std::string> describeChanges(const Configuration &Before,
                                         const Configuration &After) {
  std::vector<std::string> Lines;
  std::map<ServiceName, const Service *> Old;
  for (const Service &Subject : Before.Services)
    Old[Subject.Name] = &Subject;
  for (const Service &Subject : After.Services) {
    const auto Found = Old.find(Subject.Name);
    if (Found == Old.end()) {
      Lines.push_back(fmt::format("add service {}", Subject.Name.value()));
      continue;
    }
    const std::string Prefix = Subject.Name.value() + '/';
    compareNamed(
        "server", Found->second->Servers, Subject.Servers,
        [&](const BackendServer &S) { return Prefix + S.Name.value(); }, Lines);
    compareNamed(
        "kind", Found->second->Kinds, Subject.Kinds,
        [&](const RequestKind &K) { return Prefix + K.Name; }, Lines);
    Old.erase(Found);
  }
  for (const auto &[Name, Subject] : Old)
    Lines.push_back(fmt::format("remove service {}", Name.value()));
  return Lines;
}

} // namespace mimosacart
