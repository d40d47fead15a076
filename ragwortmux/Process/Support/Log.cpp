#include "ragwortmux/Process/Support/Log.h"

#include "ragwortmux/Process/Support/BoundedOutput.h"
#include "ragwortmux/Process/Support/JsonFields.h"

#include <boost/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/ostream_sink.h>
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

Instant steadyNow() {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// Number of lines dropped by all sinks of this process.
std::atomic<std::uint64_t> &droppedLineCount() {
  static std::atomic<std::uint64_t> Count = 0;
  return Count;
}

/// Writes formatted lines to a BoundedOutput.
class BoundedSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  BoundedSink(int Descriptor, std::uint32_t LinesPerSecond)
      : m_Output({Descriptor, LinesPerSecond, steadyNow}) {}

  /// Called before a line is formatted, because formatting it costs more than
  /// writing it.
  bool admits() {
    const std::lock_guard Lock(mutex_);
    if (m_Output.admits())
      return true;
    ++droppedLineCount();
    return false;
  }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    const std::uint64_t Before = m_Output.droppedLines();
    m_Output.write({Line.data(), Line.size()});
    droppedLineCount() += m_Output.droppedLines() - Before;
  }
  void flush_() override {}

private:
  BoundedOutput m_Output; ///< Receives the lines.
};

/// The logger of the process and the form of its lines.
struct LogState final {
  std::shared_ptr<spdlog::logger> m_Logger; ///< Never null after makeState().
  LogFormat m_Format = LogFormat::Text;     ///< Form of the lines.
  std::shared_ptr<BoundedSink> m_Bounded;   ///< Null if a stream is used.

  bool admits(spdlog::level::level_enum Level) const {
    return m_Logger->should_log(Level) &&
           (m_Bounded == nullptr || m_Bounded->admits());
  }
};

spdlog::level::level_enum spdlogLevel(LogLevel Level) {
  constexpr std::array Levels = {spdlog::level::trace, spdlog::level::debug,
                                 spdlog::level::info, spdlog::level::warn,
                                 spdlog::level::err};
  return Levels.at(static_cast<std::size_t>(Level));
}

std::shared_ptr<const LogState> makeState(const LogSettings &Settings) {
  auto State = std::make_shared<LogState>();
  spdlog::sink_ptr Sink;
  if (Settings.m_Output == nullptr) {
    State->m_Bounded = std::make_shared<BoundedSink>(Settings.m_Descriptor,
                                                     Settings.m_LinesPerSecond);
    Sink = State->m_Bounded;
  } else {
    Sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(*Settings.m_Output);
  }

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

/// Replaces control characters by spaces, so that a log line stays on one line.
void replaceControlCharacters(std::string &Text) {
  for (char &Character : Text) {
    if (static_cast<unsigned char>(Character) < ' ' || Character == '\x7f')
      Character = ' ';
  }
}

std::string jsonLine(LogLevel Level, Part From, const std::string &Sentence,
                     std::span<const LogField> Fields) {
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  boost::json::object Line;
  Line["time_ms"] = Now.time_since_epoch().count();
  Line["level"] = LevelNames.at(static_cast<std::size_t>(Level));
  Line["part"] = partPrefix(From);
  Line["text"] = toJsonText(Sentence);
  for (const LogField &Field : Fields) {
    if (const auto *Number = std::get_if<std::int64_t>(&Field.m_Value))
      Line[Field.m_Name] = *Number;
    else
      Line[Field.m_Name] = toJsonText(std::get<std::string>(Field.m_Value));
  }
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

std::uint64_t droppedLogLines() { return droppedLineCount(); }

/// Writes one line in the form of \p State.
static void writeLine(const LogState &State, LogLevel Level, Part From,
                      std::string Sentence, std::span<const LogField> Fields) {
  if (State.m_Format == LogFormat::Json) {
    State.m_Logger->log(
        spdlogLevel(Level),
        spdlog::string_view_t(jsonLine(Level, From, Sentence, Fields)));
    return;
  }
  for (const LogField &Field : Fields) {
    const std::string Value =
        std::visit([](const auto &Each) { return fmt::format("{}", Each); },
                   Field.m_Value);
    Sentence += fmt::format(" {}={}", Field.m_Name, Value);
  }
  replaceControlCharacters(Sentence);
  State.m_Logger->log(spdlogLevel(Level), "{} {}: {}",
                      LevelNames.at(static_cast<std::size_t>(Level)),
                      partPrefix(From), Sentence);
}

void writeLog(LogLevel Level, Part From, fmt::string_view Format,
              fmt::format_args Arguments) noexcept {
  // A logging failure must not fail a request, so every exception of fmt and
  // spdlog is caught here.
  try {
    const std::shared_ptr<const LogState> State = currentState();
    if (State->admits(spdlogLevel(Level)))
      writeLine(*State, Level, From, fmt::vformat(Format, Arguments), {});
  } catch (...) { // NOLINT(bugprone-empty-catch): the line is lost on purpose
  }
}

void logRecord(LogLevel Level, Part From, std::string_view Sentence,
               std::span<const LogField> Fields) noexcept {
  try {
    const std::shared_ptr<const LogState> State = currentState();
    if (State->admits(spdlogLevel(Level)))
      writeLine(*State, Level, From, std::string(Sentence), Fields);
  } catch (...) { // NOLINT(bugprone-empty-catch): the line is lost on purpose
  }
}

} // namespace ragwortmux
