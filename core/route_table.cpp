#include "core/route_table.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr std::string_view WildcardSegment = "*";

std::string prefixOf(std::string_view Method, std::string_view FirstSegment) {
  std::string Result(Method);
  Result += ' ';
  Result += FirstSegment;
  return Result;
}

bool matches(const std::vector<std::string> &Pattern,
             const std::vector<std::string_view> &Path) {
  if (Pattern.size() != Path.size())
    return false;
  for (std::size_t Index = 0; Index < Path.size(); ++Index)
    if (Pattern[Index] != WildcardSegment && Pattern[Index] != Path[Index])
      return false;
  return true;
}

} // namespace

std::vector<std::string_view> splitPath(std::string_view Target) {
  Target = Target.substr(0, Target.find('?'));
  std::vector<std::string_view> Segments;
  while (!Target.empty()) {
    if (Target.front() == '/')
      Target.remove_prefix(1);
    const std::size_t End = std::min(Target.find('/'), Target.size());
    Segments.push_back(Target.substr(0, End));
    Target.remove_prefix(End);
  }
  return Segments;
}

RouteTable::RouteTable(const Configuration &Content) {
  for (std::size_t ServiceIndex = 0; ServiceIndex < Content.Services.size();
       ++ServiceIndex) {
    const Service &CurrentService = Content.Services[ServiceIndex];
    for (std::size_t KindIndex = 0; KindIndex < CurrentService.Kinds.size();
         ++KindIndex) {
      const RequestKind &Kind = CurrentService.Kinds[KindIndex];
      const std::vector<std::string_view> Path = splitPath(Kind.Path);
      const std::string_view FirstSegment = Path.empty() ? "" : Path.front();
      Entry NewEntry{{Path.begin(), Path.end()}, {ServiceIndex, KindIndex}};
      EntriesByPrefix[prefixOf(Kind.Method, FirstSegment)].push_back(
          std::move(NewEntry));
    }
  }
}

std::optional<Route> RouteTable::match(std::string_view Method,
                                       std::string_view Target) const {
  const std::vector<std::string_view> Path = splitPath(Target);
  const std::string_view FirstSegment = Path.empty() ? "" : Path.front();
  const auto Found = EntriesByPrefix.find(prefixOf(Method, FirstSegment));
  if (Found == EntriesByPrefix.end())
    return std::nullopt;
  for (const Entry &Candidate : Found->second)
    if (matches(Candidate.Segments, Path))
      return Candidate.Position;
  return std::nullopt;
}

} // namespace mimosacart
