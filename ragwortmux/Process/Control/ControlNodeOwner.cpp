#include "ragwortmux/Process/Control/ControlNodeOwner.h"

#include "ragwortmux/Process/Control/ControlNode.h"
#include "ragwortmux/Process/Support/Log.h"

#include <utility>

namespace ragwortmux {

namespace {

/// Pause between two attempts to reopen a data folder whose disk has failed.
constexpr Duration ReopenPause = std::chrono::milliseconds(500);

} // namespace

ControlNodeOwner::ControlNodeOwner(NodeFactory Factory)
    : m_Factory(std::move(Factory)) {}

ControlNodeOwner::~ControlNodeOwner() = default;

bool ControlNodeOwner::open(Instant Now) {
  m_Node = m_Factory();
  if (m_Node->open(Now)) {
    return true;
  }
  m_LastCode = m_Node->lastCode();
  m_LastReason = m_Node->lastReason();
  return false;
}

void ControlNodeOwner::tick(Instant Now) {
  if (m_Node->hasFailed() && Now >= m_RetryAt) {
    m_RetryAt = Now + ReopenPause;
    reopen(Now);
  }
}

void ControlNodeOwner::reopen(Instant Now) {
  // Two nodes must not have the folder open at the same time.
  if (!m_Node->releaseStorage()) {
    logReopenFailure(m_Node->lastReason());
    return;
  }
  auto NewNode = m_Factory();
  if (!NewNode->open(Now)) {
    logReopenFailure(NewNode->lastReason());
    return;
  }
  m_Node = std::move(NewNode);
  m_LastReason.clear();
  logInfo(Part::Log, "The log was opened again.");
}

void ControlNodeOwner::logReopenFailure(const std::string &Reason) {
  if (std::exchange(m_LastReason, Reason) != Reason) {
    logError(Part::Log, "The log cannot be opened again yet: {}.", Reason);
  }
}

} // namespace ragwortmux
