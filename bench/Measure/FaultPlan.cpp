#include "bench/Measure/FaultPlan.h"

#include "bench/Measure/Cluster.h"
#include "bench/Measure/LoadClient.h"

#include <thread>

namespace ragwortmux {

namespace {

constexpr std::uint32_t PrimaryOnlyKinds = 3;

} // namespace

std::string_view lossKindName(LossKind Kind) {
  switch (Kind) {
  case LossKind::Killed:
    return "killed";
  case LossKind::Frozen:
    return "frozen";
  case LossKind::CutOff:
    return "cut off";
  case LossKind::WithFrozenHost:
    return "killed with a frozen entry host";
  }
  return "";
}

FaultPlan::FaultPlan(Cluster &Target, LoadClient &Load,
                     const FaultSettings &Settings)
    : m_Cluster(Target), m_Load(Load), m_Settings(Settings) {}

void FaultPlan::run(const std::function<void(const std::string &)> &Progress) {
  const auto Start = PrimaryLoss::Clock::now();
  for (std::uint32_t Number = 0; Number < m_Settings.m_Losses; ++Number) {
    const auto Due = Start + m_Settings.m_First + m_Settings.m_Period * Number;
    std::this_thread::sleep_until(Due);
    PrimaryLoss Loss;
    Loss.m_Kind = selectKind(Number);
    Loss.m_Group = Number % m_Cluster.workload().m_Groups;
    injectLoss(Loss);
    Progress("primary of " + m_Cluster.groupName(Loss.m_Group) +
             (Loss.m_Injected
                  ? " (server " + std::to_string(Loss.m_Server) + ") "
                  : " not found, not ") +
             std::string(lossKindName(Loss.m_Kind)));
    if (Loss.m_Injected) {
      std::this_thread::sleep_until(Loss.m_LostAt + m_Settings.m_Outage);
      recover(Loss);
    }
    m_Losses.push_back(Loss);
  }
}

LossKind FaultPlan::selectKind(std::uint32_t Number) const {
  // The kind is shifted by one after each round, so that each group is hit by
  // each kind also where the numbers of kinds and groups have a common divisor.
  const std::uint32_t Kinds =
      PrimaryOnlyKinds + (m_Settings.m_FreezeHosts ? 1 : 0);
  const std::uint32_t Shift = Number / (Kinds * PrimaryOnlyKinds);
  return static_cast<LossKind>((Number + Shift) % Kinds);
}

void FaultPlan::injectLoss(PrimaryLoss &Loss) {
  const auto Primary = m_Cluster.findPrimary(Loss.m_Group);
  if (!Primary) {
    return;
  }
  Loss.m_Server = *Primary;
  Loss.m_Injected = true;
  // The last entry host has no control role; the load balancer skips it while
  // it is suspended.
  const std::uint32_t Host = m_Cluster.workload().m_EntryHosts - 1;
  if (Loss.m_Kind == LossKind::WithFrozenHost) {
    m_Load.setHostUsable(Host, false);
    m_Cluster.freezeHost(Host, true);
  }
  Loss.m_LostAt = PrimaryLoss::Clock::now();
  switch (Loss.m_Kind) {
  case LossKind::Killed:
  case LossKind::WithFrozenHost:
    m_Cluster.killServer(Loss.m_Group, Loss.m_Server);
    return;
  case LossKind::Frozen:
    m_Cluster.freezeServer(Loss.m_Group, Loss.m_Server, true);
    return;
  case LossKind::CutOff:
    m_Cluster.isolateServer(Loss.m_Group, Loss.m_Server);
    return;
  }
}

void FaultPlan::recover(PrimaryLoss &Loss) {
  switch (Loss.m_Kind) {
  case LossKind::WithFrozenHost: {
    const std::uint32_t Host = m_Cluster.workload().m_EntryHosts - 1;
    m_Cluster.freezeHost(Host, false);
    m_Load.setHostUsable(Host, true);
    m_Cluster.restartServer(Loss.m_Group, Loss.m_Server);
    break;
  }
  case LossKind::Killed:
    m_Cluster.restartServer(Loss.m_Group, Loss.m_Server);
    break;
  case LossKind::Frozen:
    m_Cluster.freezeServer(Loss.m_Group, Loss.m_Server, false);
    break;
  case LossKind::CutOff:
    m_Cluster.reconnectServer(Loss.m_Group, Loss.m_Server);
    break;
  }
  Loss.m_RecoveredAt = PrimaryLoss::Clock::now();
}

} // namespace ragwortmux
