#include "core/route_table.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr std::string_view AnySegment = "*";

std::string prefixOf(std::string_view Method, std::string_view First) {
  std::string Result(Method);
  Result += ' ';
  Result += First;
  return Result;
}

bool matches(const std::vector<std::string> &Pattern,
             const std::vector<std::string_view> &Path) {
  if (Pattern.size() != Path.size())
    return false;
  for (std::size_t Index = 0; Index < Path.size(); ++Index)
    if (Pattern[Index] != AnySegment && Pattern[Index] != Path[Index])
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
  for (std::size_t S = 0; S < Content.Services.size(); ++S) {
    const Service &Owner = Content.Services[S];
    for (std::size_t K = 0; K < Owner.Kinds.size(); ++K) {
      const RequestKind &Kind = Owner.Kinds[K];
      const std::vector<std::string_view> Path = splitPath(Kind.Path);
      const std::string_view First = Path.empty() ? "" : Path.front();
      Entry Added{{Path.begin(), Path.end()}, {S, K}};
      EntriesByPrefix[prefixOf(Kind.Method, First)].push_back(std::move(Added));
    }
  }
}

std::optional<Route> RouteTable::match(std::string_view Method,
                                       std::string_view Target) const {
  const std::vector<std::string_view> Path = splitPath(Target);
  const std::string_view First = Path.empty() ? "" : Path.front();
  const auto Found = EntriesByPrefix.find(prefixOf(Method, First));
  if (Found == EntriesByPrefix.end())
    return std::nullopt;
  for (const Entry &Candidate : Found->second)
    if (matches(Candidate.Segments, Path))
      return Candidate.Where;
  return std::nullopt;
}

} // namespace mimosacart
