/// \file
/// Measures the failure detector of fleets of given sizes in virtual time: its
/// cost at rest, how soon the loss of most hosts is noticed, what that costs,
/// how soon hosts that were cut off are back, and false suspicions while links
/// lose messages and hosts are suspended.
#include "tests/direct/gossip_fleet.h"
#include "wire/peer_codec.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <random>
#include <sstream>

DEFINE_string(hosts, "20,56,189,400",
              "numbers of hosts to measure, separated by commas");
DEFINE_string(lost, "0.55,0.65", "shares of the hosts that end at once");
DEFINE_double(message_loss, 0.05, "share of messages that the network loses");
DEFINE_int32(seed, 1, "seed of the faults");

namespace {

using namespace mimosacart;

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

std::vector<double> splitNumbers(const std::string &List) {
  std::vector<double> Result;
  std::istringstream Stream(List);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Result.push_back(std::stod(Part));
  return Result;
}

const std::string &fieldOf(const FlowFields &Fields, const std::string &Name) {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(),
                   [&Name](const auto &Field) { return Field.first == Name; });
  return Found->second;
}

/// What one host sent.
struct SentCount {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

class MeasuredFleet : public FleetGossipTest {
public:
  explicit MeasuredFleet(unsigned Count) : Count(Count) {
    Sent = [this](const std::string &Address, const PeerMessage &Message) {
      SentCount &Sum = Sums[Address];
      ++Sum.Messages;
      Sum.Bytes += encode(Message).size();
    };
    Logged = [this](const std::string &, const char *Event,
                    const FlowFields &Fields) {
      if (std::string_view(Event) == "member_changed")
        countChange(Fields);
    };
    startFleet(Count);
    advanceTime(8s);
  }

  void measureRest() {
    constexpr Duration Span = 20s;
    Sums.clear();
    advanceTime(Span);
    print("rest", Span, Count);
  }

  void measureLoss(double Share) {
    const auto Lost = static_cast<unsigned>(Share * Count);
    for (unsigned Number = 0; Number < Lost; ++Number)
      Hosts.at(addressOf(Number)).Down = true;
    Sums.clear();
    const Instant Start = Now;
    std::vector<double> Times;
    while (Times.size() < Count - Lost && Now - Start < 30s) {
      advanceTime(100ms);
      Times.resize(std::max(Times.size(), countHostsWithFullView()),
                   seconds(Now - Start));
    }
    fmt::print("hosts={} lost={} first_knows_all_s={} all_know_all_s={} ",
               Count, Lost, Times.empty() ? -1 : Times.front(),
               Times.size() < Count - Lost ? -1 : Times.back());
    print("loss", Now - Start, Count - Lost);
  }

  /// Cuts hosts off from the others and then restores the network.
  void measureCut(double Share, Duration Span) {
    const auto CutOff = static_cast<unsigned>(Share * Count);
    setPart(CutOff, 1);
    advanceTime(Span);
    setPart(CutOff, 0);
    Sums.clear();
    const Instant Start = Now;
    std::size_t Least = Count;
    while (countHostsWithFullView() < Count && Now - Start < 60s) {
      advanceTime(100ms);
      for (const auto &[Address, Node] : Hosts)
        Least = std::min(Least, Node.Gossip->hosts());
    }
    fmt::print("hosts={} cut_off={} cut_s={} views_full_after_s={} "
               "least_hosts_meanwhile={} ",
               Count, CutOff, seconds(Span), seconds(Now - Start), Least);
    print("cut", Now - Start, Count);
  }

  /// Messages are lost for 30 s.
  void measureLosses(double Share) {
    std::mt19937_64 Random(static_cast<unsigned>(FLAGS_seed));
    std::bernoulli_distribution IsLost(Share);
    Loses = [&] { return IsLost(Random); };
    measureTrouble("lossy", [] {});
    Loses = nullptr;
  }

