#include "ragwortmux/Process/Loop/ActorSystem.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>

namespace ragwortmux {

struct ActorSystem::Parts final {
  caf::actor_system_config m_Config;           ///< Must outlive the system.
  std::unique_ptr<caf::actor_system> m_System; ///< The system.
};

ActorSystem::ActorSystem(unsigned Threads)
    : m_Parts(std::make_unique<Parts>()) {
  m_Parts->m_Config.set("scheduler.max-threads", Threads);
  // With "sharing", idle threads block until there is work. The default policy
  // polls, which uses processor time while idle and delays messages by up to
  // the polling interval.
  m_Parts->m_Config.set("scheduler.policy", caf::atom("sharing"));
  m_Parts->m_System = std::make_unique<caf::actor_system>(m_Parts->m_Config);
}

ActorSystem::~ActorSystem() = default;

caf::actor_system &ActorSystem::system() { return *m_Parts->m_System; }

} // namespace ragwortmux
