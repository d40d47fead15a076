#ifndef RAGWORTMUX_PROCESS_PEERS_OBSERVEDSTREAM_H
#define RAGWORTMUX_PROCESS_PEERS_OBSERVEDSTREAM_H

#include <kj/async-io.h>

#include <functional>

namespace ragwortmux {

/// A stream that reports whenever bytes arrive, also those of a message that
/// is not complete yet.
class ObservedStream final : public kj::AsyncIoStream {
public:
  ObservedStream(kj::Own<kj::AsyncIoStream> Stream,
                 std::function<void()> BytesReceived);

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t MinBytes,
                                   std::size_t MaxBytes) override;
  kj::Promise<void> write(const void *Buffer, std::size_t Size) override;
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Promise<std::size_t> readRest(kj::byte *Buffer, std::size_t MinBytes,
                                    std::size_t MaxBytes, std::size_t Done);

  kj::Own<kj::AsyncIoStream> m_Stream;   ///< The stream itself.
  std::function<void()> m_BytesReceived; ///< Called when bytes arrive.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_OBSERVEDSTREAM_H
