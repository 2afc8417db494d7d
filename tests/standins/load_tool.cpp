/// \file
/// Stand-in for callers: open-loop load over the kinds of a declarative file.
///
/// Latency counts from the intended arrival, so a slow system cannot slow the
/// load down. Kinds are drawn by `--mix` (`kind=weight,...`; others get none).
/// Prints a table and, with `--raw`, writes one line for each request.
#include "net/asio.h"
#include "net/http_client.h"
#include "settings/configuration_file.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

DEFINE_string(config, "", "the operators' declarative file");
DEFINE_string(entries, "", "addresses of entry hosts to ask, comma-separated");
DEFINE_string(mix, "", "kind=weight,... ; empty gives every kind weight 1");
DEFINE_double(rate, 100, "requests a second");
DEFINE_double(burst_rate, 0,
              "rate in every second second; 0 for a steady load");
DEFINE_double(seconds, 5, "how long to send");
DEFINE_uint64(seed, 1, "seed of arrivals and kinds");
DEFINE_int32(resends, 8, "resends of a request that may run once only");
DEFINE_double(first_share, 0, "share of requests sent to the first host");
DEFINE_double(work_ms, 0, "mean work of a request; 0 leaves it to the server");
DEFINE_double(straggler_share, 0.01, "share of requests with much more work");
DEFINE_double(straggler_factor, 15, "how many times more");
DEFINE_double(sigma, 0.5, "spread of the log-normal work");
DEFINE_int32(ideal_slots, 0, "slots of an ideal shared queue to compare with");
DEFINE_double(warm_s, 0, "seconds at the start that are not counted");
DEFINE_string(raw, "", "file for one line per request");
DEFINE_string(title, "load", "title of the table");

namespace {

using namespace mimosacart;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t MaxAnswerBytes = 16U << 20U;
constexpr auto ResendDelay = std::chrono::milliseconds(200);

struct Entry {
  std::string Address;
  unsigned Share = 0;
  std::string Token;
};

struct KindChoice {
  std::string Service;
  RequestKind Kind;
  double Weight = 0;
};

struct Sample {
  std::string Kind;
  std::string Outcome;
  double IntendedMs = 0;
  double TotalMs = 0;
  double AddedMs = 0;
  double WorkMs = 0;
  double DeadlineMs = 0;
  std::string Key;
};

/// The list of entry hosts, asked for again when it runs out.
class EntryList {
public:
  EntryList(HttpClient &Http, std::vector<std::string> Asked)
      : Http(Http), Asked(std::move(Asked)) {}

  void refresh(const std::function<void()> &Then) {
    HttpCall Call;
    Call.Address = Asked[Next++ % Asked.size()];
    Call.Request = {"GET", "/v1/entries", {}, "", ""};
    Call.Timeout = std::chrono::milliseconds(500);
    Http.call(std::move(Call), [this, Then](const HttpResult &Result) {
      if (Result.has_value() && Result.value().Status == 200)
        take(Result.value().Body);
      if (Then)
        Then();
    });
  }

  bool isOld() const { return SteadyClock::now() >= KeepUntil; }
  const std::vector<Entry> &hosts() const { return Hosts; }

  const Entry &choose(std::mt19937_64 &Random) const {
    std::uniform_real_distribution<double> Unit(0, 1);
    if (Unit(Random) < FLAGS_first_share)
      return Hosts.front();
    unsigned Sum = 0;
    for (const Entry &Host : Hosts)
      Sum += Host.Share;
    unsigned Draw = std::uniform_int_distribution<unsigned>(0, Sum - 1)(Random);
    for (const Entry &Host : Hosts) {
      if (Draw < Host.Share)
        return Host;
      Draw -= Host.Share;
    }
    return Hosts.front();
  }

private:
  void take(const std::string &Body) {
    const auto Value = nlohmann::json::parse(Body, nullptr, false);
    if (Value.is_discarded())
      return;
    std::vector<Entry> Read;
    for (const auto &Each : Value["entries"])
      Read.push_back({Each["address"], Each["share"], Each["issuer_token"]});
    if (Read.empty())
      return;
    std::sort(Read.begin(), Read.end(), [](const Entry &L, const Entry &R) {
      return L.Address < R.Address;
    });
    Hosts = Read;
    KeepUntil = SteadyClock::now() +
                std::chrono::milliseconds(Value["keep_for_ms"].get<int>());
  }

