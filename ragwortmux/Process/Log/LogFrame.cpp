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
  ByteWriter Header;
  Header.raw(Magic);
  Header.u32(static_cast<std::uint32_t>(Body.size()));
  Header.u32(crc32(Body));
  Header.u32(crc32(Header.bytes()));
  return Header.take() + std::string(Body);
}

std::optional<std::string_view> decodeFrame(std::string_view Bytes) {
  if (Bytes.size() < LogFrameHeaderBytes || !Bytes.starts_with(Magic))
    return std::nullopt;
  ByteReader Header(
      Bytes.substr(Magic.size(), LogFrameHeaderBytes - Magic.size()));
  const std::uint32_t Length = Header.u32();
  const std::uint32_t BodyCrc = Header.u32();
  const std::uint32_t HeaderCrc = Header.u32();
  if (HeaderCrc !=
          crc32(Bytes.substr(0, LogFrameHeaderBytes - sizeof(HeaderCrc))) ||
      Bytes.size() - LogFrameHeaderBytes < Length)
    return std::nullopt;
  const std::string_view Body = Bytes.substr(LogFrameHeaderBytes, Length);
  if (BodyCrc != crc32(Body))
    return std::nullopt;
  return Body;
}

bool containsFrame(std::string_view Bytes) {
  for (std::size_t Offset = Bytes.find(Magic); Offset != std::string_view::npos;
       Offset = Bytes.find(Magic, Offset + 1))
    if (decodeFrame(Bytes.substr(Offset)))
      return true;
  return false;
}

} // namespace ragwortmux
