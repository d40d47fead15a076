#ifndef RAGWORTMUX_PROCESS_SUPPORT_LOG_H
#define RAGWORTMUX_PROCESS_SUPPORT_LOG_H

#include <fmt/core.h>

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

/// \file
/// The log of a process: short sentences with a fixed prefix for each part.

namespace ragwortmux {

/// The part of the system that a log line comes from.
enum class Part : std::uint8_t {
  Process,   ///< Start, drain and end of the process.
  Control,   ///< Control role: replicated log, leases, changes of primary.
  Log,       ///< Files of the replicated log.
  Group,     ///< Routing of one database group.
  Pool,      ///< Connections to backend servers.
  Caller,    ///< Connections of callers.
  Backend,   ///< Announcements and state of backend servers.
  Http,      ///< HTTP interface.
  Rpc,       ///< RPC between processes of the system.
  Catalogue, ///< Catalogue changes.
  Timeline,  ///< Time line files.
};

/// The fixed prefix of \p From, such as `control`.
std::string_view partPrefix(Part From);

/// Severity of a log line, in ascending order.
enum class LogLevel : std::uint8_t { Trace, Debug, Info, Warn, Error };

/// Form of the log lines.
enum class LogFormat : std::uint8_t {
  Text, ///< `TIME LEVEL PREFIX: sentence`.
  Json, ///< One JSON object a line.
};

/// How the log of a process is written.
struct LogSettings final {
  LogLevel m_Level = LogLevel::Info;    ///< Least level that is written.
  LogFormat m_Format = LogFormat::Text; ///< Form of the lines.
  std::ostream *m_Output = nullptr;     ///< Null: m_Descriptor is used.
  int m_Descriptor = 2; ///< 1: standard output, 2: standard error.
  std::uint32_t m_LinesPerSecond = 0; ///< For m_Descriptor; 0: no limit.
};

/// A named value of a log line, in addition to its sentence.
struct LogField final {
  std::string_view m_Name;                         ///< The name.
  std::variant<std::int64_t, std::string> m_Value; ///< The value.
};

/// Number of log lines of this process dropped so far, because the descriptor
/// had no room or the rate limit was reached.
std::uint64_t droppedLogLines();

/// Writes one line with \p Fields: as members in JSON, after the sentence in
/// text. Never throws.
void logRecord(LogLevel Level, Part From, std::string_view Sentence,
               std::span<const LogField> Fields) noexcept;

/// Configures the log of this process; may be called again. Before the first
/// call, lines of LogLevel::Info and above go to standard error as text.
void startLog(const LogSettings &Settings);

/// Writes one line; used by the functions below. Never throws: a line that
/// cannot be written is lost.
void writeLog(LogLevel Level, Part From, fmt::string_view Format,
              fmt::format_args Arguments) noexcept;

/// Logs a step that is of use only when debugging.
template <typename... Args>
void logDebug(Part From, fmt::format_string<Args...> Format, Args &&...Values) {
  writeLog(LogLevel::Debug, From, Format, fmt::make_format_args(Values...));
}

/// Logs a normal event.
template <typename... Args>
void logInfo(Part From, fmt::format_string<Args...> Format, Args &&...Values) {
  writeLog(LogLevel::Info, From, Format, fmt::make_format_args(Values...));
}

/// Logs a fault that the system handles by itself.
template <typename... Args>
void logWarn(Part From, fmt::format_string<Args...> Format, Args &&...Values) {
  writeLog(LogLevel::Warn, From, Format, fmt::make_format_args(Values...));
}

/// Logs a fault that an operator has to look at.
template <typename... Args>
void logError(Part From, fmt::format_string<Args...> Format, Args &&...Values) {
  writeLog(LogLevel::Error, From, Format, fmt::make_format_args(Values...));
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_LOG_H
