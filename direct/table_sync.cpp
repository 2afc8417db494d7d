#include "direct/table_sync.h"

#include "core/hash.h"
#include "direct/dissemination_plan.h"

#include <algorithm>

namespace mimosacart {

namespace {

/// Hosts of rank 0 (primary reader) and 1 (backup reader) read the store.
constexpr std::size_t ReaderCount = 2;

/// Number of requests in a row that are logged.
constexpr unsigned LoggedRequests = 3;

std::string toText(Duration Value) {
  return std::to_string(wholeMilliseconds(Value));
}

void append(FlowFields &Fields, const FlowFields &Others) {
  Fields.insert(Fields.end(), Others.begin(), Others.end());
}

} // namespace

const char *toString(ReadMode Value) {
  switch (Value) {
  case ReadMode::None:
    return "none";
  case ReadMode::Standby:
    return "standby";
  case ReadMode::Active:
    return "close"; // The name in logs is fixed.
  }
  return "none";
}

TableSync::TableSync(const HostName &Self, TableSyncTimes Times,
                     bool IsFirstStart,
                     const std::map<StoreTable, TableCache *> &Caches,
                     Hooks Callbacks)
    : Self(Self), Times(Times), IsFirstStart(IsFirstStart),
      Callbacks(std::move(Callbacks)), Ranks(Self),
      Random(static_cast<std::uint32_t>(stableHash(Self.value()))) {
  for (const auto &[Table, Cache] : Caches)
    Tables[Table].Cache = Cache;
}

Duration TableSync::longestRetry() const {
  if (Ranks.rank() < Times.ReaderCandidates)
    return Times.ShortRetryPause;
  return std::max(Times.LongRetryPause,
                  Times.LongRetryPausePerHost *
                      static_cast<Duration::rep>(Ranks.peers().size()));
}

TableVersions TableSync::versions() const {
  return {Tables.at(StoreTable::Routes).Cache->latestRowVersion(),
          Tables.at(StoreTable::Servers).Cache->latestRowVersion()};
}

bool TableSync::confirmedSince(const TableState &State, Instant Since) {
  return State.ConfirmedAt && *State.ConfirmedAt >= Since;
}

bool TableSync::isUpdateOverdue(Instant Now, const TableState &State) const {
  return State.NewerPeer &&
         State.PendingSince <=
             Now - updateTimeout(State, State.PendingVersion) &&
         State.Cache->knownVersion() < State.PendingVersion;
}

void TableSync::updatePendingVersion(TableState &State) const {
  const StoreVersion Known = State.Cache->knownVersion();
  if (State.NewerPeer && Known >= State.NewerVersion)
    State.NewerPeer.reset();
  // While changes follow each other quickly, a newer version is always known
  // before its rows arrive. Only a version that does not arrive in time shows
  // that its update was lost, so each pending version has its own timeout.
  if (State.NewerPeer && Known >= State.PendingVersion) {
    State.PendingVersion = State.NewerVersion;
    State.PendingSince = State.NewerVersionAt;
    State.Repair.restart(State.NewerVersionAt +
                         requestAfter(State, State.NewerVersion));
  }
}

void TableSync::tick(Instant Now) {
  if (!StartedAt)
    StartedAt = Now;
  for (auto &[Table, State] : Tables) {
    updatePendingVersion(State);
    if (State.BackupSendAt && Now >= *State.BackupSendAt) {
      State.BackupSendAt.reset();
      broadcastUpdate(Now, Table, State, State.BackupSendAfter);
    }
    updateRepair(Now, State);
    if (needsRepair(Now, State) && State.Repair.isDue(Now))
      requestRows(Now, Table, State);
  }
  readAtStart(Now);
  updateReadModes(Now);
}

bool TableSync::isSilent(Instant Now, const TableState &State) const {
  // A host without rows gets those of the first peer that has any.
  if (State.Cache->isEmpty())
    return false;
  if (State.ConfirmedAt)
    return Now - *State.ConfirmedAt >= Times.ConfirmationWait;
  // The readers get time to send their first confirmation.
  return Now - StartedAt.value_or(Now) >=
         Times.DiscoveryTime + Times.ConfirmationWait;
}

void TableSync::updateRepair(Instant Now, TableState &State) const {
  if (!needsRepair(Now, State)) {
    if (State.Repair.attempts() > 0)
      State.Repair.restart(Now);
    return;
  }
  // A host that has just heard of a later version waits for its rows. They are
  // lost if the confirmations are, too.
  const Instant Latest = std::max(State.AnnouncedAt.value_or(Instant()),
                                  State.ConfirmedAt.value_or(Instant()));
  const bool LacksEra =
      State.NewerPeer && State.Cache->lacksEraOf(State.NewerVersion);
  if (State.Repair.attempts() == 0 && !LacksEra && isSilent(Now, State) &&
      Now - Latest >= Times.ConfirmationWait)
    State.Repair.bringForward(Now);
}

void TableSync::requestRows(Instant Now, StoreTable Table, TableState &State) {
  const StoreVersion Latest = State.Cache->latestRowVersion();
  RepairReason Reason =
      State.NewerPeer ? RepairReason::Behind : RepairReason::Unconfirmed;
  if (Latest == StoreVersion())
    Reason = RepairReason::Empty;
  else if (State.NewerPeer && State.Cache->lacksEraOf(State.NewerVersion))
    Reason = RepairReason::EarlierEra;
  // The first message may come from a peer elsewhere.
  const bool MayMeetLocalPeers =
      Ranks.sources().Local.empty() &&
      Now - StartedAt.value_or(Now) < Times.LocalPeerTime;
  if (Reason == RepairReason::Empty && MayMeetLocalPeers)
    return;
  const std::optional<HostName> Previous = State.Repair.asked();
  const auto Target =
      State.Repair.next(Now, Reason, Ranks.sources(), State.NewerPeer, Random);
  if (!Target)
    return;
  if (State.Repair.attempts() <= LoggedRequests) {
    FlowFields Fields = {
        {"peer", Target->value()},
        {"table", toString(Table)},
        {"unanswered", Previous ? Previous->value() : "none"},
        {"version", std::to_string(State.NewerVersion.number())},
        {"known", std::to_string(Latest.number())}};
    append(Fields, lackFields(Now, State));
    Callbacks.Log("rows_requested", Fields);
  }
  Callbacks.Send(*Target, TableRequest{Table, Latest});
}

FlowFields TableSync::lackFields(Instant Now, const TableState &State) {
  FlowFields Result;
  if (State.NewerPeer)
    Result = {{"heard_ms", toText(Now - State.HeardAt)},
              {"heard_from", State.HeardFrom.value()}};
  Result.push_back({"confirmed_ms", State.ConfirmedAt
                                        ? toText(Now - *State.ConfirmedAt)
                                        : "never"});
  return Result;
}

TableFreshness TableSync::freshness(Instant Now, StoreTable Table) const {
  const TableState &State = Tables.at(Table);
  TableFreshness Result;
  if (State.ConfirmedAt)
    Result.ConfirmedAgo = Now - *State.ConfirmedAt;
  Result.Requests = State.Repair.sent();
  Result.RequestsUnanswered = State.Repair.unanswered();
  return Result;
}

void TableSync::readAtStart(Instant Now) {
  if (IsFirstStart || ReadAtStartDone)
    return;
  if (!PeerLacksTables && Now - *StartedAt < Times.PeerTableTime)
    return;
  ReadAtStartDone = true;
  for (const auto &[Table, State] : Tables)
    if (State.Cache->version() == StoreVersion())
      Callbacks.ReadTable(Table);
}

bool TableSync::isLargeFleet() const {
  return Ranks.peers().size() > DisseminationPlan::MaxDirectPeers;
}

Duration TableSync::updateTimeout() const {
  return isLargeFleet() ? Times.LargeFleetUpdateTimeout : Times.UpdateTimeout;
}

Duration TableSync::requestAfter(const TableState &State,
                                 StoreVersion Version) const {
  if (State.Cache->latestRowVersion() == StoreVersion())
    return Duration::zero();
  if (State.Cache->lacksEraOf(Version))
    return Times.EraRequestAfter + scaled(Times.EraSpread, Ranks.share());
  return isLargeFleet() ? Times.LargeFleetRequestAfter : Times.RequestAfter;
}

Duration TableSync::updateTimeout(const TableState &State,
                                  StoreVersion Version) const {
  if (State.Cache->lacksEraOf(Version))
    return Times.EraUpdateTimeout + scaled(Times.EraSpread, Ranks.share());
  return updateTimeout();
}

Duration TableSync::wholeReadDelay(bool AfterFailures) const {
  if (Ranks.rank() == 0)
    return Duration::zero();
  if (Ranks.rank() < ReaderCount)
    return Times.BackupWholeReadDelay;
  if (AfterFailures)
    return Times.OutageWholeReadDelay +
           scaled(Times.OutageWholeReadSpread, Ranks.share());
  return Times.WholeReadDelay + scaled(Times.WholeReadSpread, Ranks.share());
}

Duration TableSync::confirmationTimeout(const TableState &State) const {
  if (Ranks.rank() < ReaderCount)
    return Times.BackupReadWait;
  if (Ranks.rank() < Times.ReaderCandidates)
    return Times.CandidateReadWait +
           Times.CandidateInterval *
               static_cast<Duration::rep>(Ranks.rank() - ReaderCount);
  if (State.Repair.vainAnswers() >= Times.FleetAnswers)
    return Times.FleetReadWait +
           scaled(Times.FleetReadWaitSpread, Ranks.share());
  return Times.ReadWait + scaled(Times.ReadWaitSpread, Ranks.share());
}

bool TableSync::isActingPrimary(Instant Now, const TableState &State) const {
  if (Ranks.rank() == 0)
    return true;
  const bool IsTold =
      State.ToldAt && *State.ToldAt >= Now - confirmationTimeout(State);
  return State.Mode == ReadMode::Active &&
         Ranks.rank() < Times.ReaderCandidates && !IsTold;
}

void TableSync::updateReadModes(Instant Now) {
  if (!StartedAt)
    return;
  // A host that has not discovered its peers yet has rank 0 and would read.
  if (Now - *StartedAt < Times.DiscoveryTime)
    return;
  for (auto &[Table, State] : Tables)
    updateReadMode(Now, Table, State);
}

void TableSync::updateReadMode(Instant Now, StoreTable Table,
                               TableState &State) {
  if (Ranks.rank() == 0) {
    setMode(Now, Table, State, ReadMode::Active, "reader");
    return;
  }
  // After the start, the readers get time to send their first confirmation.
  const bool Confirmed =
      confirmedSince(State, Now - confirmationTimeout(State)) ||
      Now - *StartedAt < Times.DiscoveryTime + confirmationTimeout(State);
  if (!Confirmed || isUpdateOverdue(Now, State)) {
    setMode(Now, Table, State, ReadMode::Active,
            Confirmed ? "behind" : "not_told");
    return;
  }
  // The other hosts rely on a host that read because no reader did.
  if (Now >= State.ReadUntil && !isActingPrimary(Now, State))
    setMode(Now, Table, State,
            Ranks.rank() < ReaderCount ? ReadMode::Standby : ReadMode::None,
            "told_by_reader");
}

void TableSync::setMode(Instant Now, StoreTable Table, TableState &State,
                        ReadMode NewMode, const char *Reason) {
  if (NewMode == State.Mode)
    return;
  State.Mode = NewMode;
  FlowFields Fields = {{"table", toString(Table)},
                       {"mode", toString(NewMode)},
                       {"why", Reason},
                       {"rank", std::to_string(Ranks.rank())},
                       {"hosts", std::to_string(Ranks.peers().size() + 1)}};
  append(Fields, lackFields(Now, State));
  Callbacks.Log("store_reading", Fields);
  Callbacks.SetReadMode(Table, NewMode);
}

void TableSync::onStoreRead(Instant Now, StoreTable Table, bool HasChanges,
                            StoreVersion PreviousVersion) {
  TableState &State = Tables.at(Table);
  const bool TookOver =
      !confirmedSince(State, Now - confirmationTimeout(State));
  if (TookOver && Ranks.rank() < Times.ReaderCandidates)
    State.ReadUntil = Now + Times.MinReadTime;
  if (HasChanges) {
    FlowFields Fields = {
        {"table", toString(Table)},
        {"version", std::to_string(State.Cache->latestRowVersion().number())},
        {"before", std::to_string(PreviousVersion.number())}};
    append(Fields, lackFields(Now, State));
    Callbacks.Log("rows_from_store", Fields);
  }
  State.ConfirmedAt = Now;
  State.ConfirmedBy = Self;
  if (State.Mode == ReadMode::None)
    return;
  // Only one reader sends the rows. A host that misses them requests them from
  // a peer that reports the later version.
  const bool SendRows = HasChanges && isActingPrimary(Now, State);
  broadcastUpdate(Now, Table, State,
                  SendRows ? PreviousVersion : State.Cache->latestRowVersion());
  if (HasChanges && !SendRows && Ranks.rank() == 1 &&
      PreviousVersion < State.Cache->latestRowVersion() &&
      !State.BackupSendAt) {
    State.BackupSendAt = Now + (isLargeFleet() ? Times.LargeFleetBackupSendDelay
                                               : Times.BackupSendDelay);
    State.BackupSendAfter = PreviousVersion;
  }
}

TableRows TableSync::makeUpdate(Instant Now, StoreTable Table,
                                const TableState &State, StoreVersion After) {
  TableRows Update = State.Cache->rowsAfter(Table, After);
  if (State.ConfirmedAt)
    Update.ConfirmedAgo = Now - *State.ConfirmedAt;
  Update.Reader = State.ConfirmedBy;
  return Update;
}

void TableSync::broadcastUpdate(Instant Now, StoreTable Table,
                                const TableState &State, StoreVersion After) {
  TableRows Update = makeUpdate(Now, Table, State, After);
  const bool HasLargeRow = std::any_of(
      Update.Rows.begin(), Update.Rows.end(), [this](const TableRow &Row) {
        return Row.Value.size() > Times.MaxRowBytes;
      });
  // A host without rows would serve callers with the configuration of the first
  // part before it knows the evacuations of the later ones.
  const bool IsFirstOfRoutes =
      Table == StoreTable::Routes && Update.After == StoreVersion();
  const std::size_t MaxBytes =
      IsFirstOfRoutes ? Times.MaxRowBytes : Times.MaxUpdateBytes;
  const bool CannotSplit =
      (Update.Whole || IsFirstOfRoutes) && countBytes(Update.Rows) > MaxBytes;
  if (HasLargeRow || CannotSplit) {
    Update.Rows.clear();
    Update.After = Update.UpTo;
    Update.Whole = false;
  }
  for (const TableRows &Part : splitUpdate(std::move(Update), MaxBytes))
    Callbacks.Broadcast(Part);
}

void TableSync::recordNewerVersion(Instant Now, TableState &State,
                                   const HostName &From, StoreVersion Version) {
  if (Version <= State.Cache->knownVersion())
    return;
  updatePendingVersion(State);
  if (!State.NewerPeer) {
    State.PendingVersion = Version;
    State.NewerVersion = StoreVersion();
    State.PendingSince = Now;
    State.HeardAt = Now;
    State.HeardFrom = From;
    // A host without any rows cannot serve, so it requests them at once.
    const Instant RequestAt = Now + requestAfter(State, Version);
    if (isSilent(Now, State))
      State.Repair.bringForward(RequestAt);
    else
      State.Repair.restart(RequestAt);
  }
  if (Version < State.NewerVersion)
    return;
  // Many rows cost much between data centres.
  const bool HasLocalSource = State.Cache->lacksEraOf(Version) &&
                              State.NewerPeer &&
                              Ranks.isLocalPeer(*State.NewerPeer);
  if (Version == State.NewerVersion && HasLocalSource)
    return;
  if (Version > State.NewerVersion)
    State.NewerVersionAt = Now;
  State.NewerVersion = Version;
  State.NewerPeer = From;
}

void TableSync::onPeerVersions(Instant Now, const HostName &From,
                               const TableVersions &Versions) {
  PeerLacksTables |= Versions == TableVersions();
  for (auto &[Table, State] : Tables)
    recordNewerVersion(Now, State, From, Versions.of(Table));
  tick(Now);
}

void TableSync::onRequest(Instant Now, const HostName &From,
                          const TableRequest &Message) {
  const TableState &State = Tables.at(Message.Table);
  Callbacks.Send(From, makeUpdate(Now, Message.Table, State, Message.After));
}

bool TableSync::isApplicable(const TableRows &Message,
                             const TableCache &Cache) {
  const StoreVersion Known = Cache.knownVersion();
  if (Message.Whole)
    return Message.UpTo.era() >= Known.era();
  // Rows that start after a version that this host lacks would leave a gap, as
  // would changes in another era.
  const bool IsSameEra = Cache.isEmpty() || Message.UpTo.era() == Known.era();
  return IsSameEra && Message.After <= Known;
}

void TableSync::onRows(Instant Now, const HostName &From,
                       const TableRows &Message, Duration Delay) {
  TableState &State = Tables.at(Message.Table);
  const bool WasAsked = State.Repair.onRows(From);
  // The backup reader does not send rows that the primary reader, the first
  // peer in its list, has sent. Other peers may have forwarded them.
  const bool FromPrimary =
      !Ranks.peers().empty() && From == Ranks.peers().front();
  const bool SentByPrimary = FromPrimary || !Message.Rows.empty();
  if (SentByPrimary && Message.UpTo >= State.Cache->latestRowVersion())
    State.BackupSendAt.reset();
  // The host of this data centre that was asked for the whole table lacks it.
  const bool PeerLacksTable = Message.UpTo == StoreVersion() &&
                              !Message.ConfirmedAgo && State.NewerPeer &&
                              From != *State.NewerPeer;
  if (PeerLacksTable && State.Cache->latestRowVersion() == StoreVersion()) {
    requestRows(Now, Message.Table, State);
    return;
  }
  applyRows(Now, From, Message, Delay, State);
  updatePendingVersion(State);
  if (WasAsked && needsRepair(Now, State))
    State.Repair.onVain(Now);
}

void TableSync::applyRows(Instant Now, const HostName &From,
                          const TableRows &Message, Duration Delay,
                          TableState &State) {
  std::optional<Instant> ReadAt;
  if (Message.ConfirmedAgo &&
      Message.UpTo.era() >= State.Cache->knownVersion().era())
    ReadAt = Now - *Message.ConfirmedAgo - Delay;
  State.AnnouncedAt = std::max(State.AnnouncedAt, ReadAt);
  if (!isApplicable(Message, *State.Cache)) {
    recordNewerVersion(Now, State, From, Message.UpTo);
    updateReadModes(Now);
    return;
  }
  const bool BeginsEra = Message.Whole && State.Cache->lacksEraOf(Message.UpTo);
  if (!Message.Rows.empty() || BeginsEra) {
    FlowFields Fields = {
        {"peer", From.value()},
        {"reader", Message.Reader.value()},
        {"table", toString(Message.Table)},
        {"rows", std::to_string(Message.Rows.size())},
        {"version", std::to_string(Message.UpTo.number())},
        {"before", std::to_string(State.Cache->latestRowVersion().number())},
        {"era", std::to_string(Message.UpTo.era())},
        {"delay_ms", toText(Delay)}};
    append(Fields, lackFields(Now, State));
    Callbacks.Log("rows_from_peer", Fields);
    if (Message.Whole)
      State.Cache->replace(Message.Rows, Message.UpTo);
    else
      State.Cache->apply(Message.Rows, Message.UpTo);
  }
  const bool UpToDate = State.Cache->knownVersion() >= Message.UpTo;
  if (!UpToDate) {
    recordNewerVersion(Now, State, From, Message.UpTo);
    return;
  }
  if (!ReadAt)
    return;
  const Instant ConfirmedAt = *ReadAt;
  if (Ranks.outranksThis(Message.Reader))
    State.ToldAt = std::max(State.ToldAt.value_or(ConfirmedAt), ConfirmedAt);
  if (State.ConfirmedAt && *State.ConfirmedAt >= ConfirmedAt)
    return;
  State.ConfirmedAt = ConfirmedAt;
  State.ConfirmedBy = Message.Reader;
}

} // namespace mimosacart
