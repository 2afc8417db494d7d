/// \file
/// Fixture of the tests of RequestFlow.
#pragma once

#include "tests/direct/flow_harness.h"

#include <gtest/gtest.h>

namespace mimosacart {

using namespace std::chrono_literals;

using Strings = std::vector<std::string>;

// Running, waiting, slots, slowness in percent.
inline constexpr ServerLoad IdleLoad{0, 0, 2, 100};
inline constexpr ServerLoad SlowLoad{0, 0, 2, 700};
inline constexpr ServerLoad FullLoad{2, 0, 2, 100};
inline constexpr ServerLoad FullWithQueueLoad{2, 4, 2, 100};

/// Requests to two servers, `a` and `b`.
class RequestFlowTest : public testing::Test {
protected:
  RequestFlowTest() {
    Harness.addServer("a");
    Harness.addServer("b");
  }

  /// Server of the first open call.
  std::string firstServer() const { return Harness.openCalls().at(0); }
  std::string otherServer() const { return firstServer() == "a" ? "b" : "a"; }

  void useNonIdempotentRoute() { Harness.Route.Idempotent = false; }

  FlowHarness Harness;
};

} // namespace mimosacart
