#include "tests/StandIn/StandInSession.h"

#include "ragwortmux/Connection/Codec/PgMessageWriter.h"

#include <cassert>
#include <charconv>

namespace ragwortmux::standin {

namespace {

constexpr const char *AttemptSetting = "ragwortmux.attempt";
constexpr const char *PositionSetting = "ragwortmux.position";

PgResult commandResult(std::string Tag) {
  PgResult Result;
  Result.m_CommandTag = std::move(Tag);
  return Result;
}

std::string toText(const LogPoint &Point) {
  return std::to_string(Point.m_Term.value()) + ":" +
         std::to_string(Point.m_Position.value());
}

} // namespace

StandInSession::StandInSession(StandInContext &Context, Term ConnectionTerm)
    : m_Context(Context), m_Functions(Context), m_Term(ConnectionTerm) {}

StandInSession::~StandInSession() { abort(); }

void StandInSession::start(const std::string &Sql) {
  assert(m_Answer.empty());
  m_StatementIndex = 0;
  m_StartedAt.reset();
  m_Cancelled = false;
  m_HasCommitted = false;
  auto Parsed = parseStandInSql(Sql);
  m_Statements = Parsed ? std::move(*Parsed) : std::vector<StandInStatement>();
  if (!Parsed) {
    refuse(*standInError("42601", "syntax error").m_Error);
  } else if (m_Statements.empty()) {
    PgMessageWriter(m_Answer).emptyQueryResponse();
  }
}

void StandInSession::refuse(const PgError &Error) {
  PgMessageWriter(m_Answer).errorResponse(Error);
  m_Statements.clear();
  abort();
}

void StandInSession::refuseWithoutRollback(const PgError &Error) {
  PgMessageWriter(m_Answer).errorResponse(Error);
  m_Statements.clear();
}

std::optional<Instant> StandInSession::step(Instant Now) {
  while (m_StatementIndex < m_Statements.size()) {
    const StandInStatement &Statement = m_Statements[m_StatementIndex];
    if (!m_StartedAt) {
      m_StartedAt = Now;
    }
    Instant RetryAt = Now;
    auto Result = run(Statement, Now, RetryAt);
    if (!Result) {
      return RetryAt;
    }
    // Outside of a block, the message commits before the last statement's
    // result is added, so that a result means that all of it is committed.
    const bool Last = m_StatementIndex + 1 == m_Statements.size();
    if (Last && !Result->m_Error && !m_InBlock) {
      if (auto Failure = commit()) {
        Result = std::move(Failure);
      }
    }
    if (Result->m_Error) {
      refuse(*Result->m_Error);
      break;
    }
    PgMessageWriter(m_Answer).result(*Result);
    m_StartedAt.reset();
    ++m_StatementIndex;
  }
  finish();
  return std::nullopt;
}

std::string StandInSession::takeAnswer() { return std::exchange(m_Answer, {}); }

bool StandInSession::needsSlot() const {
  for (const StandInStatement &Statement : m_Statements) {
    if (isData(Statement)) {
      return true;
    }
  }
  return false;
}

bool StandInSession::wouldCommit() const {
  for (const StandInStatement &Statement : m_Statements) {
    if (Statement.m_Type == StandInStatementType::Commit ||
        (isWrite(Statement.m_Type) && !m_InBlock)) {
      return true;
    }
  }
  return false;
}

std::optional<PgResult> StandInSession::run(const StandInStatement &Statement,
                                            Instant Now, Instant &RetryAt) {
  if (auto Refused = checkPreconditions(Statement)) {
    return Refused;
  }
  const StandInStatementType Type = Statement.m_Type;
  if (Type == StandInStatementType::Commit ||
      Type == StandInStatementType::Rollback) {
    return endBlock(Statement);
  }
  if (Type == StandInStatementType::Set || Type == StandInStatementType::Show ||
      Type == StandInStatementType::DiscardAll) {
    return runSetting(Statement);
  }
  if (Type == StandInStatementType::Begin) {
    m_InBlock = true;
    return commandResult("BEGIN");
  }
  if (isData(Statement)) {
    return runData(Statement, Now, RetryAt);
  }
  if (Statement.m_Name == "ragwortmux_end_attempt" && !m_Attempt.empty() &&
      !Statement.m_Arguments.empty() && Statement.m_Arguments[0] == m_Attempt) {
    return standInError("55000", "a session cannot end its own attempt");
  }
  return m_Functions.call(Statement, *m_StartedAt, Now, RetryAt);
}

std::optional<PgResult>
StandInSession::checkPreconditions(const StandInStatement &Statement) const {
  StandInStore &Store = m_Context.m_Store;
  if (m_Cancelled) {
    return standInError("57014", "canceling statement due to user request");
  }
  if (m_Term.value() != 0 && Store.term() > m_Term) {
    return standInError("72000", "the server's term is higher");
  }
  if (m_Transaction != 0 && !Store.isOpen(m_Transaction)) {
    return standInError("72000",
                        "the transaction was rolled back when its term ended");
  }
  const bool EndsBlock = Statement.m_Type == StandInStatementType::Commit ||
                         Statement.m_Type == StandInStatementType::Rollback;
  if (m_BlockFailed && !EndsBlock) {
    return standInError("25P02", "current transaction is aborted");
  }
  if (isWrite(Statement.m_Type) && Store.role() != StandInRole::Primary) {
    return m_Term.value() != 0
               ? standInError("72000", "the server is a replica")
               : standInError("25006", "cannot write on a replica");
  }
  if (isData(Statement) && Store.isAborted(m_Attempt)) {
    return standInError("57014", "the attempt has been ended");
  }
  return std::nullopt;
}

std::optional<PgResult>
StandInSession::runData(const StandInStatement &Statement, Instant Now,
                        Instant &RetryAt) {
  RetryAt = *m_StartedAt + m_Context.m_Faults.duration("statement_delay_ms");
  if (Now < RetryAt) {
    return std::nullopt;
  }
  if (m_Transaction == 0) {
    m_Transaction = m_Context.m_Store.begin();
  }
  m_RanData = true;
  std::optional<PgResult> Result;
  if (isWrite(Statement.m_Type)) {
    Result = runWrite(Statement, Now, RetryAt);
  } else if (Statement.m_Type == StandInStatementType::Call) {
    Result = m_Functions.call(Statement, *m_StartedAt, Now, RetryAt);
  } else {
    Result = readRows(Statement);
  }
  if (Result) {
    ++m_Context.m_Stats.m_StatementsRun;
    m_LatestPoint = m_Context.m_Store.point();
  }
  return Result;
}

std::optional<PgResult>
StandInSession::runWrite(const StandInStatement &Statement, Instant Now,
                         Instant &RetryAt) {
  StandInStore &Store = m_Context.m_Store;
  if (Statement.m_Type == StandInStatementType::CreateTable) {
    Store.recordWrite(m_Transaction, Statement.m_Text);
    return commandResult("CREATE TABLE");
  }
  if (!Store.lock(m_Transaction, Statement.m_Name, Statement.m_Key)) {
    RetryAt = *m_StartedAt + m_Context.m_Settings.m_LockTimeout;
    if (Now < RetryAt) {
      return std::nullopt;
    }
    return standInError("55P03", "canceling statement due to lock timeout");
  }
  if (Statement.m_Type == StandInStatementType::SelectForUpdate) {
    return readRows(Statement);
  }
  return writeRow(Statement);
}

PgResult StandInSession::writeRow(const StandInStatement &Statement) {
  StandInStore &Store = m_Context.m_Store;
  const auto Old = Store.read(m_Transaction, Statement.m_Name, Statement.m_Key);
  const bool Insert = Statement.m_Type == StandInStatementType::Insert;
  if (Insert && Old) {
    return standInError("23505", "duplicate key value");
  }
  StandInChange Change{Statement.m_Name, Statement.m_Key, Statement.m_Value};
  std::string Tag = Insert ? "INSERT 0 1" : "UPDATE 1";
  if (Statement.m_Type == StandInStatementType::Delete) {
    Change.m_Value.reset();
    Tag = "DELETE 1";
  }
  if (Statement.m_Type == StandInStatementType::UpdateAdd && Old) {
    std::int64_t Number = 0;
    const char *const End = Old->data() + Old->size();
    if (std::from_chars(Old->data(), End, Number).ptr != End || Old->empty()) {
      return standInError("22P02", "the value is not an integer");
    }
    Change.m_Value = std::to_string(Number + Statement.m_Amount);
  }
  Store.recordWrite(m_Transaction, Statement.m_Text);
  if (!Insert && !Old) {
    Tag.back() = '0';
    return commandResult(Tag);
  }
  Store.write(m_Transaction, std::move(Change));
  return commandResult(Tag);
}

PgResult StandInSession::readRows(const StandInStatement &Statement) {
  const StandInStore &Store = m_Context.m_Store;
  std::vector<PgRow> Rows;
  switch (Statement.m_Type) {
  case StandInStatementType::SelectLiteral:
    return standInRows({"?column?"}, {{Statement.m_Value}});
  case StandInStatementType::SelectCount:
    return standInRows(
        {"count"},
        {{std::to_string(Store.rows(m_Transaction, Statement.m_Name).size())}});
  case StandInStatementType::SelectAll:
    for (const auto &[Key, Value] :
         Store.rows(m_Transaction, Statement.m_Name)) {
      Rows.push_back({Key, Value});
    }
    return standInRows({"k", "v"}, std::move(Rows));
  default:
    if (const auto Value =
            Store.read(m_Transaction, Statement.m_Name, Statement.m_Key)) {
      Rows.push_back({*Value});
    }
    return standInRows({"v"}, std::move(Rows));
  }
}

PgResult StandInSession::endBlock(const StandInStatement &Statement) {
  const bool Commits =
      Statement.m_Type == StandInStatementType::Commit && !m_BlockFailed;
  m_InBlock = false;
  m_BlockFailed = false;
  if (!Commits) {
    abort();
    return commandResult("ROLLBACK");
  }
  if (auto Failure = commit()) {
    return std::move(*Failure);
  }
  return commandResult("COMMIT");
}

PgResult StandInSession::runSetting(const StandInStatement &Statement) {
  if (Statement.m_Type == StandInStatementType::DiscardAll) {
    m_Attempt.clear();
    m_SettingValues.clear();
    return commandResult("DISCARD ALL");
  }
  if (Statement.m_Type == StandInStatementType::Set) {
    if (Statement.m_Name == AttemptSetting) {
      m_Attempt = Statement.m_Value;
    }
    m_SettingValues[Statement.m_Name] = Statement.m_Value;
    return commandResult("SET");
  }
  PgResult Result = standInRows({""}, {{m_SettingValues[Statement.m_Name]}});
  Result.m_Columns[0].m_Name = Statement.m_Name;
  Result.m_CommandTag = "SHOW";
  return Result;
}

std::optional<PgResult> StandInSession::commit() {
  if (m_Transaction == 0) {
    return std::nullopt;
  }
  const std::uint64_t Before = m_Context.m_Store.log().size();
  const auto Point = m_Context.m_Store.commit(m_Transaction, m_Attempt);
  m_Transaction = 0;
  m_RanData = false;
  m_Attempt.clear();
  if (!Point) {
    return standInError("57014", "the attempt has been ended");
  }
  if (m_Context.m_Store.log().size() != Before) {
    m_HasCommitted = true;
    ++m_Context.m_Stats.m_Committed;
    m_LatestPoint = Point;
  }
  return std::nullopt;
}

void StandInSession::finish() {
  PgMessageWriter Writer(m_Answer);
  if (m_LatestPoint != m_ReportedPoint) {
    Writer.parameterStatus(PositionSetting, toText(*m_LatestPoint));
    m_ReportedPoint = m_LatestPoint;
  }
  Writer.readyForQuery(m_BlockFailed ? PgTransactionStatus::Failed
                       : m_InBlock   ? PgTransactionStatus::InTransaction
                                     : PgTransactionStatus::Idle);
  m_Statements.clear();
}

void StandInSession::abort() {
  if (m_Transaction != 0) {
    m_Context.m_Store.rollback(m_Transaction);
    m_Transaction = 0;
  }
  if (m_RanData) {
    m_RanData = false;
    m_Attempt.clear();
  }
  m_BlockFailed = m_InBlock;
}

} // namespace ragwortmux::standin
