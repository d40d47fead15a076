#ifndef BENCH_ENTRYHOSTS_CALLERSTANDIN_H
#define BENCH_ENTRYHOSTS_CALLERSTANDIN_H

#include "platform/LineStream.h"
#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortmux {

class IoLoop;

/// Outcomes of statements, by name: `answered`, `lost` (the connection ended or
/// no answer came in time) or the name of a result code; and refusals of
/// connections.
using OutcomeCounts = std::map<std::string, std::uint64_t>;

/// A caller that sends one statement after the other to an entry host and
/// connects to the next host after the end of its connection.
class CallerStandIn final {
public:
  /// Returns the address of the host for connection attempt \p Attempt.
  using HostChooser = std::function<std::string(std::uint32_t Attempt)>;

  CallerStandIn(IoLoop &Loop, std::string Name, std::string Database,
                HostChooser Chooser, std::uint16_t Port, Duration Pause,
                OutcomeCounts &Outcomes);
  ~CallerStandIn();
  CallerStandIn(const CallerStandIn &) = delete;
  CallerStandIn &operator=(const CallerStandIn &) = delete;

  /// Connects and starts to send statements.
  void start();
  /// Sends no further statement.
  void finish() { m_IsFinishing = true; }

private:
  void handleLine(std::string_view Line);
  void handleReady();
  void handleEnd();
  void send();
  void checkAnswer(std::uint64_t Number);
  void count(const std::string &Outcome);

  IoLoop &m_Loop;            ///< The event loop.
  std::string m_Name;        ///< Prefix of its statement ids.
  std::string m_Database;    ///< The catalogue entry it names.
  HostChooser m_Chooser;     ///< Chooses hosts.
  std::uint16_t m_Port;      ///< Caller port of the entry hosts.
  Duration m_Pause;          ///< Pause between two statements.
  OutcomeCounts &m_Outcomes; ///< Counts the outcomes.
  std::shared_ptr<platform::LineStream> m_Stream; ///< Null: not connected.
  std::uint32_t m_Attempt = 0; ///< Number of connection attempts.
  std::uint64_t m_Sent = 0;    ///< Number of statements sent.
  bool m_IsAwaiting = false;   ///< A statement has no answer yet.
  bool m_IsFinishing = false;  ///< See finish().
  Instant m_DueAt{};           ///< When the next statement is due.
  std::string m_Outcome;       ///< Outcome that the answer names so far.
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_CALLERSTANDIN_H
