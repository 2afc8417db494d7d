/// \file
/// When a slow call of an idempotent request is hedged, and how many hedges an
/// operator accepts.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mimosacart {

/// Why a hedge that was due is not sent.
enum class HedgeRefusal : std::uint8_t {
  None,
  /// Requests wait for servers, or no nominal server is free.
  ServersShort,
  /// The second call would not end before the deadline.
  TooLate,
  /// What is left of the retry budget is kept for retries after failures.
  RetriesFirst,
  /// The service has had its share of hedges.
  OverShare,
  Count
};

/// Name of \p Refusal in logs and metrics.
const char *toString(HedgeRefusal Refusal);

/// Counts events in a sliding window of up to a minute, in steps of a second.
class WindowCount {
public:
  void add(Instant Now);
  /// Returns the number of events in the current second and in those before
  /// it, \p Seconds in all.
  std::uint32_t count(Instant Now, std::uint32_t Seconds) const;

  static constexpr std::uint32_t MaxSeconds = 61;

private:
  struct Bucket {
    std::uint32_t Second = 0;
    std::uint32_t Events = 0;
  };
  std::array<Bucket, MaxSeconds + 1> Buckets{};
};

/// Histogram of latencies whose older samples lose weight. Each power of two is
/// divided into equal parts, as HdrHistogram does, which bounds the relative
/// error of a quantile by 1 / Parts.
class LatencyHistogram {
public:
  void record(Instant Now, Duration Latency);
  /// Returns the upper bound of the bucket that contains the quantile; nothing
  /// if there are too few samples.
  std::optional<Duration> quantile(Instant Now, double Quantile) const;

private:
  static constexpr std::size_t Parts = 8;
  /// From 1 ms to more than a minute.
  static constexpr std::size_t Octaves = 17;

  static std::size_t findBucket(Duration Latency);
  static Duration upperBound(std::size_t Bucket);
  void scale(double Factor);

  std::array<float, Parts * Octaves> Weights{};
  double Total = 0;
  Instant ScaledAt{};
};

/// Decides about the hedges of one host. Hosts need not agree: if each keeps
/// within its share of its own requests, so does the fleet.
class HedgePolicy {
public:
  /// \p Share is the number of hedges to a service as a share of its requests;
  /// 0 means none. Not set: only the retry budget limits hedges.
  explicit HedgePolicy(std::optional<double> Share) : Share(Share) {}

  void setShare(std::optional<double> NewShare) { Share = NewShare; }
  bool isLimited() const { return Share.has_value(); }
  bool isOff() const { return Share.has_value() && *Share <= 0; }

  void countRequest(Instant Now, const ServiceName &Service);
  void countHedge(Instant Now, const ServiceName &Service);
  void countRetryAfterFailure(Instant Now, const ServiceName &Service);

  /// What decides about a hedge that is due.
  struct Situation {
    /// Requests to the service wait for a server.
    bool ServersShort = false;
    /// Time until the deadline.
    Duration TimeLeft{};
    Duration ExpectedLatency{};
    /// Retries left of the whole retry budget.
    double RetriesLeft = 0;
  };
  /// Returns None if the hedge may be sent. Only for a set share.
  HedgeRefusal findRefusal(Instant Now, const ServiceName &Service,
                           const Situation &Hedge) const;

  /// Records a call's latency, or for a call that was cancelled the time until
  /// then. \p Factor is the expected latency as a multiple of the baseline.
  void recordLatency(Instant Now, const std::string &Route, Duration Latency,
                     double Factor);
  /// Returns how long after the start of a call with \p Factor its hedge is
  /// due; nothing if too few latencies of the route are known.
  std::optional<Duration> findDelay(Instant Now, const std::string &Route,
                                    double Factor) const;

private:
  struct ServiceCounts {
    WindowCount Requests;
    WindowCount Hedges;
    WindowCount RetriesAfterFailure;
  };

  std::optional<double> Share;
  std::map<ServiceName, ServiceCounts> Services;
  std::map<std::string, LatencyHistogram> Latencies;
};

} // namespace mimosacart
