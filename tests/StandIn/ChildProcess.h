#ifndef TESTS_STANDIN_CHILDPROCESS_H
#define TESTS_STANDIN_CHILDPROCESS_H

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Program, arguments and environment of a child process.
struct ChildProcessSettings final {
  std::string m_Program;                ///< Path of the program.
  std::vector<std::string> m_Arguments; ///< Arguments after the program name.
  std::map<std::string, std::string>
      m_Environment; ///< Overrides of the test's environment.
};

/// Runs one program of the project for a test. Its output goes to unlinked
/// files, so that it never blocks on a full pipe. The destructor kills and
/// reaps the process; the kernel kills it when the thread that started it ends,
/// so it does not outlive a test that crashes.
class ChildProcess final {
public:
  explicit ChildProcess(ChildProcessSettings Settings);
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();

  /// Starts the program; false with lastReason() if that fails.
  bool start();

  /// Waits until a line of standard output starts with \p Prefix and returns
  /// the rest of the line; nothing on a time-out or if the program ends.
  std::optional<std::string> waitForLine(std::string_view Prefix,
                                         std::chrono::milliseconds Timeout);

  /// Waits for the line `listening PORT` and returns the port; nothing on a
  /// time-out, if the program ends or if the text is not a port.
  std::optional<std::uint16_t>
  waitForPort(std::chrono::milliseconds Timeout = std::chrono::seconds(10));

  /// Waits for the end of the program and returns its wait status; nothing on a
  /// time-out.
  std::optional<int>
  waitForExit(std::chrono::milliseconds Timeout = std::chrono::seconds(10));

  /// Sends SIGKILL and reaps the program.
  void kill();
  /// Sends SIGTERM.
  void terminate();
  /// Sends SIGHUP.
  void hangUp();
  /// Sends SIGSTOP.
  void stop();
  /// Sends SIGCONT.
  void resume();

  /// True if the program was started and has not exited.
  bool isRunning();
  /// Process id; 0 if the program does not run.
  pid_t processId() const { return m_ProcessId; }
  /// Everything written to standard output so far.
  std::string output() const;
  /// Everything written to standard error so far.
  std::string errors() const;
  /// Why the last call that failed did so.
  const std::string &lastReason() const { return m_LastReason; }

private:
  void signal(int Number);
  void reap(bool Block);

  ChildProcessSettings m_Settings; ///< Program, arguments and environment.
  pid_t m_ProcessId = 0;           ///< Process id; 0 if not running.
  std::optional<int> m_WaitStatus; ///< Set once the program was reaped.
  int m_OutputFile =
      -1; ///< Unlinked file of standard output; -1 before start().
  int m_ErrorFile = -1; ///< Unlinked file of standard error; -1 before start().
  std::string m_LastReason; ///< See lastReason().
};

} // namespace ragwortmux

#endif // TESTS_STANDIN_CHILDPROCESS_H
