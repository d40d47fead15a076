#ifndef TESTS_STANDIN_STANDINFAULTS_H
#define TESTS_STANDIN_STANDINFAULTS_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortmux::standin {

/// Injects faults into one server. Each fault is a number under a name: a flag,
/// a count or milliseconds; 0 disables the fault.
class StandInFaults final {
public:
  StandInFaults();

  /// Sets a fault; false if the name is unknown or the value not a number.
  bool set(const std::string &Name, const std::string &Value);
  /// Value of the fault \p Name, which must exist.
  std::uint64_t value(const std::string &Name) const;
  /// Value of a fault that is in milliseconds.
  Duration duration(const std::string &Name) const;
  /// Decrements a fault that is a count; false if it is 0 already.
  bool consume(const std::string &Name);
  /// The names of all faults.
  std::vector<std::string> names() const;

private:
  std::map<std::string, std::uint64_t> m_Values; ///< Value of each fault.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINFAULTS_H
