#include "wire/quota_codec.h"

#include "wire/field_checks.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Greater than any duration in these messages.
constexpr Duration MaxDuration = std::chrono::seconds(10);
/// Greater than any number of tokens in these messages; sums of many fit.
constexpr std::uint32_t MaxTokens = 1'000'000;

Duration readDuration(std::int64_t Microseconds) {
  return std::clamp(Duration(Microseconds), Duration::zero(), MaxDuration);
}

std::uint32_t readTokens(std::uint32_t Tokens) {
  return std::min(Tokens, MaxTokens);
}

const std::string &readWorkspace(const std::string &Name) {
  if (Name.empty())
    throw BadField();
  return Name;
}

} // namespace

void write(const QuotaRequest &From, wire::Envelope &Envelope) {
  wire::QuotaRequest &To = *Envelope.mutable_quota_request();
  To.set_number(From.Number);
  for (const QuotaAsk &Ask : From.Asks) {
    wire::QuotaAsk &Added = *To.add_asks();
    Added.set_workspace(Ask.Workspace);
    Added.set_wanted(Ask.Wanted);
    Added.set_returned(Ask.Returned);
  }
}

QuotaRequest readQuotaRequest(const wire::QuotaRequest &From) {
  QuotaRequest To;
  To.Number = From.number();
  for (const wire::QuotaAsk &Ask : From.asks())
    To.Asks.push_back({readWorkspace(Ask.workspace()), readTokens(Ask.wanted()),
                       readTokens(Ask.returned())});
  return To;
}

void write(const QuotaGrant &From, wire::Envelope &Envelope) {
  wire::QuotaGrant &To = *Envelope.mutable_quota_grant();
  To.set_number(From.Number);
  To.set_confirms(From.Confirms);
  for (const QuotaLease &Lease : From.Leases) {
    wire::QuotaLease &Added = *To.add_leases();
    Added.set_workspace(Lease.Workspace);
    Added.set_lends(Lease.Lends);
    Added.set_tokens(Lease.Tokens);
    Added.set_lifetime_us(Lease.Lifetime.count());
    Added.set_wait_us(Lease.Wait.count());
  }
  for (const QuotaHandover &Handover : From.Handovers) {
    wire::QuotaHandover &Added = *To.add_handovers();
    Added.set_workspace(Handover.Workspace);
    Added.set_tokens(Handover.Tokens);
    Added.set_lent(Handover.Lent);
    Added.set_milli_rate(Handover.MilliRate);
  }
}

QuotaGrant readQuotaGrant(const wire::QuotaGrant &From) {
  QuotaGrant To;
  To.Number = From.number();
  To.Confirms = From.confirms();
  for (const wire::QuotaLease &Lease : From.leases())
    To.Leases.push_back({readWorkspace(Lease.workspace()), Lease.lends(),
                         readTokens(Lease.tokens()),
                         readDuration(Lease.lifetime_us()),
                         readDuration(Lease.wait_us())});
  for (const wire::QuotaHandover &Handover : From.handovers())
    To.Handovers.push_back(
        {readWorkspace(Handover.workspace()), readTokens(Handover.tokens()),
         readTokens(Handover.lent()), Handover.milli_rate()});
  return To;
}

} // namespace mimosacart
