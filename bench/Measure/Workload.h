#ifndef BENCH_MEASURE_WORKLOAD_H
#define BENCH_MEASURE_WORKLOAD_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// The classes of requests that the load has.
enum class LoadClass : std::uint8_t { Booking, Write, SessionRead, AgedRead };

/// Number of values of LoadClass.
constexpr std::size_t LoadClassCount = 4;

/// The word for \p Class that the catalogue uses.
std::string_view loadClassName(LoadClass Class);

/// Shares of the load in percent; they add up to 100.
struct LoadMix final {
  std::uint32_t m_Booking = 0;     ///< Keyed bookings.
  std::uint32_t m_Write = 0;       ///< Repeatable writes.
  std::uint32_t m_SessionRead = 0; ///< Reads that cover the session's booking.
  std::uint32_t m_AgedRead = 0;    ///< Reads with a stated age.
};

/// The sizes of one user and the load that is put on them.
struct Workload final {
  using Milliseconds = std::chrono::milliseconds;

  std::string m_Name;                 ///< Name of the user.
  std::string m_GroupPrefix;          ///< Groups are PREFIX-0, PREFIX-1, ...
  std::vector<std::string> m_Domains; ///< Failure domains.
  std::uint32_t m_Groups = 3;         ///< Database groups.
  std::uint32_t m_Servers = 3;        ///< Backend servers of each group.
  std::uint32_t m_Slots = 5;          ///< Statements at once per server.
  std::uint32_t m_Connections = 35;   ///< Connections per server.
  std::uint32_t m_EntryHosts = 7;     ///< Entry hosts.
  std::uint32_t m_ControlHosts = 3;   ///< The first of them also control.
  Milliseconds m_OpenDelay{0};        ///< To open a backend connection.
  Milliseconds m_DomainDelay{0};      ///< One way between failure domains.
  Milliseconds m_ClientDelay{0};      ///< One way to clients.
  Milliseconds m_StatementDelay{1};   ///< Run time of a statement.
  Milliseconds m_MaxAge{2000};        ///< Stated age of aged reads.
  LoadMix m_Mix;                      ///< What the load consists of.
  double m_RequestsPerSecond = 0;     ///< Open-loop arrival rate.
  std::uint32_t m_Sessions = 300;     ///< Sessions of each group.
  std::uint32_t m_Meters = 100;       ///< Rows for aged reads of each group.
};

/// The workload of a user; nothing if there is none of that name.
std::optional<Workload> findWorkload(std::string_view Name);

} // namespace ragwortmux

#endif // BENCH_MEASURE_WORKLOAD_H
