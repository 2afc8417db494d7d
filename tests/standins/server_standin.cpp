/// \file
/// Stand-in for one backend server: a few slots, a queue, service times with
/// stragglers, and the ways in which servers fail.
///
/// `POST /control` takes `key=value` pairs separated by `&`: `speed` (1 is
/// normal), `mode` (`ok`, `fail-fast`, `draining`, `break`: closes connections
/// instead of answering), `report_lag_ms`.
/// A body that holds `CRASH` ends the process while it runs the request.
#include "net/asio.h"
#include "net/http_server.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <deque>
#include <fcntl.h>
#include <random>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:9000", "address to listen on");
DEFINE_string(name, "server", "name in answers and in the log");
DEFINE_int32(slots, 2, "requests that run at the same time");
DEFINE_double(mean_ms, 19, "mean service time");
DEFINE_double(straggler_share, 0.01, "share of requests that run long");
DEFINE_double(straggler_factor, 15, "how many times longer those run");
DEFINE_double(sigma, 0.5, "spread of the log-normal service time");
DEFINE_int32(queue, 50, "requests that wait; more are shed");
DEFINE_int32(cold_ms, 0,
             "time after the start in which it runs 4 times slower");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(log, "", "file to which each execution is appended");

namespace {

using namespace mimosacart;
using SteadyClock = std::chrono::steady_clock;

constexpr double ColdFactor = 4;

struct Job {
  HttpRequest Request;
  std::shared_ptr<HttpExchange> Exchange;
  SteadyClock::time_point ArrivedAt;
  SteadyClock::time_point ExpiresAt;
  bool Cancelled = false;
  std::unique_ptr<asio::steady_timer> Timer;
};

using JobPtr = std::shared_ptr<Job>;

class ServerStandin {
public:
  explicit ServerStandin(asio::io_context &Context)
      : Context(Context), Random(FLAGS_seed), StartedAt(SteadyClock::now()) {
    if (!FLAGS_log.empty())
      LogFile = ::open(FLAGS_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }

  void handle(HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
    if (Request.Target == "/control") {
      control(Request.Body);
      Exchange->respond({204, {}, ""});
      return;
    }
    if (Request.Target == "/health") {
      Exchange->respond(make(200, ""));
      return;
    }
    if (Mode == "fail-fast") {
      Exchange->respond(make(500, "failing"));
      return;
    }
    if (Mode == "draining" || Waiting.size() >= maxQueue()) {
      Exchange->respond(refusal());
      return;
    }
    auto Added = std::make_shared<Job>();
    Added->ArrivedAt = SteadyClock::now();
    Added->ExpiresAt = Added->ArrivedAt + deadlineOf(Request);
    Added->Request = std::move(Request);
    Added->Exchange = std::move(Exchange);
    Added->Exchange->onGone([this, Weak = std::weak_ptr<Job>(Added)] {
      if (const JobPtr Gone = Weak.lock())
        cancel(Gone);
    });
    Waiting.push_back(std::move(Added));
    startNext();
  }

private:
  static std::size_t maxQueue() {
    return static_cast<std::size_t>(FLAGS_queue);
  }

  static SteadyClock::duration deadlineOf(const HttpRequest &Request) {
    const std::string *Text =
        findField(Request.Headers, "Mimosacart-Deadline-Ms");
    return std::chrono::milliseconds(Text ? std::stol(*Text) : 60'000);
  }

  HttpResponse make(unsigned Status, std::string Body) const {
    HttpResponse Response{Status, {}, std::move(Body)};
    Response.Headers.push_back(
        {"Backend-State", Mode == "draining" ? "draining" : "ready"});
    return Response;
  }

  HttpResponse refusal() const {
    HttpResponse Response = make(503, "");
    Response.Headers.push_back({"Backend-Outcome", "not-run"});
    return Response;
  }

  void control(const std::string &Body) {
    std::size_t Begin = 0;
    while (Begin < Body.size()) {
      const std::size_t End = std::min(Body.find('&', Begin), Body.size());
      const std::string Pair = Body.substr(Begin, End - Begin);
      const std::size_t Equals = Pair.find('=');
      const std::string Key = Pair.substr(0, Equals);
      const std::string Value = Pair.substr(Equals + 1);
      if (Key == "speed")
        Speed = std::stod(Value);
      if (Key == "mode")
        Mode = Value;
      Begin = End + 1;
    }
  }

  void cancel(const JobPtr &Gone) {
    // Work that must not be lost goes on without its caller.
    if (findField(Gone->Request.Headers, "Idempotency-Key") != nullptr)
      return;
    Gone->Cancelled = true;
    if (Gone->Timer)
      Gone->Timer->cancel();
  }

  void startNext() {
    while (Running < FLAGS_slots && !Waiting.empty()) {
      const JobPtr Next = Waiting.front();
      Waiting.pop_front();
      if (Next->Cancelled)
        continue;
      if (SteadyClock::now() > Next->ExpiresAt) {
        Next->Exchange->respond(refusal());
        continue;
      }
      run(Next);
    }
  }

  void run(const JobPtr &Next) {
    ++Running;
    record(*Next, "run");
    if (Next->Request.Body.bytes().find("CRASH") != std::string::npos)
      ::_exit(1);
    Next->Timer = std::make_unique<asio::steady_timer>(
        Context, serviceTime(Next->Request));
    Next->Timer->async_wait([this, Next](boost::system::error_code) {
      --Running;
      if (!Next->Cancelled)
        answer(*Next);
      startNext();
    });
  }

  void answer(Job &Done) {
    record(Done, "done");
    if (Mode == "break") {
      // Dropping the exchange without an answer leaves the caller waiting, so
      // the whole process breaks off its connections instead.
      ::_exit(1);
    }
    const auto Taken = std::chrono::duration_cast<std::chrono::microseconds>(
        SteadyClock::now() - Done.ArrivedAt);
    HttpResponse Response = make(200, fmt::format("{} {}", Done.Request.Target,
                                                  Done.Request.Body.bytes()));
    Response.Headers.push_back({"Standin-Server", FLAGS_name});
    Response.Headers.push_back(
        {"Standin-Service-Us", std::to_string(Taken.count())});
    Done.Exchange->respond(std::move(Response));
  }

  /// The caller may say how much work a request is, so that the same work can
  /// be given to several policies.
  SteadyClock::duration serviceTime(const HttpRequest &Request) {
    if (const std::string *Work = findField(Request.Headers, "Standin-Work-Us"))
      return std::chrono::microseconds(
          static_cast<long long>(std::stod(*Work) / Speed));
    const double Sigma = FLAGS_sigma;
    std::lognormal_distribution<double> Spread(-Sigma * Sigma / 2, Sigma);
    std::bernoulli_distribution Straggles(FLAGS_straggler_share);
    double Ms = FLAGS_mean_ms * Spread(Random) / Speed;
    if (Straggles(Random))
      Ms *= FLAGS_straggler_factor;
    if (SteadyClock::now() - StartedAt <
        std::chrono::milliseconds(FLAGS_cold_ms))
      Ms *= ColdFactor;
    return std::chrono::microseconds(static_cast<long long>(Ms * 1000));
  }

  /// One `write` for each line, so that a crash loses none.
  void record(const Job &Of, const char *What) const {
    if (LogFile < 0)
      return;
    const std::string *Key = findField(Of.Request.Headers, "Idempotency-Key");
    const std::string Line =
        fmt::format("{} {} {} {} {}\n", What, FLAGS_name, Of.Request.Method,
                    Of.Request.Target, Key != nullptr ? *Key : "-");
    [[maybe_unused]] const ssize_t Written =
        ::write(LogFile, Line.data(), Line.size());
  }

  asio::io_context &Context;
  std::mt19937_64 Random;
  const SteadyClock::time_point StartedAt;
  int LogFile = -1;
  int Running = 0;
  double Speed = 1;
  std::string Mode = "ok";
  std::deque<JobPtr> Waiting;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Context(1);
  ServerStandin Standin(Context);
  HttpServer Server(
      Context, {},
      [&](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
        Standin.handle(std::move(Request), std::move(Exchange));
      },
      [](NetError) {
        return HttpResponse{400, {}, ""};
      });
  if (Server.listen(FLAGS_listen).has_error()) {
    fmt::print(stderr, "cannot listen on {}\n", FLAGS_listen);
    return 1;
  }
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Context.stop(); });
  Context.run();
  return 0;
}