  /// Each second one host in twenty is suspended for 1 to 3 s.
  void measureSuspensions() {
    std::mt19937_64 Random(static_cast<unsigned>(FLAGS_seed));
    std::uniform_int_distribution<int> Milliseconds(1000, 3000);
    measureTrouble("suspended", [&] {
      for (unsigned Index = 0; Index < std::max(1U, Count / 20); ++Index)
        Hosts.at(addressOf(static_cast<unsigned>(Random() % Count)))
            .SuspendedUntil =
            Now + std::chrono::milliseconds(Milliseconds(Random));
    });
  }

private:
  void TestBody() override {}

  /// Counts changes of hosts that run and can be reached.
  void countChange(const FlowFields &Fields) {
    const std::string &Name = fieldOf(Fields, "member");
    constexpr std::size_t Prefix = sizeof("host-") - 1;
    const std::string Number = Name.substr(Prefix, Name.find('~') - Prefix);
    if (Now < Hosts.at("peer-" + Number).SuspendedUntil)
      return;
    const std::string &Status = fieldOf(Fields, "status");
    Deaths += Status == toString(MemberStatus::Dead) ? 1 : 0;
    const bool IsSeen = fieldOf(Fields, "source") == "seen";
    Suspicions += IsSeen && Status == toString(MemberStatus::Suspect) ? 1 : 0;
  }

  void measureTrouble(const char *Case, const std::function<void()> &Disturb) {
    constexpr unsigned Rounds = 30;
    Sums.clear();
    Deaths = 0;
    Suspicions = 0;
    for (unsigned Round = 0; Round < Rounds; ++Round) {
      Disturb();
      advanceTime(1s);
    }
    const double HostSeconds = Rounds * static_cast<double>(Count);
    fmt::print("false_suspicions_a_host_s={:.4f} false_deaths_a_host_s={:.4f} ",
               static_cast<double>(Suspicions) / HostSeconds,
               static_cast<double>(Deaths) / HostSeconds);
    print(Case, std::chrono::seconds(Rounds), Count);
  }

  void setPart(unsigned CutOff, unsigned Part) {
    for (unsigned Number = 0; Number < CutOff; ++Number)
      Hosts.at(addressOf(Number)).NetworkPart = Part;
  }

  /// Prints what the \p Running hosts sent in \p Span.
  void print(const char *Case, Duration Span, unsigned Running) {
    SentCount Sum;
    std::uint64_t MostBytes = 0;
    for (const auto &[Address, Sender] : Sums) {
      Sum.Messages += Sender.Messages;
      Sum.Bytes += Sender.Bytes;
      MostBytes = std::max(MostBytes, Sender.Bytes);
    }
    const double HostSeconds = seconds(Span) * Running;
    fmt::print("case={} hosts={} messages_a_host_s={:.2f} "
               "bytes_a_host_s={:.0f} bytes_busiest_s={:.0f}\n",
               Case, Running, static_cast<double>(Sum.Messages) / HostSeconds,
               static_cast<double>(Sum.Bytes) / HostSeconds,
               static_cast<double>(MostBytes) / seconds(Span));
  }

  const unsigned Count;
  std::map<std::string, SentCount> Sums;
  std::uint64_t Deaths = 0;
  std::uint64_t Suspicions = 0;
};

void measure(unsigned Count) {
  constexpr double CutOff = 0.6;
  MeasuredFleet(Count).measureRest();
  for (const double Share : splitNumbers(FLAGS_lost))
    MeasuredFleet(Count).measureLoss(Share);
  for (const Duration Span : {Duration(3s), Duration(8s)})
    MeasuredFleet(Count).measureCut(CutOff, Span);
  MeasuredFleet(Count).measureLosses(FLAGS_message_loss);
  MeasuredFleet(Count).measureSuspensions();
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  for (const double Count : splitNumbers(FLAGS_hosts))
    measure(static_cast<unsigned>(Count));
}
