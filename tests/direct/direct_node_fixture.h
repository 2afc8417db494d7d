/// \file
/// Fixture of tests of a whole node with workspaces and two data centres.
#pragma once

#include "direct/direct_node.h"

#include <gtest/gtest.h>

namespace mimosacart {

using namespace std::chrono_literals;

inline CallerKey makeKey(const std::string &Key) {
  return {digestKey(Key), false};
}

inline Workspace makeWorkspace(const std::string &Name,
                               const std::vector<std::string> &Keys) {
  Workspace Result;
  Result.Name = Name;
  for (const std::string &Key : Keys)
    Result.Keys.push_back(digestKey(Key));
  return Result;
}

/// A node with one server in each of two data centres. Rows of the routes table
/// hold a version and the only valid key.
class DirectNodeWorkspaceTest : public testing::Test {
protected:
  DirectNodeWorkspaceTest() {
    DirectNode::Hooks Callbacks;
    Callbacks.Call = [this](const DirectCall &Call) { Calls.push_back(Call); };
    Callbacks.Cancel = [](CallId) {};
    Callbacks.Probe = [this](const DirectProbe &Probe) {
      OpenProbes.push_back(Probe.Id);
    };
    Callbacks.Reply = [this](const FlowResult &Result) {
      Results.push_back(Result.Refused.Reason);
    };
    Callbacks.Send = [](const std::string &, const PeerMessage &) {};
    Callbacks.ReadConfiguration = [this](const TableRow &Row) {
      return readConfiguration(Row);
    };
    Callbacks.ReadEvacuation =
        [](const TableRow &Row) -> std::optional<std::string> {
      if (Row.Key == "config")
        return std::nullopt;
      return Row.Key;
    };
    Callbacks.ReadServer = [](const TableRow &Row) {
      DiscoveredServer Server;
      Server.Id = ServerName(Row.Key);
      Server.Service = ServiceName("records");
      Server.Address = Row.Key;
      Server.DataCentre = Row.Key;
      Server.Slots = 100;
      return Server;
    };
    Callbacks.SetReadMode = [](StoreTable, ReadMode) {};
    Callbacks.ReadTable = [](StoreTable) {};
    Callbacks.Configured = [](const RouteConfiguration &) {};
    Callbacks.Log = [this](const char *, const FlowFields &Fields) {
      for (const auto &[Name, Value] : Fields)
        Logged += Value + "\n";
    };
    Callbacks.Records.Read = [] {};
    NodeHooks = std::move(Callbacks);
    startNode({});
  }

  /// Starts another process of the host, with the servers' rows.
  void startNode(DirectNodeSettings Settings) {
    Settings.Fleet.Self.PeerAddress = "self";
    Settings.Fleet.Self.CallerAddress = "self:80";
    Node.emplace(Now, std::move(Settings), NodeHooks);
    Node->onRows(Now, StoreTable::Servers,
                 {{"north", 1, false, ""}, {"south", 2, false, ""}}, 2);
  }

  std::variant<RouteConfigurationPtr, UnusableRow>
  readConfiguration(const TableRow &Row) {
    RouteConfiguration Configuration;
    Configuration.Version = Row.Version.number();
    HostRoute Route;
    Route.Name = "r";
    Route.Host = "a.example";
    Route.Prefix = "/";
    Route.Timeout = 2s;
    Route.Objective = 500ms;
    Route.Priority = 3;
    Route.Services = {{ServiceName("records"), 1}};
    Route.Regions = RouteRegions;
    Configuration.Routes.push_back(Route);
    Configuration.Workspaces = {makeWorkspace("labs", {Row.Value})};
    Configuration.Workspaces->front().Priority = 0;
    Configuration.Workspaces->front().Regions = WorkspaceRegions;
    return std::make_shared<const RouteConfiguration>(Configuration);
  }

  void configure(std::uint64_t Version, const std::string &Key) {
    Node->onRows(Now, StoreTable::Routes, {{"config", Version, false, Key}},
                 Version);
  }

  void setEvacuated(std::uint64_t Version, const std::string &DataCentre,
                    bool IsEvacuated) {
    Node->onRows(Now, StoreTable::Routes,
                 {{DataCentre, Version, !IsEvacuated, ""}}, Version);
  }

  void send(const std::string &Key) {
    CallerRequest Request;
    Request.Target = "/x";
    Request.WorkspaceKey = makeKey(Key);
    Node->onRequest(Now, RequestId(++LastRequest), "a.example",
                    std::make_shared<const CallerRequest>(Request));
    for (const CallId Id : std::exchange(OpenProbes, {})) {
      ProbeResult Idle;
      Idle.Answered = true;
      Idle.Healthy = true;
      Idle.Load = ServerLoad{0, 0, 100, 100};
      Node->onProbeResult(Now, Id, Idle);
    }
  }

  const Instant Now{1h};
  std::optional<DirectNode> Node;
  std::vector<DirectCall> Calls;
  std::vector<CallId> OpenProbes;
  std::vector<RefusalReason> Results;
  std::string Logged;
  std::uint64_t LastRequest = 0;
  /// Regions in the configurations that are read from now on.
  std::set<std::string> RouteRegions;
  std::set<std::string> WorkspaceRegions;
  DirectNode::Hooks NodeHooks;
};

} // namespace mimosacart
