#ifndef TESTS_STANDIN_STANDINSETTINGS_H
#define TESTS_STANDIN_STANDINSETTINGS_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortmux::standin {

/// The settings of one server.
struct StandInSettings final {
  std::string m_Group = "group";                ///< Group announced.
  std::string m_Server = "server";              ///< Server id announced.
  std::string m_Domain = "domain";              ///< Failure domain announced.
  std::uint16_t m_Port = 0;                     ///< 0: any free one.
  std::vector<std::string> m_AnnounceTo;        ///< HOST:PORT of entry hosts.
  Duration m_AnnounceInterval{100'000};         ///< Between announcements.
  Duration m_AnnounceTimeout{500'000};          ///< Wait for an entry host.
  std::uint32_t m_Slots = 5;                    ///< Statements at a time.
  std::uint32_t m_Connections = 35;             ///< Open connections.
  Duration m_LockTimeout{2'000'000};            ///< Wait for a row lock.
  std::size_t m_MaxAnswerBytes = 256ULL << 20U; ///< Of one message.
  std::string m_RecordFile;                     ///< Commits; empty: none.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSETTINGS_H
