#ifndef TESTS_STANDIN_STANDINSIGNAL_H
#define TESTS_STANDIN_STANDINSIGNAL_H

#include <kj/async.h>

namespace ragwortmux::standin {

/// Wakes everybody who waits for the next change.
class StandInSignal final {
public:
  /// Resolves at the next notify().
  kj::Promise<void> wait() {
    m_HasWaiters = true;
    return m_Next.addBranch();
  }

  /// Resolves all promises that wait() has given out.
  void notify() {
    if (!m_HasWaiters) {
      return;
    }
    m_HasWaiters = false;
    auto Current = kj::mv(m_Pair.fulfiller);
    m_Pair = kj::newPromiseAndFulfiller<void>();
    m_Next = m_Pair.promise.fork();
    Current->fulfill();
  }

private:
  kj::PromiseFulfillerPair<void> m_Pair =
      kj::newPromiseAndFulfiller<void>(); ///< Fulfiller of the next change.
  kj::ForkedPromise<void> m_Next = m_Pair.promise.fork(); ///< Next change.
  bool m_HasWaiters = false; ///< wait() was called since the last change.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSIGNAL_H
