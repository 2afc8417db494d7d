#include "direct/host_routes.h"

#include <gtest/gtest.h>

namespace mimosacart {
namespace {

RouteConfigurationPtr makeConfiguration() {
  RouteConfiguration Result;
  const auto Add = [&Result](std::string Name, std::string Host,
                             std::string Prefix) {
    HostRoute Route;
    Route.Name = std::move(Name);
    Route.Host = std::move(Host);
    Route.Prefix = std::move(Prefix);
    Route.Services = {{ServiceName("s"), 1}};
    Result.Routes.push_back(std::move(Route));
  };
  Add("all", "a.example", "/");
  Add("vents", "a.example", "/vents/");
  Add("old", "a.example", "/vents/old/");
  Add("only", "b.example", "/only/");
  return std::make_shared<const RouteConfiguration>(std::move(Result));
}

std::string nameOf(const HostRoute *Route) {
  return Route == nullptr ? "none" : Route->Name;
}

TEST(HostRoutesTest, find_severalPrefixes_returnsLongest) {
  const HostRoutes Routes(makeConfiguration());
  EXPECT_EQ(nameOf(Routes.find("a.example", "/vents/old/7")), "old");
  EXPECT_EQ(nameOf(Routes.find("a.example", "/vents/7")), "vents");
  EXPECT_EQ(nameOf(Routes.find("a.example", "/vents")), "all");
  EXPECT_EQ(nameOf(Routes.find("a.example", "/vents/old")), "vents");
}

TEST(HostRoutesTest, find_queryWithSlashes_ignoresQuery) {
  const HostRoutes Routes(makeConfiguration());
  EXPECT_EQ(nameOf(Routes.find("a.example", "/x?next=/vents/")), "all");
  EXPECT_EQ(nameOf(Routes.find("b.example", "/x?next=/only/")), "none");
}

TEST(HostRoutesTest, find_hostWithPortOrCapitals_ignoresBoth) {
  const HostRoutes Routes(makeConfiguration());
  EXPECT_EQ(nameOf(Routes.find("B.Example:8080", "/only/1")), "only");
  EXPECT_EQ(nameOf(Routes.find("c.example", "/only/1")), "none");
  EXPECT_EQ(nameOf(Routes.find("", "/")), "none");
}

} // namespace
} // namespace mimosacart
