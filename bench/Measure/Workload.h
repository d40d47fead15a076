#ifndef BENCH_MEASURE_WORKLOAD_H
#define BENCH_MEASURE_WORKLOAD_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Classes of requests in the load.
enum class LoadClass : std::uint8_t { Booking, Write, SessionRead, AgedRead };

/// Number of values of LoadClass.
constexpr std::size_t LoadClassCount = 4;

/// Name of \p Class in the catalogue.
std::string_view loadClassName(LoadClass Class);

/// Shares of the request classes in percent; the sum is 100.
struct LoadMix final {
  std::uint32_t m_Booking = 0; ///< Keyed bookings.
  std::uint32_t m_Write = 0;   ///< Repeatable writes.
  std::uint32_t m_SessionRead =
      0;                        ///< Reads that see the writes of their session.
  std::uint32_t m_AgedRead = 0; ///< Reads with a bounded age.
};

/// Cluster sizes of one user and the load on that cluster.
struct Workload final {
  using Milliseconds = std::chrono::milliseconds;

  std::string m_Name;        ///< Name of the user.
  std::string m_GroupPrefix; ///< Groups are named PREFIX-0, PREFIX-1, ...
  std::vector<std::string> m_Domains; ///< Failure domains.
  std::uint32_t m_Groups = 3;         ///< Number of database groups.
  std::uint32_t m_Servers = 3;        ///< Backend servers of each group.
  std::uint32_t m_Slots = 5;          ///< Concurrent statements per server.
  std::uint32_t m_Connections = 35;   ///< Connection limit per server.
  std::uint32_t m_EntryHosts = 7;     ///< Number of entry hosts.
  std::uint32_t m_ControlHosts =
      3;                       ///< The first entry hosts have the control role.
  Milliseconds m_OpenDelay{0}; ///< Time to open a backend connection.
  Milliseconds m_DomainDelay{0};    ///< One-way delay between failure domains.
  Milliseconds m_ClientDelay{0};    ///< One-way delay to clients.
  Milliseconds m_StatementDelay{1}; ///< Run time of a statement.
  Milliseconds m_MaxAge{2000};      ///< Maximum age of aged reads.
  LoadMix m_Mix;                    ///< Shares of the request classes.
  double m_RequestsPerSecond = 0;   ///< Open-loop arrival rate.
  std::uint32_t m_Sessions = 300;   ///< Sessions of each group.
  std::uint32_t m_Meters = 100;     ///< Rows for aged reads of each group.
};

/// Workload of a user; nothing if the name is unknown.
std::optional<Workload> findWorkload(std::string_view Name);

} // namespace ragwortmux

#endif // BENCH_MEASURE_WORKLOAD_H
