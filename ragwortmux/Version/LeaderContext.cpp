#include "ragwortmux/Version/LeaderContext.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

/// Maximum number of proposals without a result. Further ones are dropped; the
/// leader makes the same decisions again later.
constexpr std::size_t MaxPending = 4096;

/// Hash of the kind, group and session of \p Command. When many hosts come
/// back at once, thousands of commands of one kind are pending.
std::size_t hashCommand(const ControlCommand &Command) {
  std::size_t Hash = Command.index();
  std::visit(
      [&Hash](const auto &Typed) {
        if constexpr (requires { Typed.m_Group; })
          boost::hash_combine(Hash, Typed.m_Group.value());
        if constexpr (requires { Typed.m_Session; })
          boost::hash_combine(Hash, Typed.m_Session.value());
      },
      Command);
  return Hash;
}

} // namespace

void LeaderContext::reset() {
  m_Actions.clear();
  m_Pending.clear();
}

void LeaderContext::propose(const ControlCommand &Command, Instant Now) {
  const auto Found = findPending(Command);
  if (Found == m_Pending.end() && m_Pending.size() >= MaxPending)
    return;
  if (Found == m_Pending.end())
    m_Pending.emplace(hashCommand(Command), Pending{Command, Now});
  else if (Now - Found->second.m_At < m_Settings.m_ProposeRetry)
    return;
  else
    Found->second.m_At = Now;
  addAction(Propose{Command});
}

void LeaderContext::applied(const ControlCommand &Command) {
  const auto Found = findPending(Command);
  if (Found != m_Pending.end())
    m_Pending.erase(Found);
}

std::unordered_multimap<std::size_t, LeaderContext::Pending>::iterator
LeaderContext::findPending(const ControlCommand &Command) {
  const auto [Begin, End] = m_Pending.equal_range(hashCommand(Command));
  const auto Found = std::find_if(Begin, End, [&](const auto &Each) {
    return Each.second.m_Command == Command;
  });
  return Found == End ? m_Pending.end() : Found;
}

std::vector<ControlAction> LeaderContext::takeActions() {
  return std::exchange(m_Actions, {});
}

} // namespace ragwortmux