  HttpClient &Http;
  const std::vector<std::string> Asked;
  std::size_t Next = 0;
  std::vector<Entry> Hosts;
  SteadyClock::time_point KeepUntil;
};

class LoadTool {
public:
  LoadTool(asio::io_context &Context, std::vector<KindChoice> Kinds,
           std::vector<std::string> Asked)
      : Context(Context), Http(Context, MaxAnswerBytes),
        Entries(Http, std::move(Asked)), Kinds(std::move(Kinds)),
        Random(FLAGS_seed), WorkRandom(FLAGS_seed + 1), Arrival(Context) {}

  void start() {
    Entries.refresh([this] {
      if (Entries.hosts().empty()) {
        retryStart();
        return;
      }
      Begin = SteadyClock::now();
      NextArrival = Begin;
      scheduleNext();
    });
  }

  int report() const;

private:
  void retryStart() {
    if (++StartTries > 100) {
      fmt::print(stderr, "no entry host answers\n");
      return;
    }
    Arrival.expires_after(std::chrono::milliseconds(100));
    Arrival.async_wait([this](boost::system::error_code) { start(); });
  }

  double rateAt(SteadyClock::time_point When) const {
    if (FLAGS_burst_rate <= 0)
      return FLAGS_rate;
    const auto Second =
        std::chrono::duration_cast<std::chrono::seconds>(When - Begin).count();
    return Second % 2 == 0 ? FLAGS_rate : FLAGS_burst_rate;
  }

  void scheduleNext() {
    std::exponential_distribution<double> Gap(rateAt(NextArrival));
    NextArrival += std::chrono::nanoseconds(
        static_cast<long long>(Gap(ArrivalRandom) * 1e9));
    if (NextArrival - Begin > std::chrono::duration<double>(FLAGS_seconds))
      return;
    Arrival.expires_at(NextArrival);
    Arrival.async_wait([this](boost::system::error_code) {
      const auto Intended = NextArrival;
      scheduleNext();
      send(Intended);
    });
  }

  struct Sending {
    KindChoice Choice;
    HttpRequest Request;
    Entry To;
    SteadyClock::time_point Intended;
    int Resends = 0;
    double WorkMs = 0;
    std::string Key;
  };

  void send(SteadyClock::time_point Intended) {
    if (Entries.isOld())
      Entries.refresh({});
    auto Next = std::make_shared<Sending>();
    Next->Choice = chooseKind();
    Next->Intended = Intended;
    Next->To = Entries.choose(Random);
    std::string Target = Next->Choice.Kind.Path;
    const std::string Id = fmt::format("{}-{}", FLAGS_seed, ++LastId);
    for (std::size_t Star = Target.find('*'); Star != std::string::npos;
         Star = Target.find('*'))
      Target.replace(Star, 1, Id);
    Next->Request = {Next->Choice.Kind.Method, Target, {}, "", ""};
    if (Next->Choice.Kind.Method != "GET")
      Next->Request.Body = "body-" + Id;
    if (FLAGS_work_ms > 0) {
      Next->WorkMs = drawWork();
      Next->Request.Headers.push_back(
          {"Standin-Work-Us", fmt::format("{:.0f}", Next->WorkMs * 1000)});
    }
    if (!Next->Choice.Kind.Idempotent) {
      Next->Key = "key-" + Id;
      Next->Request.Headers.push_back({"Idempotency-Key", Next->Key});
      Next->Request.Headers.push_back({"Mimosacart-Issuer", Next->To.Token});
    }
    transmit(Next);
  }

  /// Log-normal work with stragglers, whose mean over all is `--work_ms`.
  double drawWork() {
    const double Sigma = FLAGS_sigma;
    const double Base = FLAGS_work_ms / (1 + FLAGS_straggler_share *
                                                 (FLAGS_straggler_factor - 1));
    std::lognormal_distribution<double> Spread(-Sigma * Sigma / 2, Sigma);
    std::bernoulli_distribution Straggles(FLAGS_straggler_share);
    const double Work = Base * Spread(WorkRandom);
    return Straggles(WorkRandom) ? Work * FLAGS_straggler_factor : Work;
  }

