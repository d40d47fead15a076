#include "tests/StandIn/StandInJournal.h"

#include "tests/StandIn/StandInStore.h"

#include <filesystem>
#include <iterator>

namespace ragwortmux::standin {

namespace {

/// Applies all complete frames of \p Bytes and returns their total size.
std::size_t restore(std::string_view Bytes, StandInStore &Store) {
  std::size_t Used = 0;
  while (Bytes.size() - Used >= StandInFrameHeaderBytes) {
    const std::string_view Remaining = Bytes.substr(Used);
    const std::size_t Length =
        frameLength(Remaining.substr(0, StandInFrameHeaderBytes));
    const auto Frame =
        decodeFrame(Remaining.substr(StandInFrameHeaderBytes, Length));
    if (Length > Remaining.size() - StandInFrameHeaderBytes || !Frame) {
      break;
    }
    Store.restore(*Frame);
    Used += StandInFrameHeaderBytes + Length;
  }
  return Used;
}

} // namespace

bool StandInJournal::open(const std::string &File, StandInStore &Store) {
  std::size_t Used = 0;
  {
    std::ifstream Input(File, std::ios::binary);
    const std::string Bytes((std::istreambuf_iterator<char>(Input)), {});
    Used = restore(Bytes, Store);
    if (Used < Bytes.size()) {
      std::filesystem::resize_file(File, Used);
    }
  }
  m_Output.open(File, std::ios::binary | std::ios::app);
  Store.m_OnJournal = [this](const StandInFrame &Frame) {
    m_Output << encodeFrame(Frame) << std::flush;
  };
  return Used > 0;
}

} // namespace ragwortmux::standin
