#include "ragwortmux/Version/CatalogueProgressLog.h"

#include <chrono>

namespace ragwortmux {

namespace {

std::string formatMs(Duration Length) {
  using std::chrono::milliseconds;
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(Length).count()) +
         " ms";
}

} // namespace

void CatalogueProgressLog::reset() {
  m_Revision = Revision();
  m_IsComplete = true;
  m_IsReported = false;
}

std::optional<std::string> CatalogueProgressLog::update(const Progress &Now,
                                                        Instant At) {
  if (Now.m_Newest > m_Revision) {
    m_Revision = Now.m_Newest;
    m_Since = At;
    m_IsComplete = false;
    m_IsReported = false;
  }
  if (m_IsComplete)
    return std::nullopt;
  const std::string Name =
      "catalogue revision " + std::to_string(m_Revision.value());
  const std::string Waited = formatMs(At - m_Since);
  if (Now.m_Confirmed >= Now.m_Sessions) {
    m_IsComplete = true;
    return "all " + std::to_string(Now.m_Sessions) + " sessions have " + Name +
           " after " + Waited;
  }
  if (m_IsReported || At - m_Since < m_Limit)
    return std::nullopt;
  m_IsReported = true;
  return std::to_string(Now.m_Sessions - Now.m_Confirmed) + " of " +
         std::to_string(Now.m_Sessions) + " sessions lack " + Name + " after " +
         Waited;
}

} // namespace ragwortmux
