#ifndef RAGWORTMUX_PROCESS_PEERS_GATEDSTREAM_H
#define RAGWORTMUX_PROCESS_PEERS_GATEDSTREAM_H

#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace ragwortmux {

/// What a peer may send until it has proved that it knows the cluster key.
struct ProofGate final {
  bool m_IsProved = false;          ///< The peer has proved it.
  std::size_t m_BytesLeft = 0;      ///< Bytes that it may send until then.
  std::function<void()> m_Exceeded; ///< It wants to send more.
};

/// A stream that fails when its peer sends more than its ProofGate allows, or
/// announces a message that is larger.
class GatedStream final : public kj::AsyncIoStream {
public:
  GatedStream(kj::Own<kj::AsyncIoStream> Stream,
              std::shared_ptr<ProofGate> Gate);

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t MinBytes,
                                   std::size_t MaxBytes) override;
  kj::Promise<void> write(const void *Buffer, std::size_t Size) override;
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Own<kj::AsyncIoStream> m_Stream; ///< The stream itself.
  std::shared_ptr<ProofGate> m_Gate;   ///< Whether it is limited.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_GATEDSTREAM_H
