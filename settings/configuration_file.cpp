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

PriorityClass parsePriority(const std::string &Text) {
  if (Text == "high")
    return PriorityClass::High;
  if (Text == "low")
    return PriorityClass::Low;
  return PriorityClass::Normal;
}

/// Names, addresses and routes found so far, each of which must be unique in a
/// file.
struct UniqueNames {
  std::set<std::string> Services;
  std::set<std::string> Servers;
  std::set<std::string> Addresses;
  std::set<std::string> Routes;
};

std::string readName(TableReader &Reader, std::set<std::string> &UsedNames) {
  std::string Name = Reader.readRequiredString("name");
  if (Name.empty())
    return Name;
  if (!isName(Name))
    Reader.reportError("name",
                       fmt::format("found \"{}\", expected up to 63 letters, "
                                   "digits, '-' and '_'",
                                   Name));
  else if (!UsedNames.insert(Name).second)
    Reader.reportError("name", fmt::format("\"{}\" is used twice", Name));
  return Name;
}

BackendServer readServer(TableReader &Reader, UniqueNames &UsedNames) {
  BackendServer Result;
  Result.Name = ServerName(readName(Reader, UsedNames.Servers));
  Result.Address = Reader.readRequiredAddress("address");
  if (!Result.Address.empty() &&
      !UsedNames.Addresses.insert(Result.Address).second)
    Reader.reportError("address",
                       fmt::format("\"{}\" is used twice", Result.Address));
  Result.DataCentre = Reader.readRequiredString("data_centre");
  Result.Slots =
      static_cast<unsigned>(Reader.readRequiredInteger("slots", SlotRange));
  Result.Connections = static_cast<unsigned>(
      Reader.readRequiredInteger("connections", ConnectionRange));
  Reader.reportUnknownKeys();
  return Result;
}

void validateRoute(TableReader &Reader, const RequestKind &Kind,
                   UniqueNames &UsedNames) {
  if (Kind.Path.empty() || Kind.Method.empty())
    return;
  if (Kind.Path.front() != '/')
    Reader.reportError("path", fmt::format("found \"{}\", expected a path that "
                                           "begins with '/'",
                                           Kind.Path));
  if (Kind.Path.rfind("/*", 0) == 0)
    Reader.reportError("path", "the first segment must not be '*'");
  if (Kind.Path.rfind("/v1/entries", 0) == 0)
    Reader.reportError(
        "path",
        "paths that begin with \"/v1/entries\" are reserved for the entry "
        "hosts");
  if (!UsedNames.Routes.insert(Kind.Method + ' ' + Kind.Path).second)
    Reader.reportError(
        "path", fmt::format("\"{} {}\" is used twice", Kind.Method, Kind.Path));
}

RequestKind readKind(TableReader &Reader, std::set<std::string> &KindNames,
                     UniqueNames &UsedNames) {
  RequestKind Result;
  Result.Name = readName(Reader, KindNames);
  Result.Method = Reader.readChoiceOr(
      "method", "GET", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
  Result.Path = Reader.readRequiredString("path");
  Result.Idempotent = Reader.readRequiredBoolean("idempotent");
  Result.Deadline = std::chrono::milliseconds(
      Reader.readRequiredInteger("deadline_ms", DeadlineMsRange));
  Result.Priority = parsePriority(
      Reader.readChoiceOr("priority", "normal", {"high", "normal", "low"}));
  Result.Retries =
      static_cast<unsigned>(Reader.readIntegerOr("retries", 0, RetryRange));
  Result.Hedge = Reader.readBooleanOr("hedge", false);
  if (!Result.Idempotent && Result.Retries > 0)
    Reader.reportError("retries", "must be 0 unless idempotent = true");
  if (!Result.Idempotent && Result.Hedge)
    Reader.reportError("hedge", "must be false unless idempotent = true");
  validateRoute(Reader, Result, UsedNames);
  Reader.reportUnknownKeys();
  return Result;
}

Service readService(TableReader &Reader, UniqueNames &UsedNames) {
  Service Result;
  Result.Name = ServiceName(readName(Reader, UsedNames.Services));
  for (TableReader &Server : Reader.readRequiredTables("server"))
    Result.Servers.push_back(readServer(Server, UsedNames));
  std::set<std::string> KindNames;
  for (TableReader &Kind : Reader.readRequiredTables("kind"))
    Result.Kinds.push_back(readKind(Kind, KindNames, UsedNames));
  Reader.reportUnknownKeys();
  return Result;
}

/// Adds to \p Lines one line for each item that is added, changed or removed.
/// Items with the same name are compared.
template <typename T, typename NameFunction>
void compareByName(const std::string &ItemType, const std::vector<T> &Before,
                   const std::vector<T> &After, NameFunction NameOf,
                   std::vector<std::string> &Lines) {
  std::map<std::string, const T *> OldItems;
  for (const T &Item : Before)
    OldItems[NameOf(Item)] = &Item;
  for (const T &Item : After) {
    const auto Found = OldItems.find(NameOf(Item));
    if (Found == OldItems.end()) {
      Lines.push_back(fmt::format("add {} {}", ItemType, NameOf(Item)));
      continue;
    }
    if (!(*Found->second == Item))
      Lines.push_back(fmt::format("change {} {}", ItemType, NameOf(Item)));
    OldItems.erase(Found);
  }
  for (const auto &[Name, Item] : OldItems)
    Lines.push_back(fmt::format("remove {} {}", ItemType, Name));
}

} // namespace

Checked<Configuration> parseConfiguration(std::string_view Text,
                                          const std::string &File) {
  const Checked<toml::table> Parsed = parseToml(Text, File);
  if (Parsed.has_error())
    return Parsed.error();
  FieldErrors Errors;
  TableReader Root(File, "", Parsed.value(), Errors);
  UniqueNames UsedNames;
  Configuration Result;
  for (TableReader &Reader : Root.readRequiredTables("service"))
    Result.Services.push_back(readService(Reader, UsedNames));
  Root.reportUnknownKeys();
  if (!Errors.empty())
    return Errors;
  return Result;
}

std::vector<std::string> describeChanges(const Configuration &Before,
                                         const Configuration &After) {
  std::vector<std::string> Lines;
  std::map<ServiceName, const Service *> OldServices;
  for (const Service &OldService : Before.Services)
    OldServices[OldService.Name] = &OldService;
  for (const Service &NewService : After.Services) {
    const auto Found = OldServices.find(NewService.Name);
    if (Found == OldServices.end()) {
      Lines.push_back(fmt::format("add service {}", NewService.Name.value()));
      continue;
    }
    const std::string Prefix = NewService.Name.value() + '/';
    compareByName(
        "server", Found->second->Servers, NewService.Servers,
        [&](const BackendServer &Server) {
          return Prefix + Server.Name.value();
        },
        Lines);
    compareByName(
        "kind", Found->second->Kinds, NewService.Kinds,
        [&](const RequestKind &Kind) { return Prefix + Kind.Name; }, Lines);
    OldServices.erase(Found);
  }
  for (const auto &[Name, OldService] : OldServices)
    Lines.push_back(fmt::format("remove service {}", Name.value()));
  return Lines;
}

} // namespace mimosacart
