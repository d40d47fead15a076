#ifndef BENCH_MEASURE_FAULTPLAN_H
#define BENCH_MEASURE_FAULTPLAN_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

class Cluster;
class LoadClient;

/// Kind of loss of a primary.
enum class LossKind : std::uint8_t {
  Killed,         ///< SIGKILL; later restarted from its journal.
  Frozen,         ///< SIGSTOP; later resumed.
  CutOff,         ///< Running but unreachable; later reconnected.
  WithFrozenHost, ///< Killed while an entry host with a lease is suspended.
};

/// Name of \p Kind in the results.
std::string_view lossKindName(LossKind Kind);

/// One loss of a primary.
struct PrimaryLoss final {
  using Clock = std::chrono::steady_clock;

  LossKind m_Kind = LossKind::Killed; ///< Kind of loss.
  std::uint32_t m_Group = 0;          ///< Number of the group.
  std::uint32_t m_Server = 0;         ///< Number of the lost server.
  Clock::time_point m_LostAt;         ///< Time of the loss.
  Clock::time_point m_RecoveredAt;    ///< Time of the recovery.
  bool m_Injected = false;            ///< False if no primary was found.
};

/// Schedule of the losses.
struct FaultSettings final {
  std::chrono::milliseconds m_First{4'000};  ///< Time before the first loss.
  std::chrono::milliseconds m_Period{6'000}; ///< Time between losses.
  std::chrono::milliseconds m_Outage{3'500}; ///< Time from loss to recovery.
  std::uint32_t m_Losses = 12;               ///< Number of losses.
  bool m_FreezeHosts = true;                 ///< Include WithFrozenHost.
};

/// Injects losses of primaries one after the other, alternating kinds and
/// groups, and ends each loss after the outage time.
class FaultPlan final {
public:
  FaultPlan(Cluster &Target, LoadClient &Load, const FaultSettings &Settings);

  /// Runs all losses. \p Progress receives a line of text after each loss.
  void run(const std::function<void(const std::string &)> &Progress);

  const std::vector<PrimaryLoss> &losses() const { return m_Losses; }

private:
  LossKind selectKind(std::uint32_t Number) const;
  void injectLoss(PrimaryLoss &Loss);
  void recover(PrimaryLoss &Loss);

  Cluster &m_Cluster;                ///< Cluster under load.
  LoadClient &m_Load;                ///< Load on the cluster.
  const FaultSettings m_Settings;    ///< Schedule.
  std::vector<PrimaryLoss> m_Losses; ///< Losses so far.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_FAULTPLAN_H
