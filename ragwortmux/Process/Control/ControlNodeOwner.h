#ifndef RAGWORTMUX_PROCESS_CONTROL_CONTROLNODEOWNER_H
#define RAGWORTMUX_PROCESS_CONTROL_CONTROLNODEOWNER_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Core/Time.h"

#include <functional>
#include <memory>
#include <string>

namespace ragwortmux {

class ControlNode;

/// Owns a control node, and replaces it by a new one on the same data folder
/// after its disk has failed. A disk that was full accepts writes again later,
/// and a voter that stayed stopped would be missing when another one is lost.
///
/// Until then the failed node answers calls with NotLeader.
class ControlNodeOwner final {
public:
  /// Makes a node that is not open yet.
  using NodeFactory = std::function<std::unique_ptr<ControlNode>()>;

  explicit ControlNodeOwner(NodeFactory Factory);
  ~ControlNodeOwner();
  ControlNodeOwner(const ControlNodeOwner &) = delete;
  ControlNodeOwner &operator=(const ControlNodeOwner &) = delete;

  /// Makes and opens the first node. False with lastCode() and lastReason() on
  /// failure.
  bool open(Instant Now);
  /// The node; only after open().
  ControlNode &node() { return *m_Node; }
  /// Reopens the data folder of a failed node if an attempt is due.
  void tick(Instant Now);

  ResultCode lastCode() const { return m_LastCode; }
  const std::string &lastReason() const { return m_LastReason; }

private:
  void reopen(Instant Now);
  void logReopenFailure(const std::string &Reason);

  NodeFactory m_Factory;                  ///< Makes nodes.
  std::unique_ptr<ControlNode> m_Node;    ///< The current node.
  Instant m_RetryAt{};                    ///< Earliest next attempt to reopen.
  ResultCode m_LastCode = ResultCode::Ok; ///< See lastCode().
  std::string m_LastReason;               ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_CONTROL_CONTROLNODEOWNER_H
