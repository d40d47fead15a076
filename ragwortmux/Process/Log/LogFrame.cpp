#include "ragwortmux/Process/Log/LogFrame.h"

#include "ragwortmux/Process/Log/ByteCodec.h"

#include <boost/crc.hpp>

namespace ragwortmux {

namespace {

constexpr std::string_view Magic = "RWLG";

std::uint32_t crc32(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

} // namespace

std::string encodeFrame(std::string_view Body) {
  ByteWriter Head;
  Head.raw(Magic);
  Head.u32(static_cast<std::uint32_t>(Body.size()));
  Head.u32(crc32(Body));
  Head.u32(crc32(Head.bytes()));
  return Head.take() + std::string(Body);
}

std::optional<std::string_view> decodeFrame(std::string_view Bytes) {
  if (Bytes.size() < LogFrameHeadBytes || !Bytes.starts_with(Magic))
    return std::nullopt;
  ByteReader Head(Bytes.substr(Magic.size(), LogFrameHeadBytes - Magic.size()));
  const std::uint32_t Length = Head.u32();
  const std::uint32_t BodyCrc = Head.u32();
  const std::uint32_t HeadCrc = Head.u32();
  if (HeadCrc != crc32(Bytes.substr(0, LogFrameHeadBytes - sizeof(HeadCrc))) ||
      Bytes.size() - LogFrameHeadBytes < Length)
    return std::nullopt;
  const std::string_view Body = Bytes.substr(LogFrameHeadBytes, Length);
  if (BodyCrc != crc32(Body))
    return std::nullopt;
  return Body;
}

bool containsFrame(std::string_view Bytes) {
  for (std::size_t At = Bytes.find(Magic); At != std::string_view::npos;
       At = Bytes.find(Magic, At + 1))
    if (decodeFrame(Bytes.substr(At)))
      return true;
  return false;
}

} // namespace ragwortmux
