#include "wire/table_codec.h"

namespace mimosacart {

namespace {

std::optional<StoreTable> readTable(std::uint32_t Value) {
  if (Value > static_cast<std::uint32_t>(StoreTable::Servers))
    return std::nullopt;
  return static_cast<StoreTable>(Value);
}

} // namespace

void write(const TableRequest &From, wire::Envelope &To) {
  To.mutable_table_request()->set_table(static_cast<std::uint32_t>(From.Table));
  To.mutable_table_request()->set_after(From.After.number());
  To.mutable_table_request()->set_after_era(From.After.era());
}

void write(const TableRows &From, wire::Envelope &Envelope) {
  wire::TableRows &To = *Envelope.mutable_table_rows();
  To.set_table(static_cast<std::uint32_t>(From.Table));
  To.set_up_to(From.UpTo.number());
  To.set_era(From.UpTo.era());
  To.set_whole(From.Whole);
  To.set_after(From.After.number());
  To.set_after_era(From.After.era());
  To.set_pass_on(From.ForwardInDataCentre);
  for (const std::string &Address : From.ForwardTo)
    To.add_forward_to(Address);
  To.set_reader(From.Reader.value());
  if (From.ConfirmedAgo)
    To.set_confirmed_ago_us(From.ConfirmedAgo->count());
  for (const TableRow &Row : From.Rows) {
    wire::TableRow &WireRow = *To.add_rows();
    WireRow.set_key(Row.Key);
    WireRow.set_version(Row.Version.number());
    WireRow.set_removed(Row.Removed);
    WireRow.set_value(Row.Value);
  }
}

std::optional<TableRequest> readTableRequest(const wire::TableRequest &From) {
  const auto Table = readTable(From.table());
  if (!Table)
    return std::nullopt;
  return TableRequest{*Table, {From.after_era(), From.after()}};
}

std::optional<TableRows> readTableRows(const wire::TableRows &From) {
  const auto Table = readTable(From.table());
  if (!Table)
    return std::nullopt;
  TableRows To;
  To.Table = *Table;
  To.After = {From.after_era(), From.after()};
  To.UpTo = {From.era(), From.up_to()};
  To.Whole = From.whole();
  To.ForwardInDataCentre = From.pass_on();
  To.ForwardTo.assign(From.forward_to().begin(), From.forward_to().end());
  To.Reader = HostName(From.reader());
  if (From.has_confirmed_ago_us())
    To.ConfirmedAgo = Duration(From.confirmed_ago_us());
  for (const wire::TableRow &Row : From.rows())
    To.Rows.push_back(
        {Row.key(), {From.era(), Row.version()}, Row.removed(), Row.value()});
  return To;
}

} // namespace mimosacart
