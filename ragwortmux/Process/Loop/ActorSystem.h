#ifndef RAGWORTMUX_PROCESS_LOOP_ACTORSYSTEM_H
#define RAGWORTMUX_PROCESS_LOOP_ACTORSYSTEM_H

#include <memory>

namespace caf {
class actor_system;
} // namespace caf

namespace ragwortmux {

/// Owns the process's CAF actor system, without its networking modules.
class ActorSystem final {
public:
  /// \p Threads is the number of scheduler threads.
  explicit ActorSystem(unsigned Threads);
  ~ActorSystem();
  ActorSystem(const ActorSystem &) = delete;
  ActorSystem &operator=(const ActorSystem &) = delete;

  /// The CAF actor system.
  caf::actor_system &system();

private:
  struct Parts;
  std::unique_ptr<Parts> m_Parts; ///< Configuration and system.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_ACTORSYSTEM_H
