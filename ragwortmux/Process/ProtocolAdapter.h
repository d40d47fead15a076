#ifndef RAGWORTMUX_PROCESS_PROTOCOLADAPTER_H
#define RAGWORTMUX_PROCESS_PROTOCOLADAPTER_H

#include "ragwortmux/Process/Control/ControlRole.h"
#include "ragwortmux/Process/Entry/SessionEntryRole.h"

#include <functional>
#include <memory>

namespace ragwortmux {

class IoLoop;
class Metrics;
struct ProcessSettings;

/// Implements the protocols towards callers, backend servers and operators in
/// place of the built-in ones. It only translates; all decisions are made by
/// the roles.
class ProtocolAdapter {
public:
  ProtocolAdapter() = default;
  virtual ~ProtocolAdapter() = default;
  ProtocolAdapter(const ProtocolAdapter &) = delete;
  ProtocolAdapter &operator=(const ProtocolAdapter &) = delete;

  /// The callbacks of the entry role.
  virtual SessionEntryHooks entryHooks() = 0;
  /// Returns the function with which control calls backend servers.
  virtual ControlRole::BackendCaller backendCaller() = 0;
  /// Listens for callers, which are served by \p Entry.
  virtual void serveEntry(SessionEntryRole &Entry) = 0;
  /// Listens for operators and server announcements, whose requests are sent to
  /// the leader through \p Control.
  virtual void serveControl(ControlClient &Control) = 0;
};

/// Creates the adapter of a process.
using ProtocolAdapterFactory = std::function<std::unique_ptr<ProtocolAdapter>(
    IoLoop &Loop, const ProcessSettings &Settings, Metrics &ProcessMetrics)>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PROTOCOLADAPTER_H
