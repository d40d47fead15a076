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

/// Beliefs that are shown before each decision.
constexpr std::size_t MaxBeliefs = 3;

std::string textOf(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  if (Value == nullptr)
    return {};
  return Value->is_string() ? std::string(Value->as_string())
                            : json::serialize(*Value);
}

std::int64_t wholeOf(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  return Value != nullptr && Value->is_int64() ? Value->as_int64() : 0;
}

/// The inputs of a decision: every field that is not shown elsewhere.
std::string inputsOf(const json::object &Line) {
  std::string Inputs;
  for (const auto &[Name, Value] : Line) {
    const bool IsShown = Name == "time_ms" || Name == "level" ||
                         Name == "part" || Name == "text" || Name == "id" ||
                         Name == "decision" || Name == "code" ||
                         Name == "result";
    if (!IsShown)
      Inputs +=
          fmt::format(" {}={}", std::string_view(Name), textOf(Line, Name));
  }
  return Inputs;
}

std::string meaningOf(std::int64_t Code) {
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
  std::string_view Before = Line.substr(0, Start);
  while (Before.ends_with(' '))
    Before.remove_suffix(1);
  Before.remove_prefix(Before.rfind(' ') + 1);

  Entry Each;
  Each.m_TimeMs = wholeOf(Object, "time_ms");
  Each.m_Process = Before.empty() ? Source : std::string(Before);
  Each.m_IsDecision = textOf(Object, "id") == m_Id;
  const bool IsBelief = !Object.contains("id");
  if (!Each.m_IsDecision && !IsBelief)
    return;
  Each.m_Code = wholeOf(Object, "code");
  Each.m_Text =
      Each.m_IsDecision
          ? fmt::format("{} {} {}{}", textOf(Object, "decision"), Each.m_Code,
                        textOf(Object, "result"), inputsOf(Object))
          : fmt::format("{}: {}", textOf(Object, "part"),
                        textOf(Object, "text"));
  m_Entries.push_back(std::move(Each));
}

std::vector<const LogExplainer::Entry *>
LogExplainer::beliefsBefore(const Entry &Decision) const {
  std::vector<const Entry *> Beliefs;
  for (const Entry &Each : m_Entries) {
    if (!Each.m_IsDecision && Each.m_Process == Decision.m_Process &&
        Each.m_TimeMs <= Decision.m_TimeMs)
      Beliefs.push_back(&Each);
  }
  std::ranges::stable_sort(Beliefs, {}, &Entry::m_TimeMs);
  if (Beliefs.size() > MaxBeliefs)
    Beliefs.erase(Beliefs.begin(),
                  Beliefs.end() - static_cast<std::ptrdiff_t>(MaxBeliefs));
  return Beliefs;
}

std::vector<std::string> LogExplainer::story() const {
  std::vector<const Entry *> Decisions;
  for (const Entry &Each : m_Entries) {
    if (Each.m_IsDecision)
      Decisions.push_back(&Each);
  }
  std::ranges::stable_sort(Decisions, {}, &Entry::m_TimeMs);
  std::vector<std::string> Lines;
  for (const Entry *Decision : Decisions) {
    for (const Entry *Belief : beliefsBefore(*Decision))
      Lines.push_back(fmt::format("  {} ms earlier  {}",
                                  Decision->m_TimeMs - Belief->m_TimeMs,
                                  Belief->m_Text));
    Lines.push_back(fmt::format("{} {}  {}", Decision->m_TimeMs,
                                Decision->m_Process, Decision->m_Text));
  }
  if (!Decisions.empty())
    Lines.push_back("cause: " + meaningOf(Decisions.back()->m_Code));
  return Lines;
}

} // namespace ragwortmux
