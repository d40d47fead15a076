#include "tests/StandIn/StandInFunctions.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace ragwortmux::standin {

namespace {

constexpr const char *TermRefusedState = "72000";
constexpr double MaxSleepSeconds = 3600;

std::optional<std::uint64_t> numberArgument(const StandInStatement &Call,
                                            std::size_t Index) {
  if (Index >= Call.m_Arguments.size()) {
    return std::nullopt;
  }
  const std::string &Text = Call.m_Arguments[Index];
  std::uint64_t Number = 0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    return std::nullopt;
  }
  return Number;
}

PgResult invalidArguments() {
  return standInError("22023", "invalid function arguments");
}

PgResult logPointResult(const LogPoint &Point) {
  return standInRows({"term", "position"},
                     {{std::to_string(Point.m_Term.value()),
                       std::to_string(Point.m_Position.value())}});
}

} // namespace

PgResult standInError(std::string SqlState, std::string Message) {
  PgResult Result;
  Result.m_Error.emplace();
  Result.m_Error->m_SqlState = std::move(SqlState);
  Result.m_Error->m_Message = std::move(Message);
  return Result;
}

PgResult standInRows(std::initializer_list<const char *> Columns,
                     std::vector<PgRow> Rows) {
  PgResult Result;
  for (const char *Name : Columns) {
    Result.m_Columns.emplace_back().m_Name = Name;
  }
  Result.m_CommandTag = "SELECT " + std::to_string(Rows.size());
  Result.m_Rows = std::move(Rows);
  return Result;
}

std::optional<PgResult> StandInFunctions::call(const StandInStatement &Call,
                                               Instant StartedAt, Instant Now,
                                               Instant &RetryAt) {
  const std::string &Name = Call.m_Name;
  if (Name == "ragwortmux_wait_position") {
    return waitPosition(Call, StartedAt, Now, RetryAt);
  }
  if (Name == "pg_sleep") {
    return sleep(Call, StartedAt, Now, RetryAt);
  }
  if (Name == "ragwortmux_position") {
    return position();
  }
  if (Name == "ragwortmux_fence") {
    return fence(Call);
  }
  if (Name == "ragwortmux_promote") {
    return promote(Call);
  }
  if (Name == "ragwortmux_follow") {
    return follow(Call);
  }
  if (Name == "ragwortmux_end_attempt") {
    return endAttempt(Call);
  }
  if (Name == "repeat") {
    return repeat(Call);
  }
  if (Name == "standin_fault") {
    return fault(Call);
  }
  if (Name == "standin_stats") {
    return stats();
  }
  if (Name == "standin_log") {
    return log(Call);
  }
  return standInError("42883", "unknown function " + Name);
}

std::optional<PgResult>
StandInFunctions::waitPosition(const StandInStatement &Call, Instant StartedAt,
                               Instant Now, Instant &RetryAt) {
  const auto After = numberArgument(Call, 0);
  const auto Timeout = numberArgument(Call, 1);
  if (!After || !Timeout) {
    return invalidArguments();
  }
  RetryAt = StartedAt + std::chrono::milliseconds(*Timeout);
  if (m_Context.m_Store.point().m_Position.value() > *After || Now >= RetryAt) {
    return position();
  }
  return std::nullopt;
}

std::optional<PgResult> StandInFunctions::sleep(const StandInStatement &Call,
                                                Instant StartedAt, Instant Now,
                                                Instant &RetryAt) {
  if (Call.m_Arguments.size() != 1) {
    return invalidArguments();
  }
  const double Seconds = std::clamp(
      std::strtod(Call.m_Arguments[0].c_str(), nullptr), 0.0, MaxSleepSeconds);
  RetryAt = StartedAt + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(Seconds));
  if (Now >= RetryAt) {
    return standInRows({"pg_sleep"}, {{""}});
  }
  return std::nullopt;
}

PgResult StandInFunctions::position() const {
  const StandInStore &Store = m_Context.m_Store;
  const bool Primary = Store.role() == StandInRole::Primary;
  PgResult Result = logPointResult(Store.point());
  Result.m_Columns.emplace_back().m_Name = "role";
  Result.m_Rows[0].emplace_back(Primary ? "primary" : "replica");
  return Result;
}

PgResult StandInFunctions::fence(const StandInStatement &Call) {
  const auto NewTerm = numberArgument(Call, 0);
  if (!NewTerm) {
    return invalidArguments();
  }
  const Term Before = m_Context.m_Store.term();
  if (!m_Context.m_Store.fence(Term(*NewTerm))) {
    return standInError(TermRefusedState, "the server's term is higher");
  }
  if (m_Context.m_Store.term() != Before) {
    m_Context.m_StopFollowing();
  }
  return logPointResult(m_Context.m_Store.point());
}

