#ifndef TESTS_STANDIN_STANDINJOURNAL_H
#define TESTS_STANDIN_STANDINJOURNAL_H

#include "tests/StandIn/StandInWire.h"

#include <fstream>

namespace ragwortmux::standin {

class StandInStore;

/// Writes every change of a store to a file, so that a server can restart with
/// its log, role and term after it was killed.
class StandInJournal final {
public:
  /// Restores \p Store from the file, which need not exist, and appends the
  /// store's later changes to it. An incomplete frame at the end, as a kill
  /// during a write leaves it, is cut off. True if a frame was restored.
  bool open(const std::string &File, StandInStore &Store);

private:
  std::ofstream m_Output; ///< Journal file, open for appending.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINJOURNAL_H
