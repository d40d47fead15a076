#include "ragwortmux/Process/Entry/CallerEnd.h"

#include "ragwortmux/Process/Support/Log.h"

#include <vector>

namespace ragwortmux {

namespace {

std::int64_t toCount(std::size_t Count) {
  return static_cast<std::int64_t>(Count);
}

std::int64_t toMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

bool CallerEnd::isClean() const {
  return !m_Statement && m_QueuedLines == 0 && m_UnreadBytes == 0 &&
         m_UnsentBytes == 0;
}

void logCallerEnd(const CallerEnd &End) {
  if (End.isClean()) {
    return;
  }
  std::vector<LogField> Fields = {{"decision", "closed"},
                                  {"reason", End.m_Reason},
                                  {"running_ms", toMs(End.m_Running)},
                                  {"queued_lines", toCount(End.m_QueuedLines)},
                                  {"unread_bytes", toCount(End.m_UnreadBytes)},
                                  {"unsent_bytes", toCount(End.m_UnsentBytes)}};
  if (End.m_Statement) {
    Fields.push_back({"id", End.m_Statement->value()});
  }
  logRecord(LogLevel::Warn, Part::Caller,
            "A caller's connection ended with work left.", Fields);
}

} // namespace ragwortmux
