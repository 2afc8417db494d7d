#include "direct/hedge_policy.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mimosacart {

namespace {

/// A call is hedged once it lasts longer than this share of the calls of its
/// route. Rare requests that take many times as long stay outside.
constexpr double DelayQuantile = 0.95;
/// Two samples lie above the quantile.
constexpr double MinSamples = 40;
/// Long enough for a host with one request a second to keep more than
/// MinSamples.
constexpr Duration SampleHalfLife = std::chrono::minutes(2);
/// Bounds the age of the samples on busy hosts.
constexpr double MaxSamples = 4000;
/// Routes beyond this number are not learnt.
constexpr std::size_t MaxRoutes = 1024;

/// The share holds in this window. A shorter one would keep hosts with few
/// requests from ever earning a whole hedge.
constexpr std::uint32_t ShareWindow = 60;
/// In this window too, so that hedges of a whole minute do not come at once.
/// Two hedges are allowed in any case, so that hosts with few requests can use
/// their share.
constexpr std::uint32_t BurstWindow = 10;
constexpr double MinBurst = 2;

constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

std::uint32_t toSecond(Instant Now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count());
}

} // namespace

const char *toString(HedgeRefusal Refusal) {
  switch (Refusal) {
  case HedgeRefusal::ServersShort:
    return "servers_short";
  case HedgeRefusal::TooLate:
    return "too_late";
  case HedgeRefusal::RetriesFirst:
    return "retries_first";
  case HedgeRefusal::OverShare:
    return "over_share";
  default:
    return "none";
  }
}

void WindowCount::add(Instant Now) {
  const std::uint32_t Second = toSecond(Now);
  Bucket &Current = Buckets[Second % Buckets.size()];
  if (Current.Second != Second)
    Current = {Second, 0};
  ++Current.Events;
}

std::uint32_t WindowCount::count(Instant Now, std::uint32_t Seconds) const {
  const std::uint32_t Current = toSecond(Now);
  std::uint32_t Result = 0;
  for (const Bucket &Part : Buckets)
    if (Part.Second <= Current && Current - Part.Second < Seconds)
      Result += Part.Events;
  return Result;
}

std::size_t LatencyHistogram::findBucket(Duration Latency) {
  const auto Micros = static_cast<std::uint64_t>(
      std::max<std::int64_t>(Latency.count(), MicrosecondsPerMillisecond));
  // Latencies are counted in units of a part of a millisecond.
  const std::uint64_t Units = Micros * Parts / MicrosecondsPerMillisecond;
  const auto Octave =
      static_cast<std::size_t>(std::bit_width(Units) - std::bit_width(Parts));
  const std::size_t Part = (Units >> Octave) - Parts;
  return std::min(Octave * Parts + Part, Parts * Octaves - 1);
}

Duration LatencyHistogram::upperBound(std::size_t Bucket) {
  const std::size_t Octave = Bucket / Parts;
  const std::size_t Units = (Parts + Bucket % Parts + 1) << Octave;
  return Duration(
      static_cast<Duration::rep>(Units * MicrosecondsPerMillisecond / Parts));
}

void LatencyHistogram::scale(double Factor) {
  for (float &Weight : Weights)
    Weight *= static_cast<float>(Factor);
  Total *= Factor;
}

void LatencyHistogram::record(Instant Now, Duration Latency) {
  if (Total == 0)
    ScaledAt = Now;
  // Scaling once a second is exact enough for a half-life of minutes.
  if (Now - ScaledAt >= std::chrono::seconds(1)) {
    scale(std::exp2(-toSeconds(Now - ScaledAt) / toSeconds(SampleHalfLife)));
    ScaledAt = Now;
  }
  if (Total >= MaxSamples)
    scale(0.5);
  Weights[findBucket(Latency)] += 1;
  Total += 1;
}

std::optional<Duration> LatencyHistogram::quantile(Instant Now,
                                                   double Quantile) const {
  const double Decay =
      std::exp2(-toSeconds(Now - ScaledAt) / toSeconds(SampleHalfLife));
  if (Total * Decay < MinSamples)
    return std::nullopt;
  double Left = Total * Quantile;
  for (std::size_t Bucket = 0; Bucket < Weights.size(); ++Bucket) {
    Left -= Weights[Bucket];
    if (Left <= 0)
      return upperBound(Bucket);
  }
  return upperBound(Weights.size() - 1);
}

void HedgePolicy::countRequest(Instant Now, const ServiceName &Service) {
  Services[Service].Requests.add(Now);
}

void HedgePolicy::countHedge(Instant Now, const ServiceName &Service) {
  Services[Service].Hedges.add(Now);
}

void HedgePolicy::countRetryAfterFailure(Instant Now,
                                         const ServiceName &Service) {
  Services[Service].RetriesAfterFailure.add(Now);
}

HedgeRefusal HedgePolicy::findRefusal(Instant Now, const ServiceName &Service,
                                      const Situation &Hedge) const {
  if (Hedge.ServersShort)
    return HedgeRefusal::ServersShort;
  if (Hedge.ExpectedLatency >= Hedge.TimeLeft)
    return HedgeRefusal::TooLate;
  const auto Found = Services.find(Service);
  if (Found == Services.end() || !Share)
    return HedgeRefusal::OverShare;
  const ServiceCounts &Counts = Found->second;
  // Failures may go on as in the last seconds: their retries come first.
  const double Reserved = Counts.RetriesAfterFailure.count(Now, BurstWindow);
  if (Hedge.RetriesLeft - Reserved < 1)
    return HedgeRefusal::RetriesFirst;
  // Hedges count for a second longer than requests, so that steps of a second
  // never let more pass.
  const auto IsWithin = [&](std::uint32_t Window, double AtLeast) {
    const double Allowed =
        std::max(AtLeast, *Share * Counts.Requests.count(Now, Window));
    return Counts.Hedges.count(Now, Window + 1) + 1 <= Allowed;
  };
  return IsWithin(ShareWindow, 0) && IsWithin(BurstWindow, MinBurst)
             ? HedgeRefusal::None
             : HedgeRefusal::OverShare;
}

void HedgePolicy::recordLatency(Instant Now, const std::string &Route,
                                Duration Latency, double Factor) {
  if (Latencies.size() >= MaxRoutes && !Latencies.contains(Route))
    return;
  Latencies[Route].record(Now, scaled(Latency, 1 / Factor));
}

std::optional<Duration> HedgePolicy::findDelay(Instant Now,
                                               const std::string &Route,
                                               double Factor) const {
  const auto Found = Latencies.find(Route);
  if (Found == Latencies.end())
    return std::nullopt;
  const auto Quantile = Found->second.quantile(Now, DelayQuantile);
  return Quantile ? std::optional(scaled(*Quantile, Factor)) : std::nullopt;
}

} // namespace mimosacart
