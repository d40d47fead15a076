#ifndef BENCH_ENTRYHOSTS_HEARTBEATSENDER_H
#define BENCH_ENTRYHOSTS_HEARTBEATSENDER_H

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace ragwortmux {

/// A backend server in the heartbeats.
struct ServerHeartbeat final {
  std::string m_Group;      ///< Its group.
  std::string m_Id;         ///< Its id.
  std::string m_Address;    ///< Address with the port.
  std::string m_Domain;     ///< Failure domain.
  bool m_IsPrimary = false; ///< It is the primary of its group.
};

/// Sends the heartbeats of all backend servers to the control hosts.
class HeartbeatSender final {
public:
  /// \p ControlAddresses get the heartbeats in turn, at \p Port.
  HeartbeatSender(std::vector<ServerHeartbeat> Servers,
                  std::vector<std::string> ControlAddresses,
                  std::uint16_t Port);
  ~HeartbeatSender();
  HeartbeatSender(const HeartbeatSender &) = delete;
  HeartbeatSender &operator=(const HeartbeatSender &) = delete;

  /// Heartbeats that were accepted.
  std::uint64_t accepted() const { return m_Accepted; }
  /// Heartbeats that were refused or not answered.
  std::uint64_t failed() const { return m_Failed; }

private:
  void run();
  bool send(const ServerHeartbeat &Server, std::uint64_t Sequence) const;

  std::vector<ServerHeartbeat> m_Servers;      ///< All servers.
  std::vector<std::string> m_ControlAddresses; ///< Receivers.
  std::uint16_t m_Port;                        ///< Their HTTP port.
  std::atomic<std::uint64_t> m_Accepted = 0;   ///< See accepted().
  std::atomic<std::uint64_t> m_Failed = 0;     ///< See failed().
  std::atomic<bool> m_IsRunning = true;        ///< False: the thread ends.
  std::thread m_Thread;                        ///< Runs run().
};

} // namespace ragwortmux

#endif // BENCH_ENTRYHOSTS_HEARTBEATSENDER_H
