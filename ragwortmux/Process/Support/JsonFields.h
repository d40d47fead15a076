#ifndef RAGWORTMUX_PROCESS_SUPPORT_JSONFIELDS_H
#define RAGWORTMUX_PROCESS_SUPPORT_JSONFIELDS_H

#include "ragwortmux/Process/Support/SettingFault.h"

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// Parses \p Text as one JSON object of at most \p MaxBytes; none, with a fault
/// of \p Code added, for anything else.
std::optional<boost::json::object>
parseJsonObject(std::string_view Text, std::size_t MaxBytes, ResultCode Code,
                std::vector<SettingFault> &Faults);

/// Makes \p Text valid in JSON: unchanged if it is UTF-8, otherwise with every
/// byte that is not ASCII replaced by `?`.
std::string toJsonText(std::string_view Text);

/// Reads typed fields of a JSON object. Every field that is missing, of another
/// type or out of bounds adds a fault with its name and yields a fallback
/// value.
class JsonFields final {
public:
  /// Returns true if the text is allowed.
  using TextCheck = std::function<bool(std::string_view)>;

  JsonFields(const boost::json::object &Object, ResultCode Code,
             std::vector<SettingFault> &Faults);

  /// A text that \p Check accepts; \p Allowed describes such texts.
  std::string text(std::string_view Name, const TextCheck &Check,
                   std::string Allowed);
  /// A text that isName accepts.
  std::string name(std::string_view Name);
  /// A whole number; \p Fallback, if given, replaces a missing field.
  std::uint64_t number(std::string_view Name, std::uint64_t Min,
                       std::uint64_t Max,
                       std::optional<std::uint64_t> Fallback = std::nullopt);
  /// True or false; \p Fallback replaces a missing field.
  bool boolean(std::string_view Name, bool Fallback);

  /// Adds a fault for each field that has not been read.
  void rejectUnknownFields();

private:
  /// Returns the value of \p Name, null if there is none, and records that the
  /// field has been read.
  const boost::json::value *find(std::string_view Name);
  void addFault(std::string_view Name, const boost::json::value *Value,
                std::string Allowed);

  const boost::json::object &m_Object;             ///< The object that is read.
  ResultCode m_Code;                               ///< The code of every fault.
  std::vector<SettingFault> &m_Faults;             ///< Where faults are added.
  std::set<std::string, std::less<>> m_ReadFields; ///< Fields read so far.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_JSONFIELDS_H
