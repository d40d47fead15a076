#ifndef RAGWORTMUX_CORE_STRONGID_H
#define RAGWORTMUX_CORE_STRONGID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace ragwortmux {

/// A value of type \p Value that does not convert to values with another \p
/// Tag.
///
/// Used for ids and for counters such as terms and log positions. The wrapped
/// value is read with value().
template <typename Tag, typename Value> class StrongId final {
public:
  using ValueType = Value;

  constexpr StrongId() = default;
  explicit constexpr StrongId(Value Initial) : m_Value(std::move(Initial)) {}

  /// The wrapped value.
  constexpr const Value &value() const { return m_Value; }

  friend constexpr bool operator==(const StrongId &,
                                   const StrongId &) = default;
  friend constexpr auto operator<=>(const StrongId &,
                                    const StrongId &) = default;

private:
  Value m_Value{}; ///< The wrapped value; zero or empty by default.
};

} // namespace ragwortmux

template <typename Tag, typename Value>
struct std::hash<ragwortmux::StrongId<Tag, Value>> {
  std::size_t
  operator()(const ragwortmux::StrongId<Tag, Value> &Id) const noexcept {
    return std::hash<Value>()(Id.value());
  }
};

#endif // RAGWORTMUX_CORE_STRONGID_H
