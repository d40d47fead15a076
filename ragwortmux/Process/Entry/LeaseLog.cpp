#include "ragwortmux/Process/Entry/LeaseLog.h"

#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ragwortmux {

namespace {

std::int64_t toMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

void LeaseLog::answered(const std::string &Host, std::string Answer) {
  ++m_FailedAnswers;
  m_LastHost = Host;
  m_LastAnswer = std::move(Answer);
}

void LeaseLog::granted(Instant Now, Instant ValidUntil) {
  if (ValidUntil <= Now) {
    ++m_FailedAnswers;
    m_LastAnswer = "late_grant";
    return;
  }
  if (!m_HasLease) {
    const bool IsFirst = m_LostAt == Instant();
    const std::array Fields = {
        LogField{"without_ms", IsFirst ? -1 : toMs(Now - m_LostAt)},
        LogField{"failed_answers", static_cast<std::int64_t>(m_FailedAnswers)},
        LogField{"last_answer", m_LastAnswer},
        LogField{"answered_by", m_LastHost},
        LogField{"lease_left_ms", toMs(ValidUntil - Now)}};
    logRecord(LogLevel::Info, Part::Control, "The lease was granted.", Fields);
  }
  m_HasLease = true;
  m_GrantedAt = Now;
  m_FailedAnswers = 0;
  m_LastAnswer = "none";
}

void LeaseLog::check(Instant Now, Instant ValidUntil) {
  if (!m_HasLease || Now < ValidUntil) {
    return;
  }
  m_HasLease = false;
  // A lease that ended with its session has no end time of its own.
  m_LostAt = std::max(ValidUntil, m_GrantedAt);
  const std::array Fields = {
      LogField{"grant_age_ms", toMs(Now - m_GrantedAt)},
      LogField{"ended_ms_ago", toMs(Now - m_LostAt)},
      LogField{"failed_answers", static_cast<std::int64_t>(m_FailedAnswers)},
      LogField{"last_answer", m_LastAnswer},
      LogField{"answered_by", m_LastHost}};
  logRecord(LogLevel::Warn, Part::Control, "The lease was lost.", Fields);
}

} // namespace ragwortmux
