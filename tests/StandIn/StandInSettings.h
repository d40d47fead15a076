#ifndef TESTS_STANDIN_STANDINSETTINGS_H
#define TESTS_STANDIN_STANDINSETTINGS_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortmux::standin {

/// Settings of one stand-in server. Group, server, domain, slots and
/// connections also go into its announcements.
struct StandInSettings final {
  std::string m_Group = "group";   ///< Group announced.
  std::string m_Server = "server"; ///< Server id announced.
  std::string m_Domain = "domain"; ///< Failure domain announced.
  std::uint16_t m_Port = 0;        ///< Port to listen on; 0: any free port.
  std::vector<std::string> m_AnnounceTo; ///< HOST:PORT of entry hosts.
  Duration m_AnnounceInterval{100'000};  ///< Time between announcements.
  Duration m_AnnounceTimeout{500'000};   ///< Longest wait for an entry host.
  std::uint32_t m_Slots = 5;             ///< Statements that run at a time.
  std::uint32_t m_Connections = 35;      ///< Connections open at a time.
  Duration m_LockTimeout{2'000'000};     ///< Longest wait for a row lock.
  std::size_t m_MaxAnswerBytes = 256ULL << 20U; ///< Longest result of `repeat`.
  std::string m_RecordFile; ///< Record of commits; empty: none.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSETTINGS_H
