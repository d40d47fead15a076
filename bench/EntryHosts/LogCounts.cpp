#include "bench/EntryHosts/LogCounts.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace ragwortmux {

namespace {

namespace json = boost::json;

/// A kind of line that is counted.
struct CountedLine final {
  std::string_view m_Prefix; ///< Start of its text.
  const char *m_Name;        ///< Name in the report.
};

constexpr std::array CountedLines = {
    CountedLine{"Elected as the leader", "leaders elected"},
    CountedLine{"No longer the leader", "leaders that stepped down"},
    CountedLine{"Opened control session", "control sessions opened"},
    CountedLine{"The lease was granted", "leases granted after none"},
    CountedLine{"The lease was lost", "leases lost"},
    CountedLine{"A caller's connection ended",
                "callers' connections that ended with work left"},
    CountedLine{"Could not open a connection",
                "connections to backend servers that failed"},
    CountedLine{"The event loop is late", "event loop late"},
    CountedLine{"A task of the control node", "control task waited long"}};

/// Fields whose maximum over the lines about lost leaderships is reported.
constexpr std::array MaximumFields = {
    "since_quorum_ms", "tick_gap_ms", "task_ms", "wait_ms",  "sync_ms",
    "busy_ms",         "waiting",     "tasks",   "renewals", "pushes"};

std::int64_t integerField(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  return Value != nullptr && Value->is_int64() ? Value->as_int64() : 0;
}

std::string textField(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->as_string())
             : std::string();
}

} // namespace

void LogCounts::add(std::string_view Lines) {
  while (!Lines.empty()) {
    const std::size_t End = Lines.find('\n');
    addLine(Lines.substr(0, End));
    Lines.remove_prefix(End == std::string_view::npos ? Lines.size() : End + 1);
  }
}

void LogCounts::addLine(std::string_view Line) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Line, Error);
  if (Error || !Parsed.is_object()) {
    return;
  }
  const json::object &Object = Parsed.as_object();
  const std::int64_t TimeMs = integerField(Object, "time_ms");
  const std::string Text = textField(Object, "text");
  if (TimeMs < m_StartMs) {
    return;
  }
  for (const CountedLine &Counted : CountedLines) {
    if (Text.starts_with(Counted.m_Prefix)) {
      count(Counted.m_Name, TimeMs);
    }
  }
  if (!Text.starts_with("No longer the leader")) {
    return;
  }
  count("- reason " + textField(Object, "reason"), TimeMs);
  for (const char *Field : MaximumFields) {
    raise(std::string("- highest ") + Field, TimeMs,
          integerField(Object, Field));
  }
}

void LogCounts::count(const std::string &Name, std::int64_t TimeMs) {
  Value &Counted = m_Values[Name];
  ++Counted.m_All;
  Counted.m_SecondHalf += TimeMs >= m_MiddleMs ? 1 : 0;
}

void LogCounts::raise(const std::string &Name, std::int64_t TimeMs,
                      std::int64_t Number) {
  Value &Raised = m_Values[Name];
  Raised.m_All = std::max(Raised.m_All, Number);
  if (TimeMs >= m_MiddleMs) {
    Raised.m_SecondHalf = std::max(Raised.m_SecondHalf, Number);
  }
}

std::string LogCounts::toMarkdownRows() const {
  std::string Rows;
  for (const CountedLine &Counted : CountedLines) {
    const auto Found = m_Values.find(Counted.m_Name);
    const Value Shown = Found == m_Values.end() ? Value() : Found->second;
    Rows += fmt::format("| {} | {} | {} |\n", Counted.m_Name, Shown.m_All,
                        Shown.m_SecondHalf);
  }
  for (const auto &[Name, Shown] : m_Values) {
    if (Name.starts_with("- ")) {
      Rows += fmt::format("| {} | {} | {} |\n", Name, Shown.m_All,
                          Shown.m_SecondHalf);
    }
  }
  return Rows;
}

} // namespace ragwortmux
