#ifndef TESTS_STANDIN_STANDINJOURNAL_H
#define TESTS_STANDIN_STANDINJOURNAL_H

#include "tests/StandIn/StandInWire.h"

#include <fstream>

namespace ragwortmux::standin {

class StandInStore;

/// A file with every change of a store, so that a server that was killed can
/// come back with its log, role and term.
class StandInJournal final {
public:
  /// Brings \p Store to the state in the file, which need not exist, and writes
  /// its changes there from then on. A frame cut off at the end is dropped.
  /// True if the file had anything in it.
  bool open(const std::string &File, StandInStore &Store);

private:
  std::ofstream m_Output; ///< Receives frames.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINJOURNAL_H
