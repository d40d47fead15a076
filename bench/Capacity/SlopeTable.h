#ifndef BENCH_CAPACITY_SLOPETABLE_H
#define BENCH_CAPACITY_SLOPETABLE_H

#include <string>
#include <vector>

namespace ragwortmux {

/// Table of values measured at several sizes; prints them with the slope of
/// each value, the increase per unit of size fitted by least squares.
class SlopeTable final {
public:
  /// \p Size is the name of the varied quantity, \p Values are the names of the
  /// measured values with their units.
  SlopeTable(std::string Title, std::string Size,
             std::vector<std::string> Values);

  /// Adds a row with the values at one size.
  void add(double Size, std::vector<double> Values);
  /// Prints the table as Markdown to standard output.
  void print() const;

private:
  struct Row final {
    double m_Size = 0;            ///< Size.
    std::vector<double> m_Values; ///< Values at this size.
  };

  double slope(std::size_t Value) const;
  double intercept(std::size_t Value) const;

  const std::string m_Title;               ///< Heading.
  const std::string m_Size;                ///< Name of the size.
  const std::vector<std::string> m_Values; ///< Names of the values.
  std::vector<Row> m_Rows;                 ///< In order of addition.
};

} // namespace ragwortmux

#endif // BENCH_CAPACITY_SLOPETABLE_H
