#ifndef RAGWORTMUX_PROCESS_LOOP_MAKEREPLYPROMISE_H
#define RAGWORTMUX_PROCESS_LOOP_MAKEREPLYPROMISE_H

#include <kj/async.h>

#include <memory>
#include <utility>

namespace ragwortmux {

/// Converts a callback interface to a promise: calls \p Start immediately with
/// a callback that fulfills the promise. Both must be used on the event loop's
/// thread.
template <typename Reply, typename Starter>
kj::Promise<Reply> makeReplyPromise(Starter Start) {
  auto Pair = kj::newPromiseAndFulfiller<Reply>();
  const auto Fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Reply>>>(
      kj::mv(Pair.fulfiller));
  Start([Fulfiller](Reply Value) { (*Fulfiller)->fulfill(std::move(Value)); });
  return kj::mv(Pair.promise);
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_MAKEREPLYPROMISE_H
