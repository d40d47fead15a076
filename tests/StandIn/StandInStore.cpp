#include "tests/StandIn/StandInStore.h"

#include <algorithm>
#include <cassert>

namespace ragwortmux::standin {

StandInStore::TransactionId StandInStore::begin() {
  m_OpenTransactions.emplace(++m_LastTransaction, Transaction());
  return m_LastTransaction;
}

std::optional<LogPoint> StandInStore::commit(TransactionId Id,
                                             const std::string &Attempt) {
  const auto Found = m_OpenTransactions.find(Id);
  assert(Found != m_OpenTransactions.end());
  if (isAborted(Attempt)) {
    rollback(Id);
    return std::nullopt;
  }
  if (Found->second.m_HasWrites) {
    assert(m_Role == StandInRole::Primary);
    StandInLogEntry Entry;
    Entry.m_Attempt = Attempt;
    Entry.m_Statements = Found->second.m_Statements;
    for (const auto &[Row, Value] : Found->second.m_Changes) {
      Entry.m_Changes.push_back({Row.first, Row.second, Value});
    }
    append(std::move(Entry));
    m_OnCommit(m_Log.back());
    m_OnChange();
  }
  rollback(Id);
  return point();
}

void StandInStore::rollback(TransactionId Id) {
  m_OpenTransactions.erase(Id);
  if (std::erase_if(m_Locks,
                    [Id](const auto &Lock) { return Lock.second == Id; }) > 0) {
    m_OnChange();
  }
}

bool StandInStore::lock(TransactionId Id, const std::string &Table,
                        const std::string &Key) {
  assert(isOpen(Id));
  return m_Locks.try_emplace({Table, Key}, Id).first->second == Id;
}

void StandInStore::write(TransactionId Id, StandInChange Change) {
  assert(m_Locks.at({Change.m_Table, Change.m_Key}) == Id);
  m_OpenTransactions.at(Id).m_Changes[{Change.m_Table, Change.m_Key}] =
      std::move(Change.m_Value);
}

void StandInStore::recordWrite(TransactionId Id, const std::string &Text) {
  Transaction &Open = m_OpenTransactions.at(Id);
  Open.m_HasWrites = true;
  Open.m_Statements += (Open.m_Statements.empty() ? "" : "; ") + Text;
}

std::optional<std::string> StandInStore::read(TransactionId Id,
                                              const std::string &Table,
                                              const std::string &Key) const {
  const auto &Changes = m_OpenTransactions.at(Id).m_Changes;
  if (const auto Own = Changes.find({Table, Key}); Own != Changes.end()) {
    return Own->second;
  }
  const auto Found = m_Tables.find(Table);
  if (Found == m_Tables.end()) {
    return std::nullopt;
  }
  const auto Row = Found->second.find(Key);
  return Row == Found->second.end() ? std::nullopt : std::optional(Row->second);
}

StandInStore::Rows StandInStore::rows(TransactionId Id,
                                      const std::string &Table) const {
  const auto Found = m_Tables.find(Table);
  Rows VisibleRows = Found == m_Tables.end() ? Rows() : Found->second;
  for (const auto &[Row, Value] : m_OpenTransactions.at(Id).m_Changes) {
    if (Row.first != Table) {
      continue;
    }
    VisibleRows.erase(Row.second);
    if (Value) {
      VisibleRows.emplace(Row.second, *Value);
    }
  }
  return VisibleRows;
}

bool StandInStore::fence(Term NewTerm) {
  if (NewTerm < m_Term) {
    return false;
  }
  if (NewTerm > m_Term) {
    journal(StandInFrameKind::Fence, {NewTerm, {}});
    m_Term = NewTerm;
    stepDown();
  }
  return true;
}

std::optional<LogPoint> StandInStore::promote(Term NewTerm) {
  if (m_Role == StandInRole::Primary && m_Term == NewTerm) {
    return m_PromotedAt;
  }
  if (NewTerm < m_Term || NewTerm == m_FollowedTerm) {
    return std::nullopt;
  }
  journal(StandInFrameKind::Promote, {NewTerm, {}});
  stepDown();
  m_PrimaryAddress.clear();
  m_Term = NewTerm;
  m_HistoryTerm = NewTerm;
  m_Role = StandInRole::Primary;
  m_PromotedAt = point();
  m_OnChange();
  return m_PromotedAt;
}

bool StandInStore::follow(Term NewTerm, const std::string &Address) {
  if (NewTerm < m_Term ||
      (NewTerm == m_Term && m_Role == StandInRole::Primary)) {
    return false;
  }
  if (NewTerm == m_FollowedTerm && Address == m_PrimaryAddress) {
    return true;
  }
  journal(StandInFrameKind::Follow, {NewTerm, {}}, Address);
  m_Term = NewTerm;
  m_FollowedTerm = NewTerm;
  m_PrimaryAddress = Address;
  stepDown();
  return true;
}

bool StandInStore::endAttempt(const std::string &Attempt) {
  if (m_Committed.contains(Attempt)) {
    return true;
  }
  if (!isAborted(Attempt)) {
    StandInLogEntry Entry;
    Entry.m_Attempt = Attempt;
    Entry.m_AttemptAborted = true;
    append(std::move(Entry));
    m_OnChange();
  }
  return false;
}

bool StandInStore::isAborted(const std::string &Attempt) const {
  return m_Aborted.contains(Attempt);
}

LogPosition
StandInStore::commonPosition(std::span<const StandInTermRun> Runs) const {
  // Two logs are equal up to the last position at which their entries have the
  // same term, since each term has only one primary, which assigns positions.
  LogPosition CommonPosition;
  LogPosition First(1);
  for (const StandInTermRun &Run : Runs) {
    const std::uint64_t End =
        std::min<std::uint64_t>(Run.m_LastPosition.value(), m_Log.size());
    for (std::uint64_t Position = End; Position >= First.value(); --Position) {
      if (m_Log[Position - 1].m_Point.m_Term == Run.m_Term) {
        CommonPosition = LogPosition(Position);
        break;
      }
    }
    First = LogPosition(Run.m_LastPosition.value() + 1);
  }
  return CommonPosition;
}

std::vector<StandInTermRun> StandInStore::termRuns() const {
  std::vector<StandInTermRun> Runs;
  for (const StandInLogEntry &Entry : m_Log) {
    if (Runs.empty() || Runs.back().m_Term != Entry.m_Point.m_Term) {
      Runs.push_back({Entry.m_Point.m_Term, {}});
    }
    Runs.back().m_LastPosition = Entry.m_Point.m_Position;
  }
  return Runs;
}

void StandInStore::adoptHistory(Term NewTerm, LogPosition CommonPosition) {
  assert(CommonPosition.value() <= m_Log.size());
  journal(StandInFrameKind::Start, {NewTerm, CommonPosition});
  m_HistoryTerm = NewTerm;
  if (CommonPosition.value() < m_Log.size()) {
    // Rebuilds the tables from the remaining entries.
    m_Log.resize(CommonPosition.value());
    m_Tables.clear();
    m_Committed.clear();
    m_Aborted.clear();
    for (const StandInLogEntry &Entry : m_Log) {
      applyChanges(Entry);
    }
  }
  m_OnChange();
}

void StandInStore::apply(const StandInLogEntry &Entry) {
  assert(m_Role == StandInRole::Replica);
  assert(Entry.m_Point.m_Position.value() == m_Log.size() + 1);
  m_OnJournal({StandInFrameKind::Entry, Entry});
  m_Log.push_back(Entry);
  applyChanges(Entry);
  m_OnChange();
}

void StandInStore::restore(const StandInFrame &Frame) {
  const LogPoint &Point = Frame.m_Entry.m_Point;
  switch (Frame.m_Kind) {
  case StandInFrameKind::Fence:
    fence(Point.m_Term);
    return;
  case StandInFrameKind::Promote:
    promote(Point.m_Term);
    return;
  case StandInFrameKind::Follow:
    follow(Point.m_Term, Frame.m_Address);
    return;
  case StandInFrameKind::Start:
    adoptHistory(Point.m_Term, Point.m_Position);
    return;
  case StandInFrameKind::Entry:
    m_Log.push_back(Frame.m_Entry);
    applyChanges(Frame.m_Entry);
    return;
  case StandInFrameKind::KeepAlive:
    return;
  }
}

LogPoint StandInStore::point() const {
  return {m_HistoryTerm, LogPosition(m_Log.size())};
}

void StandInStore::append(StandInLogEntry Entry) {
  Entry.m_Point = {m_HistoryTerm, LogPosition(m_Log.size() + 1)};
  m_OnJournal({StandInFrameKind::Entry, Entry});
  applyChanges(Entry);
  m_Log.push_back(std::move(Entry));
}

void StandInStore::journal(StandInFrameKind Kind, const LogPoint &Point,
                           const std::string &Address) {
  StandInFrame Frame;
  Frame.m_Kind = Kind;
  Frame.m_Entry.m_Point = Point;
  Frame.m_Address = Address;
  m_OnJournal(Frame);
}

void StandInStore::applyChanges(const StandInLogEntry &Entry) {
  for (const StandInChange &Change : Entry.m_Changes) {
    Rows &Table = m_Tables[Change.m_Table];
    if (Change.m_Value) {
      Table[Change.m_Key] = *Change.m_Value;
    } else {
      Table.erase(Change.m_Key);
    }
  }
  if (!Entry.m_Attempt.empty()) {
    (Entry.m_AttemptAborted ? m_Aborted : m_Committed).insert(Entry.m_Attempt);
  }
}

void StandInStore::stepDown() {
  // Open transactions belong to the old term and must not commit.
  m_Role = StandInRole::Replica;
  m_OpenTransactions.clear();
  m_Locks.clear();
  m_OnChange();
}

} // namespace ragwortmux::standin
