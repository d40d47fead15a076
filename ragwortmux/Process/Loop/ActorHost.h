#ifndef RAGWORTMUX_PROCESS_LOOP_ACTORHOST_H
#define RAGWORTMUX_PROCESS_LOOP_ACTORHOST_H

#include <memory>

namespace caf {
class actor_system;
} // namespace caf

namespace ragwortmux {

/// Owns the process's CAF actor system, without its networking modules.
class ActorHost final {
public:
  /// \p Threads is the number of scheduler threads.
  explicit ActorHost(unsigned Threads);
  ~ActorHost();
  ActorHost(const ActorHost &) = delete;
  ActorHost &operator=(const ActorHost &) = delete;

  /// The CAF actor system.
  caf::actor_system &system();

private:
  struct Parts;
  std::unique_ptr<Parts> m_Parts; ///< Configuration and system.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_ACTORHOST_H
