#ifndef TESTS_SUPPORT_LOGCAPTURE_H
#define TESTS_SUPPORT_LOGCAPTURE_H

#include "ragwortmux/Process/Support/Log.h"

#include <algorithm>
#include <cstddef>
#include <sstream>
#include <string>
#include <string_view>

namespace ragwortmux {

/// Captures the log of the test's process while it exists.
class LogCapture final {
public:
  explicit LogCapture(LogLevel Level = LogLevel::Info,
                      LogFormat Format = LogFormat::Text) {
    startLog({Level, Format, &m_Stream});
  }
  ~LogCapture() { startLog({}); }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  /// All lines so far.
  std::string text() const { return m_Stream.str(); }
  /// True if \p Part is in the lines.
  bool contains(std::string_view Part) const {
    return text().find(Part) != std::string::npos;
  }
  /// Number of lines.
  std::size_t lines() const {
    const std::string Text = text();
    return static_cast<std::size_t>(std::ranges::count(Text, '\n'));
  }

private:
  std::ostringstream m_Stream; ///< Receives the lines.
};

} // namespace ragwortmux

#endif // TESTS_SUPPORT_LOGCAPTURE_H