  const KindChoice &chooseKind() {
    double Sum = 0;
    for (const KindChoice &Each : Kinds)
      Sum += Each.Weight;
    double Draw = std::uniform_real_distribution<double>(0, Sum)(Random);
    for (const KindChoice &Each : Kinds) {
      if (Draw < Each.Weight)
        return Each;
      Draw -= Each.Weight;
    }
    return Kinds.back();
  }

  void transmit(const std::shared_ptr<Sending> &Next) {
    HttpCall Call;
    Call.Address = Next->To.Address;
    Call.Request = Next->Request;
    Call.Timeout = Next->Choice.Kind.Deadline + std::chrono::seconds(2);
    Http.call(std::move(Call), [this, Next](const HttpResult &Result) {
      onResult(Next, Result);
    });
  }

  /// A request that may run once only is sent again with the same key and
  /// token until its fate is known.
  void onResult(const std::shared_ptr<Sending> &Sent,
                const HttpResult &Result) {
    std::string Outcome = "broken";
    if (Result.has_value()) {
      const std::string *Refusal =
          findField(Result.value().Headers, "Mimosacart-Outcome");
      Outcome = Refusal != nullptr            ? *Refusal
                : Result.value().Status < 500 ? "answered"
                                              : "server-error";
      // A caller gets the answer to its own request or none.
      if (Outcome == "answered" &&
          Result.value().Body.bytes().rfind(Sent->Request.Target + ' ', 0) != 0)
        Outcome = "WRONG-ANSWER";
    }
    const bool Unclear =
        Outcome == "broken" || Outcome == "unknown" || Outcome == "in-progress";
    if (Unclear && !Sent->Key.empty() && Sent->Resends++ < FLAGS_resends) {
      Sent->To.Address = Entries.choose(Random).Address;
      const auto Timer =
          std::make_shared<asio::steady_timer>(Context, ResendDelay);
      Timer->async_wait(
          [this, Timer, Sent](boost::system::error_code) { transmit(Sent); });
      return;
    }
    const std::chrono::duration<double, std::milli> Total =
        SteadyClock::now() - Sent->Intended;
    double ServerMs = 0;
    if (Result.has_value())
      if (const std::string *Time =
              findField(Result.value().Headers, "Standin-Service-Us"))
        ServerMs = std::stod(*Time) / 1000;
    const std::chrono::duration<double, std::milli> Intended =
        Sent->Intended - Begin;
    Samples.push_back({Sent->Choice.Kind.Name, Outcome, Intended.count(),
                       Total.count(), Total.count() - ServerMs, Sent->WorkMs,
                       toMilliseconds(Sent->Choice.Kind.Deadline), Sent->Key});
  }

