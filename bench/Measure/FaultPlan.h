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

/// How a primary is lost.
enum class LossKind : std::uint8_t {
  Killed,         ///< SIGKILL; restarted from its journal.
  Frozen,         ///< SIGSTOP; resumed.
  CutOff,         ///< Runs on, but nobody reaches it; reconnected.
  WithFrozenHost, ///< Killed while an entry host with a lease is frozen.
};

/// The word for \p Kind.
std::string_view lossKindName(LossKind Kind);

/// One loss of a primary.
struct PrimaryLoss final {
  using Clock = std::chrono::steady_clock;

  LossKind m_Kind = LossKind::Killed; ///< How.
  std::uint32_t m_Group = 0;          ///< Of which group.
  std::uint32_t m_Server = 0;         ///< Which server it was.
  Clock::time_point m_At;             ///< When it was lost.
  Clock::time_point m_Healed;         ///< When it was brought back.
  bool m_Done = false;                ///< False: no primary was found.
};

/// When primaries are lost.
struct FaultSettings final {
  std::chrono::milliseconds m_First{4'000};  ///< Before the first loss.
  std::chrono::milliseconds m_Period{6'000}; ///< From one loss to the next.
  std::chrono::milliseconds m_Outage{3'500}; ///< Until it is brought back.
  std::uint32_t m_Losses = 12;               ///< How many.
  bool m_FreezeHosts = true;                 ///< Also lose entry hosts.
};

/// Loses one primary after the other, in all ways and all groups in turn, and
/// brings each one back.
class FaultPlan final {
public:
  FaultPlan(Cluster &Target, LoadClient &Load, const FaultSettings &Settings);

  /// Runs the whole plan. \p Progress gets a line at each step.
  void run(const std::function<void(const std::string &)> &Progress);

  const std::vector<PrimaryLoss> &losses() const { return m_Losses; }

private:
  LossKind kindOf(std::uint32_t Number) const;
  void lose(PrimaryLoss &Loss);
  void heal(PrimaryLoss &Loss);

  Cluster &m_Cluster;                ///< The target.
  LoadClient &m_Load;                ///< Its load.
  const FaultSettings m_Settings;    ///< When.
  std::vector<PrimaryLoss> m_Losses; ///< So far.
};

} // namespace ragwortmux

#endif // BENCH_MEASURE_FAULTPLAN_H
