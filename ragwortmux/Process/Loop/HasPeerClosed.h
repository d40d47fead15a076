#ifndef RAGWORTMUX_PROCESS_LOOP_HASPEERCLOSED_H
#define RAGWORTMUX_PROCESS_LOOP_HASPEERCLOSED_H

#include <kj/async-io.h>

#include <poll.h>

namespace ragwortmux {

/// True if the peer of \p Stream has closed its sending side or the connection
/// is broken, even if received bytes have not been read.
inline bool hasPeerClosed(kj::AsyncIoStream &Stream) {
  KJ_IF_MAYBE (Descriptor, Stream.getFd()) {
    pollfd Polled{*Descriptor, POLLRDHUP, 0};
    return ::poll(&Polled, 1, 0) > 0;
  }
  return false;
}

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOOP_HASPEERCLOSED_H
