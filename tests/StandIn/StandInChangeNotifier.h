#ifndef TESTS_STANDIN_STANDINCHANGENOTIFIER_H
#define TESTS_STANDIN_STANDINCHANGENOTIFIER_H

#include <kj/async.h>

namespace ragwortmux::standin {

/// Notifies any number of waiting promises of the next change.
class StandInChangeNotifier final {
public:
  /// Resolves at the next notify().
  kj::Promise<void> wait() {
    m_HasWaiters = true;
    return m_Next.addBranch();
  }

  /// Resolves all promises that wait() has returned.
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
      kj::newPromiseAndFulfiller<void>(); ///< Fulfilled at the next change.
  kj::ForkedPromise<void> m_Next =
      m_Pair.promise.fork(); ///< Resolves at the next change.
  bool m_HasWaiters = false; ///< wait() was called since the last notify().
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINCHANGENOTIFIER_H
