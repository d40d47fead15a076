#include "ragwortmux/Process/Support/LogExplainer.h"

#include "ragwortmux/Core/ResultCode.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <istream>
#include <utility>

namespace ragwortmux {

namespace {

namespace json = boost::json;

/// Number of preceding log lines shown before each decision.
constexpr std::size_t MaxContextLines = 3;

std::string textField(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  if (Value == nullptr)
    return {};
  return Value->is_string() ? std::string(Value->as_string())
                            : json::serialize(*Value);
}

std::int64_t integerField(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  return Value != nullptr && Value->is_int64() ? Value->as_int64() : 0;
}

/// The inputs of a decision: every field that is not shown elsewhere.
std::string formatInputs(const json::object &Line) {
  std::string Inputs;
  for (const auto &[Name, Value] : Line) {
    const bool IsShown = Name == "time_ms" || Name == "level" ||
                         Name == "part" || Name == "text" || Name == "id" ||
                         Name == "decision" || Name == "code" ||
                         Name == "result";
    if (!IsShown)
      Inputs +=
          fmt::format(" {}={}", std::string_view(Name), textField(Line, Name));
  }
  return Inputs;
}

std::string resultCodeMeaning(std::int64_t Code) {
  for (const ResultCodeInfo &Info : allResultCodes()) {
    if (static_cast<std::int64_t>(Info.m_Code) == Code)
      return std::string(Info.m_Meaning);
  }
  return "The code is not known.";
}

} // namespace

LogExplainer::LogExplainer(std::string Id) : m_Id(std::move(Id)) {}

void LogExplainer::add(std::istream &Lines, const std::string &Source) {
  for (std::string Line; std::getline(Lines, Line);)
    addLine(Line, Source);
}

void LogExplainer::addLine(std::string_view Line, const std::string &Source) {
  const std::size_t Start = Line.find('{');
  if (Start == std::string_view::npos)
    return;
  boost::system::error_code Error;
  const json::value Value = json::parse(Line.substr(Start), Error);
  if (Error || !Value.is_object())
    return;
  const json::object &Object = Value.as_object();
  std::string_view Prefix = Line.substr(0, Start);
  while (Prefix.ends_with(' '))
    Prefix.remove_suffix(1);
  Prefix.remove_prefix(Prefix.rfind(' ') + 1);

  LogEntry Entry;
  Entry.m_TimeMs = integerField(Object, "time_ms");
  Entry.m_Process = Prefix.empty() ? Source : std::string(Prefix);
  Entry.m_IsDecision = textField(Object, "id") == m_Id;
  const bool IsContext = !Object.contains("id");
  if (!Entry.m_IsDecision && !IsContext)
    return;
  const std::string Decision = textField(Object, "decision");
  const std::int64_t Code = integerField(Object, "code");
  Entry.m_Cause = Decision == "closed"
                      ? "The caller's connection ended before the answer: " +
                            textField(Object, "reason") + "."
                      : resultCodeMeaning(Code);
  Entry.m_Text =
      Entry.m_IsDecision
          ? fmt::format("{} {} {}{}", Decision, Code,
                        textField(Object, "result"), formatInputs(Object))
          : fmt::format("{}: {}", textField(Object, "part"),
                        textField(Object, "text"));
  m_Entries.push_back(std::move(Entry));
}

std::vector<const LogExplainer::LogEntry *>
LogExplainer::precedingContext(const LogEntry &Decision) const {
  std::vector<const LogEntry *> Context;
  for (const LogEntry &Entry : m_Entries) {
    if (!Entry.m_IsDecision && Entry.m_Process == Decision.m_Process &&
        Entry.m_TimeMs <= Decision.m_TimeMs)
      Context.push_back(&Entry);
  }
  std::ranges::stable_sort(Context, {}, &LogEntry::m_TimeMs);
  if (Context.size() > MaxContextLines)
    Context.erase(Context.begin(),
                  Context.end() - static_cast<std::ptrdiff_t>(MaxContextLines));
  return Context;
}

std::vector<std::string> LogExplainer::explain() const {
  std::vector<const LogEntry *> Decisions;
  for (const LogEntry &Entry : m_Entries) {
    if (Entry.m_IsDecision)
      Decisions.push_back(&Entry);
  }
  std::ranges::stable_sort(Decisions, {}, &LogEntry::m_TimeMs);
  std::vector<std::string> Lines;
  for (const LogEntry *Decision : Decisions) {
    for (const LogEntry *ContextLine : precedingContext(*Decision))
      Lines.push_back(fmt::format("  {} ms earlier  {}",
                                  Decision->m_TimeMs - ContextLine->m_TimeMs,
                                  ContextLine->m_Text));
    Lines.push_back(fmt::format("{} {}  {}", Decision->m_TimeMs,
                                Decision->m_Process, Decision->m_Text));
  }
  if (!Decisions.empty())
    Lines.push_back("cause: " + Decisions.back()->m_Cause);
  return Lines;
}

} // namespace ragwortmux
