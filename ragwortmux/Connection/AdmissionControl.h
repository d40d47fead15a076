#ifndef RAGWORTMUX_CONNECTION_ADMISSIONCONTROL_H
#define RAGWORTMUX_CONNECTION_ADMISSIONCONTROL_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Core/Time.h"

#include <functional>
#include <vector>

namespace ragwortmux {

/// Decides whether an entry host accepts new callers while its process starts
/// up and shuts down.
///
/// After a power loss of all hosts, callers reconnect before the catalogue is
/// loaded. If they were refused immediately, they would exhaust their retries
/// within milliseconds, although every host can serve them shortly after.
/// Callers therefore wait for the catalogue, but no longer than they would wait
/// for the answer to their first request.
class AdmissionControl final {
public:
  /// Called with Ok, or with the reason why the caller must use another host.
  using Decision = std::function<void(ResultCode Code)>;

  /// Callers wait until \p MaxWait after the process start \p Start.
  AdmissionControl(Instant Start, Duration MaxWait);

  /// Calls \p OnDecision immediately, or once the decision can be made.
  void admit(Instant Now, Decision OnDecision);
  /// Accepts all waiting and future callers.
  void open();
  /// Refuses all waiting and future callers; the process is shutting down.
  void close();
  /// Refuses the waiting callers if the maximum wait has passed; must be called
  /// when it ends.
  void tick(Instant Now);

private:
  void completeWaiting(ResultCode Code);

  Instant m_MaxWaitEnd;            ///< End of the maximum wait.
  bool m_IsOpen = false;           ///< open() was called.
  bool m_IsClosed = false;         ///< close() was called.
  std::vector<Decision> m_Waiting; ///< Waiting callers, oldest first.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_CONNECTION_ADMISSIONCONTROL_H
