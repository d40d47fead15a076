#include "ragwortmux/Process/Support/Log.h"

#include "ragwortmux/Process/Support/JsonFields.h"

#include <boost/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>

namespace ragwortmux {

namespace {

constexpr std::array<std::string_view, 11> PartPrefixes = {
    "process", "control", "log", "group",     "pool",    "caller",
    "backend", "http",    "rpc", "catalogue", "timeline"};

constexpr std::array<std::string_view, 5> LevelNames = {
    "trace", "debug", "info", "warn", "error"};

/// The logger of the process and the form of its lines.
struct LogState final {
  std::shared_ptr<spdlog::logger> m_Logger; ///< Never null once made.
  LogFormat m_Format = LogFormat::Text;     ///< Form of the lines.
};

spdlog::level::level_enum spdlogLevel(LogLevel Level) {
  constexpr std::array Levels = {spdlog::level::trace, spdlog::level::debug,
                                 spdlog::level::info, spdlog::level::warn,
                                 spdlog::level::err};
  return Levels.at(static_cast<std::size_t>(Level));
}

std::shared_ptr<const LogState> makeState(const LogSettings &Settings) {
  spdlog::sink_ptr Sink;
  if (Settings.m_Output == nullptr)
    Sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  else
    Sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(*Settings.m_Output);

  auto State = std::make_shared<LogState>();
  State->m_Format = Settings.m_Format;
  State->m_Logger = std::make_shared<spdlog::logger>("ragwortmux", Sink);
  State->m_Logger->set_level(spdlogLevel(Settings.m_Level));
  State->m_Logger->flush_on(spdlog::level::trace);
  const bool IsText = Settings.m_Format == LogFormat::Text;
  State->m_Logger->set_pattern(IsText ? "%Y-%m-%dT%H:%M:%S.%eZ %v" : "%v",
                               spdlog::pattern_time_type::utc);
  return State;
}

/// Guards the current state, which startLog replaces.
std::mutex &stateMutex() {
  static std::mutex Mutex;
  return Mutex;
}

std::shared_ptr<const LogState> &stateSlot() {
  static std::shared_ptr<const LogState> Slot = makeState(LogSettings{});
  return Slot;
}

std::shared_ptr<const LogState> currentState() {
  const std::lock_guard Lock(stateMutex());
  return stateSlot();
}

/// Replaces control characters, so that a line stays one line.
void keepToOneLine(std::string &Text) {
  for (char &Character : Text) {
    if (static_cast<unsigned char>(Character) < ' ' || Character == '\x7f')
      Character = ' ';
  }
}

std::string jsonLine(LogLevel Level, Part From, const std::string &Sentence) {
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  boost::json::object Line;
  Line["time_ms"] = Now.time_since_epoch().count();
  Line["level"] = LevelNames.at(static_cast<std::size_t>(Level));
  Line["part"] = partPrefix(From);
  Line["text"] = toJsonText(Sentence);
  return boost::json::serialize(Line);
}

} // namespace

std::string_view partPrefix(Part From) {
  return PartPrefixes.at(static_cast<std::size_t>(From));
}

void startLog(const LogSettings &Settings) {
  std::shared_ptr<const LogState> State = makeState(Settings);
  const std::lock_guard Lock(stateMutex());
  stateSlot() = std::move(State);
}

void writeLog(LogLevel Level, Part From, fmt::string_view Format,
              fmt::format_args Arguments) noexcept {
  // A log line is not worth a failed request, so every exception of fmt and
  // spdlog ends here.
  try {
    const std::shared_ptr<const LogState> State = currentState();
    if (!State->m_Logger->should_log(spdlogLevel(Level)))
      return;
    std::string Sentence = fmt::vformat(Format, Arguments);
    if (State->m_Format == LogFormat::Json) {
      State->m_Logger->log(spdlogLevel(Level), spdlog::string_view_t(jsonLine(
                                                   Level, From, Sentence)));
      return;
    }
    keepToOneLine(Sentence);
    State->m_Logger->log(spdlogLevel(Level), "{} {}: {}",
                         LevelNames.at(static_cast<std::size_t>(Level)),
                         partPrefix(From), Sentence);
  } catch (...) { // NOLINT(bugprone-empty-catch): the line is lost on purpose
  }
}

} // namespace ragwortmux
