#ifndef TESTS_UNTRUSTED_HOSTILECROWD_H
#define TESTS_UNTRUSTED_HOSTILECROWD_H

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwortmux {

/// What each connection of a crowd does.
struct CrowdPlan final {
  std::string m_Address = "127.0.0.1"; ///< Address to connect to.
  std::uint16_t m_Port = 0;            ///< Port to connect to.
  std::size_t m_Connections = 0;       ///< Number of connections.
  std::string m_Greeting;              ///< Sent first, in one piece.
  std::string m_Message;               ///< Sent after the greeting.
  std::size_t m_Repeats = 1;           ///< How often m_Message is sent.
  std::size_t m_PieceBytes = 0; ///< Bytes of one send(); 0: as many as fit.
  std::chrono::milliseconds m_Pause{0}; ///< Time between two pieces.
  bool m_IsReading = true;              ///< Reads what the process sends.
};

/// A crowd of connections on one thread. The destructor closes them.
class HostileCrowd final {
public:
  explicit HostileCrowd(CrowdPlan Plan);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd &) = delete;
  HostileCrowd &operator=(const HostileCrowd &) = delete;

  /// Sends until \p Length has passed or nothing is left to send.
  void run(std::chrono::milliseconds Length);

private:
  struct Connection final {
    int m_Socket = -1;         ///< Negative once it is closed.
    std::size_t m_Offset = 0;  ///< Bytes of the current text that are sent.
    std::size_t m_Sent = 0;    ///< Number of messages that are sent.
    bool m_HasGreeted = false; ///< The greeting is sent.
    std::chrono::steady_clock::time_point
        m_NextAt{}; ///< When the next piece is due.
  };

  bool step(Connection &Current) const;

  CrowdPlan m_Plan;                      ///< What the connections do.
  std::vector<Connection> m_Connections; ///< The connections.
};

/// Highest resident memory of a process so far, in KiB; 0 if it has ended.
std::uint64_t peakMemoryKb(pid_t Process);
/// Resident memory of a process, in KiB; 0 if it has ended.
std::uint64_t residentMemoryKb(pid_t Process);
/// Number of open descriptors of a process.
std::size_t openDescriptors(pid_t Process);

/// Sets low limits in the environment of the processes that the test starts.
void setLowLimits();

} // namespace ragwortmux

#endif // TESTS_UNTRUSTED_HOSTILECROWD_H
