#include "ragwortmux/Process/Support/BoundedOutput.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>
#include <utility>

namespace ragwortmux {

namespace {

/// A writable pipe accepts this many bytes without blocking.
constexpr std::size_t MaxLineBytes = PIPE_BUF;

} // namespace

BoundedOutput::BoundedOutput(BoundedOutputSettings Settings)
    : m_Settings(std::move(Settings)) {}

void BoundedOutput::write(std::string_view Line) {
  if (!isWritable()) {
    ++m_DroppedLines;
    return;
  }
  if (m_ReportedDroppedLines < m_DroppedLines) {
    reportDroppedLines();
    if (!isWritable()) {
      ++m_DroppedLines;
      return;
    }
  }
  if (Line.size() <= MaxLineBytes) {
    writeOnce(Line);
    return;
  }
  std::string Truncated(Line.substr(0, MaxLineBytes - 1));
  Truncated += '\n';
  writeOnce(Truncated);
}

bool BoundedOutput::admits() {
  if (m_Settings.m_LinesPerSecond == 0)
    return true;
  const Instant Now = m_Settings.m_Now();
  if (Now - m_SecondStart >= std::chrono::seconds(1)) {
    m_SecondStart = Now;
    m_LinesThisSecond = 0;
  }
  if (++m_LinesThisSecond <= m_Settings.m_LinesPerSecond)
    return true;
  ++m_DroppedLines;
  return false;
}

bool BoundedOutput::isWritable() const {
  pollfd Descriptor{m_Settings.m_Descriptor, POLLOUT, 0};
  return poll(&Descriptor, 1, 0) == 1 && (Descriptor.revents & POLLOUT) != 0;
}

void BoundedOutput::reportDroppedLines() {
  m_ReportedDroppedLines = m_DroppedLines;
  writeOnce(fmt::format("{{\"level\":\"warn\",\"part\":\"process\",\"text\":"
                        "\"Lines were left out of this log.\","
                        "\"left_out\":{}}}\n",
                        m_DroppedLines));
}

void BoundedOutput::writeOnce(std::string_view Line) const {
  // A failed or partial write is not retried; a log line is not worth a second
  // attempt.
  [[maybe_unused]] const ssize_t Written =
      ::write(m_Settings.m_Descriptor, Line.data(), Line.size());
}

} // namespace ragwortmux
