#include "ragwortmux/Process/Support/LimitReporter.h"

#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"

#include <array>
#include <string>
#include <utility>

namespace ragwortmux {

namespace {

constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

void LimitReporter::report(std::string_view Limit, std::string_view Decision,
                           std::size_t Bytes, Instant Now) {
  if (m_Metrics != nullptr) {
    m_Metrics->add(Metric::ClientLimitHits,
                   {std::string(Limit), std::string(Decision)});
  }
  Reported &Current = m_Limits[Limit];
  ++Current.m_Unlogged;
  if (Current.m_IsLogged && Now - Current.m_LoggedAt < LogInterval) {
    return;
  }
  const auto Hits =
      static_cast<std::int64_t>(std::exchange(Current.m_Unlogged, 0));
  Current.m_IsLogged = true;
  Current.m_LoggedAt = Now;
  const std::array<LogField, 4> Fields = {
      {{"decision", std::string(Decision)},
       {"limit", std::string(Limit)},
       {"hits", Hits},
       {"held_bytes", static_cast<std::int64_t>(Bytes)}}};
  logRecord(LogLevel::Warn, m_From, "A client has reached a limit.", Fields);
}

} // namespace ragwortmux
