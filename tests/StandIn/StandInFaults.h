#ifndef TESTS_STANDIN_STANDINFAULTS_H
#define TESTS_STANDIN_STANDINFAULTS_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortmux::standin {

/// The fault switches of one server: numbers by name, 0 is off. Durations are
/// in milliseconds.
class StandInFaults final {
public:
  StandInFaults();

  /// Sets a switch; false if there is none of that name or the value is not a
  /// number.
  bool set(const std::string &Name, const std::string &Value);
  /// Value of the switch \p Name, which must exist.
  std::uint64_t value(const std::string &Name) const;
  /// Value of a switch that holds milliseconds.
  Duration duration(const std::string &Name) const;
  /// Counts the switch down if it is not 0; true if it was not.
  bool take(const std::string &Name);
  /// All names.
  std::vector<std::string> names() const;

private:
  std::map<std::string, std::uint64_t> m_Values; ///< Values by name.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINFAULTS_H
