/// \file
/// The platform's store within a test's process: tables, feeds, transactions,
/// and the ways in which it fails.
#pragma once

#include "net/asio.h"
#include "net/http_server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosacart {

/// How the store treats its callers.
enum class StoreMood : std::uint8_t { Sound, Refusing, Silent, LosesAnswers };

/// Answers on one address; all in the thread of its context.
class StoreStandin {
public:
  explicit StoreStandin(asio::io_context &Context);

  /// Binds to \p Address; false if that is taken.
  bool listen(const std::string &Address);
  /// Writes a row as an operator or a server would; returns its version.
  std::uint64_t put(const std::string &Table, const std::string &Key,
                    const std::string &Value);
  std::uint64_t remove(const std::string &Table, const std::string &Key);
  /// Answers to feeds of earlier versions that their history is gone.
  void forgetHistory();
  void setMood(StoreMood Next) { Mood = Next; }

  /// Names era \p First in all answers from now on; before, no answer names an
  /// era.
  void nameEra(std::uint64_t First) { Era = First; }
  /// Sends \p Text in place of the era; none sends no era.
  void replaceEraText(std::optional<std::string> Text);
  /// Begins a drill: refuses all calls, those that wait included.
  void goAway();
  /// Ends a drill: answers from the copy that it had \p Age ago.
  void returnFromCopy(std::chrono::milliseconds Age);
  /// Ends a drill: answers from the copy that it had at \p CopyVersion. The
  /// era rises by one, and later versions are given out again.
  void returnFromVersion(std::uint64_t CopyVersion);

  /// Rows in one answer to a read, at most.
  void setPageRows(std::size_t Count) { PageRows = Count; }

  std::size_t calls() const { return Calls; }
  std::size_t rows(const std::string &Table) { return Tables[Table].size(); }

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  /// A row as one transaction left it.
  struct Change {
    std::chrono::steady_clock::time_point At;
    std::string Table;
    std::string Key;
    Row Result;
  };
  struct Feed {
    std::string Table;
    std::uint64_t After = 0;
    std::shared_ptr<HttpExchange> Exchange;
    std::shared_ptr<asio::steady_timer> Limit;
  };

  void onRequest(const HttpRequest &Request,
                 const std::shared_ptr<HttpExchange> &Exchange);
  void onFeed(const std::map<std::string, std::string> &Query,
              const std::shared_ptr<HttpExchange> &Exchange);
  void onTransaction(const std::string &Body,
                     const std::shared_ptr<HttpExchange> &Exchange);
  std::uint64_t write(const std::string &Table, const std::string &Key,
                      Row Next);
  std::string listRows(const std::string &Table, std::uint64_t After,
                       bool WithRemoved) const;
  std::string listPage(const std::string &Table, const std::string &From) const;
  static nlohmann::json toJson(const std::string &Table, const std::string &Key,
                               const Row &From);
  void wakeFeeds();
  /// Sends \p Response with the era.
  void respond(HttpExchange &Exchange, HttpResponse Response) const;

  asio::io_context &Context;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::vector<Feed> Feeds;
  /// Every change, in order, from which copies are made.
  std::vector<Change> Changes;
  std::uint64_t Version = 0;
  std::uint64_t HistoryFrom = 0;
  std::optional<std::uint64_t> Era;
  /// Whether EraText is sent in place of the era.
  bool IsEraTextReplaced = false;
  std::optional<std::string> EraText;
  StoreMood Mood = StoreMood::Sound;
  std::size_t PageRows = 500;
  std::size_t Calls = 0;
  /// Exchanges that are never answered.
  std::vector<std::shared_ptr<HttpExchange>> Silenced;
  HttpServer Server;
};

} // namespace mimosacart
