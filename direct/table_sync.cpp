#include "direct/table_sync.h"

#include "core/hash.h"

#include <algorithm>

namespace mimosacart {

namespace {

constexpr std::size_t Readers = 2;

/// Rows up to this version are known, from the store or from peers.
std::uint64_t knownVersion(const TableCache &Cache) {
  return std::max(Cache.version(), Cache.newest());
}

std::size_t bytesOf(const std::vector<TableRow> &Rows) {
  std::size_t Sum = 0;
  for (const TableRow &Row : Rows)
    Sum += Row.Key.size() + Row.Value.size();
  return Sum;
}

/// Readers come first, in different data centres if there are several.
std::vector<MemberRecord> orderByRank(std::vector<MemberRecord> Members) {
  std::sort(Members.begin(), Members.end(),
            [](const MemberRecord &Left, const MemberRecord &Right) {
              return stableHash(Left.Host.value()) <
                     stableHash(Right.Host.value());
            });
  const auto Elsewhere = std::find_if(
      Members.begin(), Members.end(), [&Members](const MemberRecord &Each) {
        return Each.DataCentre != Members.front().DataCentre;
      });
  if (Elsewhere != Members.end())
    std::rotate(Members.begin() + 1, Elsewhere, Elsewhere + 1);
  return Members;
}

} // namespace

const char *toString(ReadMode Value) {
  switch (Value) {
  case ReadMode::None:
    return "none";
  case ReadMode::Standby:
    return "standby";
  case ReadMode::Active:
    return "close";
  }
  return "none";
}

TableSync::TableSync(HostName Self, TableSyncTimes Times,
                     const std::map<StoreTable, TableCache *> &Caches,
                     Hooks Callbacks)
    : Self(std::move(Self)), Times(Times), Callbacks(std::move(Callbacks)) {
  for (const auto &[Table, Cache] : Caches)
    Tables[Table].Cache = Cache;
}

void TableSync::setMembers(const std::vector<MemberRecord> &Members) {
  const std::vector<MemberRecord> Ordered = orderByRank(Members);
  Others.clear();
  Rank = Ordered.size();
  for (std::size_t Place = 0; Place < Ordered.size(); ++Place) {
    if (Ordered[Place].Host == Self)
      Rank = Place;
    else
      Others.push_back(Ordered[Place].Host);
  }
}

Duration TableSync::longestRetry() const {
  return Rank < Times.FirstToRetry ? Times.RetryOfFirst : Times.RetryOfOthers;
}

TableVersions TableSync::versions() const {
  return {Tables.at(StoreTable::Routes).Cache->newest(),
          Tables.at(StoreTable::Servers).Cache->newest()};
}

bool TableSync::confirmedSince(Instant Since) const {
  return std::all_of(Tables.begin(), Tables.end(), [Since](const auto &Entry) {
    return Entry.second.ConfirmedAt && *Entry.second.ConfirmedAt >= Since;
  });
}

bool TableSync::behind(Instant Now) const {
  const Instant Since = Now - Times.ReadWhenBehindFor;
  return std::any_of(Tables.begin(), Tables.end(), [Since](const auto &Entry) {
    const State &Of = Entry.second;
    return Of.Ahead && Of.BehindSince <= Since &&
           knownVersion(*Of.Cache) < Of.AwaitedVersion;
  });
}

void TableSync::recordProgress(State &Of) const {
  const std::uint64_t Known = knownVersion(*Of.Cache);
  if (Of.Ahead && Known >= Of.AheadVersion)
    Of.Ahead.reset();
  // While changes follow one another, something newer is always heard of;
  // only a change that does not come tells that the news are lost.
  if (Of.Ahead && Known >= Of.AwaitedVersion) {
    Of.AwaitedVersion = Of.AheadVersion;
    Of.BehindSince = Of.AheadAt;
    Of.AskAt = Of.AheadAt + Times.AskAfter;
  }
}

void TableSync::tick(Instant Now) {
  if (!StartedAt)
    StartedAt = Now;
  for (auto &[Table, Of] : Tables) {
    recordProgress(Of);
    if (Of.OwedAt && Now >= *Of.OwedAt) {
      Of.OwedAt.reset();
      tellOthers(Now, Table, Of, Of.OwedAfter);
    }
    if (!Of.Ahead || Now < Of.AskAt)
      continue;
    Of.AskAt = Now + Times.AskAfter * 2;
    Callbacks.Send(*Of.Ahead, TableRequest{Table, Of.Cache->newest()});
  }
  decide(Now);
}

Duration TableSync::patience() const {
  if (Rank < Readers)
    return Times.BackupReadsAfter;
  const std::size_t Step = std::min<std::size_t>(Rank, Others.size());
  return Times.ReadAfter + Times.ReadSpread * static_cast<Duration::rep>(Step) /
                               static_cast<Duration::rep>(
                                   std::max<std::size_t>(1, Others.size()));
}

void TableSync::decide(Instant Now) {
  if (!StartedAt)
    return;
  // Before the fleet is known, every host would take itself for a reader.
  if (Now - *StartedAt < Times.FindPeers)
    return;
  if (Rank == 0) {
    setMode(ReadMode::Active, "reader");
    return;
  }
  // At the start, what was read counts until a reader had time for its word.
  const bool Told = confirmedSince(Now - patience()) ||
                    Now - *StartedAt < Times.FindPeers + patience();
  if (!Told || behind(Now)) {
    setMode(ReadMode::Active, Told ? "behind" : "not_told");
    return;
  }
  if (Now >= ReadUntil)
    setMode(Rank < Readers ? ReadMode::Standby : ReadMode::None,
            "told_by_reader");
}

void TableSync::setMode(ReadMode Next, const char *Reason) {
  if (Next == Mode)
    return;
  Mode = Next;
  Callbacks.Log("store_reading",
                {{"mode", toString(Next)},
                 {"why", Reason},
                 {"rank", std::to_string(Rank)},
                 {"hosts", std::to_string(Others.size() + 1)}});
  Callbacks.Read(Next);
}

void TableSync::onConfirmed(Instant Now, StoreTable Table, bool Changed,
                            std::uint64_t Before) {
  State &Of = Tables.at(Table);
  if (!confirmedSince(Now - patience()))
    ReadUntil = Now + Times.ReadAtLeast;
  Of.ConfirmedAt = Now;
  if (Mode == ReadMode::None)
    return;
  // One reader sends the rows; the others are asked if these are lost.
  const bool SendRows = Changed && Rank == 0;
  tellOthers(Now, Table, Of, SendRows ? Before : Of.Cache->newest());
  if (Changed && Rank == 1 && Before < Of.Cache->newest() && !Of.OwedAt) {
    Of.OwedAt = Now + Times.BackupSendsAfter;
    Of.OwedAfter = Before;
  }
}

TableRows TableSync::updatesOf(Instant Now, StoreTable Table, const State &Of,
                               std::uint64_t After) {
  TableRows Updates = Of.Cache->rowsAfter(Table, After);
  if (Of.ConfirmedAt)
    Updates.ConfirmedAgo = Now - *Of.ConfirmedAt;
  return Updates;
}

void TableSync::tellOthers(Instant Now, StoreTable Table, const State &Of,
                           std::uint64_t After) {
  TableRows Updates = updatesOf(Now, Table, Of, After);
  if (bytesOf(Updates.Rows) > Times.MaxUpdateBytes) {
    Updates.Rows.clear();
    Updates.After = Updates.UpTo;
  }
  Callbacks.Tell(Updates);
}

void TableSync::recordAhead(Instant Now, State &Of, const HostName &From,
                            std::uint64_t Version) {
  if (Version <= knownVersion(*Of.Cache))
    return;
  recordProgress(Of);
  // A host that knows nothing yet cannot serve, so it does not wait.
  if (!Of.Ahead) {
    Of.AwaitedVersion = Version;
    Of.AheadVersion = 0;
    Of.BehindSince = Now;
    Of.AskAt = Of.Cache->newest() == 0 ? Now : Now + Times.AskAfter;
  }
  if (Version < Of.AheadVersion)
    return;
  if (Version > Of.AheadVersion)
    Of.AheadAt = Now;
  Of.AheadVersion = Version;
  Of.Ahead = From;
}

void TableSync::onVersions(Instant Now, const HostName &From,
                           const TableVersions &Theirs) {
  for (auto &[Table, Of] : Tables)
    recordAhead(Now, Of, From, Theirs.of(Table));
  tick(Now);
}

void TableSync::onRequest(Instant Now, const HostName &From,
                          const TableRequest &Message) {
  const State &Of = Tables.at(Message.Table);
  Callbacks.Send(From, updatesOf(Now, Message.Table, Of, Message.After));
}

void TableSync::onRows(Instant Now, const HostName &From,
                       const TableRows &Message, Duration Delay) {
  State &Of = Tables.at(Message.Table);
  const bool FromReader = !Others.empty() && From == Others.front();
  if (FromReader && Message.UpTo >= Of.Cache->newest())
    Of.OwedAt.reset();
  // Rows that follow on versions unknown here would leave a gap.
  const bool Follows =
      Message.Whole || Message.After <= knownVersion(*Of.Cache);
  if (!Follows) {
    recordAhead(Now, Of, From, Message.UpTo);
    decide(Now);
    return;
  }
  if (!Message.Rows.empty()) {
    Callbacks.Log("rows_from_peer",
                  {{"peer", From.value()},
                   {"table", toString(Message.Table)},
                   {"rows", std::to_string(Message.Rows.size())},
                   {"version", std::to_string(Message.UpTo)},
                   {"before", std::to_string(Of.Cache->newest())}});
    if (Message.Whole)
      Of.Cache->replace(Message.Rows, Message.UpTo);
    else
      Of.Cache->apply(Message.Rows, Message.UpTo);
  }
  const bool UpToDate = knownVersion(*Of.Cache) >= Message.UpTo;
  if (!UpToDate) {
    recordAhead(Now, Of, From, Message.UpTo);
    return;
  }
  if (!Message.ConfirmedAgo)
    return;
  const Instant At = Now - *Message.ConfirmedAgo - Delay;
  Of.ConfirmedAt = std::max(Of.ConfirmedAt.value_or(At), At);
}

} // namespace mimosacart