  asio::io_context &Context;
  HttpClient Http;
  EntryList Entries;
  const std::vector<KindChoice> Kinds;
  std::mt19937_64 Random;
  /// Apart from the other draws, so that every policy gets the same work.
  std::mt19937_64 WorkRandom;
  std::mt19937_64 ArrivalRandom{FLAGS_seed + 2};
  asio::steady_timer Arrival;
  SteadyClock::time_point Begin;
  SteadyClock::time_point NextArrival;
  std::uint64_t LastId = 0;
  int StartTries = 0;
  std::vector<Sample> Samples;
};

double quantile(std::vector<double> Values, double At) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index =
      static_cast<std::size_t>(At * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

/// Latencies of one queue before all slots, first come first served: what no
/// balancer can beat on the whole.
std::vector<double> idealLatencies(std::vector<Sample> Samples, int Slots) {
  std::sort(Samples.begin(), Samples.end(),
            [](const Sample &L, const Sample &R) {
              return L.IntendedMs < R.IntendedMs;
            });
  std::vector<double> FreeAt(static_cast<std::size_t>(Slots), 0);
  std::vector<double> Result;
  for (const Sample &Each : Samples) {
    const auto First = std::min_element(FreeAt.begin(), FreeAt.end());
    const double Start = std::max(*First, Each.IntendedMs);
    *First = Start + Each.WorkMs;
    if (Each.IntendedMs >= FLAGS_warm_s * 1000)
      Result.push_back(*First - Each.IntendedMs);
  }
  return Result;
}

/// One line for scripts that compare runs.
void printSummary(const std::vector<Sample> &Samples) {
  std::vector<double> Answered;
  std::vector<double> Added;
  std::size_t Counted = 0;
  std::size_t Late = 0;
  for (const Sample &Each : Samples) {
    if (Each.IntendedMs < FLAGS_warm_s * 1000)
      continue;
    ++Counted;
    if (Each.Outcome != "answered")
      continue;
    Answered.push_back(Each.TotalMs);
    Added.push_back(Each.AddedMs);
    Late += Each.TotalMs > Each.DeadlineMs ? 1 : 0;
  }
  fmt::print("summary requests={} answered={} late={} p50={:.2f} p99={:.2f} "
             "added_p50={:.3f} added_p99={:.3f}",
             Counted, Answered.size(), Late, quantile(Answered, 0.5),
             quantile(Answered, 0.99), quantile(Added, 0.5),
             quantile(Added, 0.99));
  if (FLAGS_ideal_slots > 0) {
    const auto Ideal = idealLatencies(Samples, FLAGS_ideal_slots);
    fmt::print(" ideal_p50={:.2f} ideal_p99={:.2f}", quantile(Ideal, 0.5),
               quantile(Ideal, 0.99));
  }
  fmt::print("\n");
}

int LoadTool::report() const {
  struct Group {
    std::vector<double> Total;
    std::vector<double> Added;
  };
  std::map<std::pair<std::string, std::string>, Group> Groups;
  bool Wrong = false;
  for (const Sample &Each : Samples) {
    Group &Into = Groups[{Each.Kind, Each.Outcome}];
    Into.Total.push_back(Each.TotalMs);
    Into.Added.push_back(Each.AddedMs);
    Wrong = Wrong || Each.Outcome == "WRONG-ANSWER";
  }
  fmt::print("{}\n{:<20} {:<13} {:>8} {:>10} {:>10} {:>10} {:>10}\n",
             FLAGS_title, "kind", "outcome", "requests", "added p50",
             "added p99", "total p50", "total p99");
  for (const auto &[Name, Values] : Groups)
    fmt::print(
        "{:<20} {:<13} {:>8} {:>7.2f} ms {:>7.2f} ms {:>7.1f} ms {:>7.1f} ms\n",
        Name.first, Name.second, Values.Total.size(),
        quantile(Values.Added, 0.5), quantile(Values.Added, 0.99),
        quantile(Values.Total, 0.5), quantile(Values.Total, 0.99));
  printSummary(Samples);
  if (!FLAGS_raw.empty()) {
    std::ofstream Raw(FLAGS_raw);
    for (const Sample &Each : Samples)
      Raw << fmt::format("{} {} {:.3f} {:.3f} {:.3f} {}\n", Each.Kind,
                         Each.Outcome, Each.IntendedMs, Each.TotalMs,
                         Each.AddedMs, Each.Key.empty() ? "-" : Each.Key);
  }
  return Wrong || Samples.empty() ? 1 : 0;
}

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

std::vector<KindChoice> readKinds(const Configuration &Config) {
  std::map<std::string, double> Weights;
  for (const std::string &Part : split(FLAGS_mix)) {
    const std::size_t Equals = Part.find('=');
    Weights[Part.substr(0, Equals)] = std::stod(Part.substr(Equals + 1));
  }
  std::vector<KindChoice> Kinds;
  for (const Service &Subject : Config.Services)
    for (const RequestKind &Kind : Subject.Kinds) {
      const double Weight = Weights.empty() ? 1 : Weights[Kind.Name];
      if (Weight > 0)
        Kinds.push_back({Subject.Name.value(), Kind, Weight});
    }
  return Kinds;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::ifstream File(FLAGS_config);
  std::ostringstream Text;
  Text << File.rdbuf();
  const auto Config = parseConfiguration(Text.str(), FLAGS_config);
  if (Config.has_error()) {
    for (const FieldError &Error : Config.error())
      fmt::print(stderr, "{}\n", format(Error));
    return 2;
  }
  asio::io_context Context(1);
  LoadTool Tool(Context, readKinds(Config.value()), split(FLAGS_entries));
  Tool.start();
  Context.run();
  return Tool.report();
}
