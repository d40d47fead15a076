#include "ragwortmux/Process/Peers/GatedStream.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace ragwortmux {

GatedStream::GatedStream(kj::Own<kj::AsyncIoStream> Stream,
                         std::shared_ptr<ProofGate> Gate)
    : m_Stream(kj::mv(Stream)), m_Gate(std::move(Gate)) {}

kj::Promise<std::size_t>
GatedStream::tryRead(void *Buffer, std::size_t MinBytes, std::size_t MaxBytes) {
  if (m_Gate->m_IsProved) {
    return m_Stream->tryRead(Buffer, MinBytes, MaxBytes);
  }
  // The reader of messages asks for the whole rest of a message at once, so a
  // message that is too large fails before its bytes arrive.
  if (std::max<std::size_t>(MinBytes, 1) > m_Gate->m_BytesLeft) {
    m_Gate->m_Exceeded();
    return KJ_EXCEPTION(DISCONNECTED,
                        "too many bytes before the proof of the cluster key");
  }
  return m_Stream
      ->tryRead(Buffer, MinBytes, std::min(MaxBytes, m_Gate->m_BytesLeft))
      .then([Gate = m_Gate](std::size_t Count) {
        Gate->m_BytesLeft -= std::min(Count, Gate->m_BytesLeft);
        return Count;
      });
}

kj::Promise<void> GatedStream::write(const void *Buffer, std::size_t Size) {
  return m_Stream->write(Buffer, Size);
}

kj::Promise<void>
GatedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) {
  return m_Stream->write(Pieces);
}

kj::Promise<void> GatedStream::whenWriteDisconnected() {
  return m_Stream->whenWriteDisconnected();
}

void GatedStream::shutdownWrite() { m_Stream->shutdownWrite(); }

void GatedStream::abortRead() { m_Stream->abortRead(); }

} // namespace ragwortmux
