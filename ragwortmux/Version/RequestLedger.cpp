#include "ragwortmux/Version/RequestLedger.h"

#include "ragwortmux/Version/ControlCommand.h"
#include "ragwortmux/Version/RequestKeyTime.h"

#include <iterator>

namespace ragwortmux {

namespace {

ControlResult refusedWithRecord(ResultCode Code, const char *Reason,
                                const LedgerRecord &Record) {
  ControlResult Result = ControlResult::refused(Code, Reason);
  Result.m_Ledger = Record;
  return Result;
}

ControlResult success(const LedgerRecord &Record) {
  ControlResult Result;
  Result.m_Ledger = Record;
  return Result;
}

/// True if \p Code is the outcome of an attempt that ran.
bool isRanOutcome(ResultCode Code) {
  return Code == ResultCode::Ok || Code == ResultCode::RanAnswerTooLarge ||
         Code == ResultCode::RanAnswerLost;
}

} // namespace

ControlResult RequestLedger::reserve(const ReserveKey &Command, WallTime Now,
                                     const ControlResult &Permission) {
  const auto Canonical = canonicalRequestKey(Command.m_Key);
  if (!Canonical)
    return ControlResult::refused(ResultCode::NotRunBadRequest,
                                  "the key is not a UUID of version 7");
  if (Command.m_Attempt.value().empty() || Command.m_Owner.value().empty())
    return ControlResult::refused(ResultCode::NotRunBadRequest,
                                  "the attempt or the owner is empty");
  if (ControlResult Refusal = checkKeyTime(*Canonical, Now); !Refusal.ok())
    return Refusal;

  if (const LedgerRecord *Existing = find(Command.m_Owner, *Canonical)) {
    if (Existing->m_Group != Command.m_Group)
      return ControlResult::refused(ResultCode::NotRunBadRequest,
                                    "the key was used in another group");
    if (Existing->m_Phase == LedgerPhase::Ran)
      return refusedWithRecord(ResultCode::RanEarlier,
                               "the request has already run", *Existing);
    const bool IsSame = Existing->m_Attempt == Command.m_Attempt;
    if (Existing->m_Phase == LedgerPhase::Reserved)
      return IsSame ? success(*Existing)
                    : refusedWithRecord(ResultCode::NotRunKeyInUse,
                                        "another attempt holds the key",
                                        *Existing);
    if (IsSame)
      return refusedWithRecord(ResultCode::NotRunBadRequest,
                               "the attempt has ended", *Existing);
  } else if (const auto Live = m_LiveKeyCounts.find(Command.m_Owner);
             Live != m_LiveKeyCounts.end() &&
             Live->second >= m_Settings.m_MaxKeysPerOwner) {
    return ControlResult::refused(ResultCode::NotRunQueueFull,
                                  "the owner has too many live keys");
  }
  if (!Permission.ok())
    return Permission;
  LedgerRecord Record;
  Record.m_Owner = Command.m_Owner;
  Record.m_Key = *Canonical;
  Record.m_Attempt = Command.m_Attempt;
  Record.m_Session = Command.m_Session;
  Record.m_Group = Command.m_Group;
  Record.m_Term = Command.m_Term;
  insert(Record);
  return success(Record);
}

ControlResult RequestLedger::checkKeyTime(const RequestKey &Canonical,
                                          WallTime Now) const {
  if (Now == WallTime())
    return ControlResult::refused(ResultCode::NotRunLedgerUnavailable,
                                  "the log has no time yet");
  const WallTime Made = *requestKeyTime(Canonical);
  if (Made < Now - m_Settings.m_Retention)
    return ControlResult::refused(ResultCode::NotRunKeyExpired,
                                  "the key is older than the retention");
  if (Made > Now + m_Settings.m_MaxAhead)
    return ControlResult::refused(ResultCode::NotRunKeyExpired,
                                  "the key's time is in the future");
  return {};
}

ControlResult RequestLedger::record(const RecordOutcome &Command) {
  LedgerRecord *Existing = findMutable(Command.m_Owner, Command.m_Key);
  if (Existing == nullptr)
    return ControlResult::refused(ResultCode::BadArgument,
                                  "the key is not in the ledger");
  const bool Ran = isRanOutcome(Command.m_Code);
  if (!Ran && !isNotRun(Command.m_Code))
    return ControlResult::refused(ResultCode::BadArgument,
                                  "the code is not an outcome");
  if (Existing->m_Attempt != Command.m_Attempt)
    return refusedWithRecord(ResultCode::NotRunKeyInUse,
                             "another attempt holds the key", *Existing);
  // The first outcome is final; recording the same one again returns it.
  const LedgerPhase Phase = Ran ? LedgerPhase::Ran : LedgerPhase::NotRun;
  if (Existing->m_Phase != LedgerPhase::Reserved)
    return Existing->m_Phase == Phase
               ? success(*Existing)
               : refusedWithRecord(ResultCode::BadArgument,
                                   "the attempt has another outcome",
                                   *Existing);
  Existing->m_Phase = Phase;
  Existing->m_Code = Command.m_Code;
  if (!Ran)
    return success(*Existing);
  if (Command.m_Answer.size() > m_Settings.m_MaxAnswerBytes)
    Existing->m_Code = ResultCode::RanAnswerTooLarge;
  else
    Existing->m_Answer = Command.m_Answer;
  return success(*Existing);
}

ControlResult RequestLedger::resolve(const ResolveAttempt &Command,
                                     bool HasHolderEnded) {
  LedgerRecord *Existing = findMutable(Command.m_Owner, Command.m_Key);
  if (Existing == nullptr)
    return ControlResult::refused(ResultCode::BadArgument,
                                  "the key is not in the ledger");
  if (Existing->m_Attempt != Command.m_Attempt ||
      Existing->m_Phase != LedgerPhase::Reserved)
    return refusedWithRecord(ResultCode::NotRunKeyInUse,
                             "the attempt does not hold the key", *Existing);
  if (!HasHolderEnded && Command.m_Resolver != Existing->m_Session)
    return refusedWithRecord(
        ResultCode::NotRunKeyInUse,
        "the session of the proxy that runs the attempt is still open",
        *Existing);
  Existing->m_Phase =
      Command.m_Committed ? LedgerPhase::Ran : LedgerPhase::NotRun;
  Existing->m_Code = Command.m_Committed ? ResultCode::RanAnswerLost
                                         : ResultCode::NotRunRolledBack;
  return success(*Existing);
}

void RequestLedger::prune(WallTime Now) {
  // An owner's canonical keys are ordered by their time, so this visits only
  // the removed ones.
  for (auto Owner = m_LiveKeyCounts.begin(); Owner != m_LiveKeyCounts.end();) {
    auto &[Id, Live] = *Owner;
    auto Oldest = m_Records.lower_bound({Id, RequestKey()});
    while (Live > 0 && *requestKeyTime(Oldest->first.m_Key) <
                           Now - m_Settings.m_Retention) {
      Oldest = m_Records.erase(Oldest);
      --Live;
    }
    Owner = Live == 0 ? m_LiveKeyCounts.erase(Owner) : std::next(Owner);
  }
}

void RequestLedger::importData(const std::vector<LedgerRecord> &Records) {
  m_Records.clear();
  m_LiveKeyCounts.clear();
  for (const LedgerRecord &Record : Records)
    insert(Record);
}

void RequestLedger::insert(LedgerRecord Record) {
  const Key Id{Record.m_Owner, Record.m_Key};
  if (m_Records.insert_or_assign(Id, std::move(Record)).second)
    ++m_LiveKeyCounts[Id.m_Owner];
}

const LedgerRecord *RequestLedger::find(const OwnerId &Owner,
                                        const RequestKey &Key) const {
  const auto Canonical = canonicalRequestKey(Key);
  if (!Canonical)
    return nullptr;
  const auto Found = m_Records.find({Owner, *Canonical});
  return Found == m_Records.end() ? nullptr : &Found->second;
}

LedgerRecord *RequestLedger::findMutable(const OwnerId &Owner,
                                         const RequestKey &Key) {
  const auto Canonical = canonicalRequestKey(Key);
  if (!Canonical)
    return nullptr;
  const auto Found = m_Records.find({Owner, *Canonical});
  return Found == m_Records.end() ? nullptr : &Found->second;
}

void RequestLedger::forEachRecord(
    const std::function<void(const LedgerRecord &)> &Visit) const {
  for (const auto &[Id, Record] : m_Records)
    Visit(Record);
}

} // namespace ragwortmux
