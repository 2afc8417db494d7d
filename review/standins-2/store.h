/// \file
/// The platform's store: rows, feeds and transactions, always sound.
#pragma once

#include "connection.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

class Store {
public:
  /// Answers on \p Local; false if the address cannot be used.
  bool listen(const Endpoint &Local);
  /// Writes a row as the operator or a server does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

private:
  struct Row {
    std::string Table;
    std::string Key;
    /// In base64.
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  using Query = std::map<std::string, std::string>;

  void serve(Connection &Caller);
  std::string answer(const std::string &Target, const std::string &Body);
  std::string listRows(const Query &Wanted);
  std::string awaitChanges(const Query &Wanted);
  std::string transact(const std::string &Body);
  void write(Row Next);
  std::string render(const std::vector<Row> &Rows) const;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Version = 0;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::vector<Row> History;
};

} // namespace review
