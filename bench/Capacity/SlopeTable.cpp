#include "bench/Capacity/SlopeTable.h"

#include <cstdio>

namespace ragwortmux {

SlopeTable::SlopeTable(std::string Title, std::string Size,
                       std::vector<std::string> Values)
    : m_Title(std::move(Title)), m_Size(std::move(Size)),
      m_Values(std::move(Values)) {}

void SlopeTable::add(double Size, std::vector<double> Values) {
  m_Rows.push_back({Size, std::move(Values)});
}

void SlopeTable::print() const {
  std::printf("### %s\n\n| %s |", m_Title.c_str(), m_Size.c_str());
  for (const std::string &Name : m_Values) {
    std::printf(" %s |", Name.c_str());
  }
  std::printf("\n| --- |");
  for (std::size_t Value = 0; Value < m_Values.size(); ++Value) {
    std::printf(" --- |");
  }
  for (const Row &Point : m_Rows) {
    std::printf("\n| %.0f |", Point.m_Size);
    for (const double Value : Point.m_Values) {
      std::printf(" %.5g |", Value);
    }
  }
  std::printf("\n| slope |");
  for (std::size_t Value = 0; Value < m_Values.size(); ++Value) {
    std::printf(" %.4g |", slope(Value));
  }
  std::printf("\n| at 0 |");
  for (std::size_t Value = 0; Value < m_Values.size(); ++Value) {
    std::printf(" %.4g |", intercept(Value));
  }
  std::printf("\n\n");
  std::fflush(stdout);
}

double SlopeTable::slope(std::size_t Value) const {
  const auto Count = static_cast<double>(m_Rows.size());
  double SumX = 0;
  double SumY = 0;
  double SumXx = 0;
  double SumXy = 0;
  for (const Row &Point : m_Rows) {
    SumX += Point.m_Size;
    SumY += Point.m_Values[Value];
    SumXx += Point.m_Size * Point.m_Size;
    SumXy += Point.m_Size * Point.m_Values[Value];
  }
  const double Denominator = Count * SumXx - SumX * SumX;
  return Denominator == 0 ? 0 : (Count * SumXy - SumX * SumY) / Denominator;
}

double SlopeTable::intercept(std::size_t Value) const {
  double SumX = 0;
  double SumY = 0;
  for (const Row &Point : m_Rows) {
    SumX += Point.m_Size;
    SumY += Point.m_Values[Value];
  }
  return (SumY - slope(Value) * SumX) / static_cast<double>(m_Rows.size());
}

} // namespace ragwortmux
