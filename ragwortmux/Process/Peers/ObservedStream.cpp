#include "ragwortmux/Process/Peers/ObservedStream.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

ObservedStream::ObservedStream(kj::Own<kj::AsyncIoStream> Stream,
                               std::function<void()> BytesReceived)
    : m_Stream(kj::mv(Stream)), m_BytesReceived(std::move(BytesReceived)) {}

kj::Promise<std::size_t> ObservedStream::tryRead(void *Buffer,
                                                 std::size_t MinBytes,
                                                 std::size_t MaxBytes) {
  return readRest(static_cast<kj::byte *>(Buffer), MinBytes, MaxBytes, 0);
}

kj::Promise<void> ObservedStream::write(const void *Buffer, std::size_t Size) {
  return m_Stream->write(Buffer, Size);
}

kj::Promise<void>
ObservedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) {
  return m_Stream->write(Pieces);
}

kj::Promise<void> ObservedStream::whenWriteDisconnected() {
  return m_Stream->whenWriteDisconnected();
}

void ObservedStream::shutdownWrite() { m_Stream->shutdownWrite(); }

void ObservedStream::abortRead() { m_Stream->abortRead(); }

kj::Promise<std::size_t> ObservedStream::readRest(kj::byte *Buffer,
                                                  std::size_t MinBytes,
                                                  std::size_t MaxBytes,
                                                  std::size_t Done) {
  // Read whatever is there, because a read of the whole minimum completes only
  // with its last byte.
  return m_Stream
      ->tryRead(Buffer + Done, std::min<std::size_t>(MinBytes, 1),
                MaxBytes - Done)
      .then([this, Buffer, MinBytes, MaxBytes,
             Done](std::size_t Count) -> kj::Promise<std::size_t> {
        if (Count == 0) {
          return Done;
        }
        m_BytesReceived();
        if (Done + Count >= MinBytes) {
          return Done + Count;
        }
        return readRest(Buffer, MinBytes, MaxBytes, Done + Count);
      });
}

} // namespace ragwortmux