PgResult StandInFunctions::promote(const StandInStatement &Call) {
  const auto NewTerm = numberArgument(Call, 0);
  if (!NewTerm) {
    return invalidArguments();
  }
  const auto Point = m_Context.m_Store.promote(Term(*NewTerm));
  if (!Point) {
    return standInError(TermRefusedState, "the server's term is higher");
  }
  m_Context.m_StopFollowing();
  return logPointResult(*Point);
}

PgResult StandInFunctions::follow(const StandInStatement &Call) {
  const auto NewTerm = numberArgument(Call, 0);
  const auto Port = numberArgument(Call, 2);
  if (!NewTerm || !Port || *Port > UINT16_MAX) {
    return invalidArguments();
  }
  if (!m_Context.m_Follow(Term(*NewTerm), Call.m_Arguments[1],
                          static_cast<std::uint16_t>(*Port))) {
    return standInError(TermRefusedState, "the server's term is higher");
  }
  return logPointResult(m_Context.m_Store.point());
}

PgResult StandInFunctions::endAttempt(const StandInStatement &Call) {
  if (Call.m_Arguments.size() != 1 || Call.m_Arguments[0].empty()) {
    return invalidArguments();
  }
  if (m_Context.m_Store.role() != StandInRole::Primary) {
    return standInError(TermRefusedState, "the server is not primary");
  }
  m_Context.m_EndSession(Call.m_Arguments[0]);
  const bool Committed = m_Context.m_Store.endAttempt(Call.m_Arguments[0]);
  return standInRows({"outcome"}, {{Committed ? "committed" : "aborted"}});
}

PgResult StandInFunctions::repeat(const StandInStatement &Call) const {
  const auto Count = numberArgument(Call, 1);
  if (!Count) {
    return invalidArguments();
  }
  const std::string &Text = Call.m_Arguments[0];
  if (Text.size() * *Count > m_Context.m_Settings.m_MaxAnswerBytes) {
    return standInError("54000", "the result exceeds the maximum answer size");
  }
  std::string Repeated;
  Repeated.reserve(Text.size() * *Count);
  for (std::uint64_t Index = 0; Index < *Count; ++Index) {
    Repeated += Text;
  }
  return standInRows({"repeat"}, {{std::move(Repeated)}});
}

PgResult StandInFunctions::fault(const StandInStatement &Call) {
  if (Call.m_Arguments.size() != 2 ||
      !m_Context.m_Faults.set(Call.m_Arguments[0], Call.m_Arguments[1])) {
    return invalidArguments();
  }
  m_Context.m_Store.m_OnChange();
  return standInRows({"standin_fault"}, {{Call.m_Arguments[1]}});
}

PgResult StandInFunctions::stats() const {
  const StandInStats &Stats = m_Context.m_Stats;
  const std::pair<const char *, std::uint64_t> Counters[] = {
      {"connections_open", Stats.m_ConnectionsOpen},
      {"connections_peak", Stats.m_ConnectionsPeak},
      {"slots_taken", Stats.m_SlotsInUse},
      {"slots_peak", Stats.m_SlotsPeak},
      {"statements_run", Stats.m_StatementsRun},
      {"refusals", Stats.m_Refusals},
      {"committed", Stats.m_Committed},
  };
  std::vector<PgRow> Rows;
  for (const auto &[Name, Value] : Counters) {
    Rows.push_back({Name, std::to_string(Value)});
  }
  return standInRows({"name", "value"}, std::move(Rows));
}

PgResult StandInFunctions::log(const StandInStatement &Call) const {
  const std::uint64_t After = numberArgument(Call, 0).value_or(0);
  const auto &Log = m_Context.m_Store.log();
  std::vector<PgRow> Rows;
  for (std::uint64_t Index = After; Index < Log.size(); ++Index) {
    const StandInLogEntry &Entry = Log[Index];
    Rows.push_back({std::to_string(Entry.m_Point.m_Term.value()),
                    std::to_string(Entry.m_Point.m_Position.value()),
                    Entry.m_Attempt, Entry.m_AttemptAborted ? "t" : "f",
                    Entry.m_Statements});
  }
  return standInRows({"term", "position", "attempt", "aborted", "statements"},
                     std::move(Rows));
}

} // namespace ragwortmux::standin
