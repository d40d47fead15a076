#include "bench/Capacity/LeaderSlopes.h"

#include "bench/Capacity/LeaderDriver.h"
#include "bench/Capacity/SlopeTable.h"

namespace ragwortmux {

namespace {

constexpr Duration SettleTime = std::chrono::seconds(4);
constexpr Duration MeasuredTime = std::chrono::seconds(1);

void addPoint(SlopeTable &Table, double Size, const StateSizes &Sizes) {
  LeaderDriver Driver(Sizes);
  Driver.run(SettleTime);
  const std::uint64_t Before = Driver.proposals();
  const LeaderTimes Times = Driver.run(MeasuredTime);
  Table.add(Size, {Times.m_Tick, Times.m_Announcement, Times.m_Renewal,
                   Times.m_PerSecond / 1000,
                   static_cast<double>(Driver.proposals() - Before)});
}

} // namespace

void printLeaderSlopes() {
  const std::vector<std::string> Values = {
      "tick, us", "announcement, us", "renewal, us",
      "leader's time per second, ms", "proposals per second"};
  SlopeTable Groups("Control leader by groups, 16 sessions", "groups", Values);
  for (const std::uint32_t Size : {2U, 4U, 8U, 16U}) {
    addPoint(Groups, Size, {Size, 16, 0, 0});
  }
  Groups.print();
  SlopeTable Sessions("Control leader by sessions, 3 groups", "sessions",
                      Values);
  for (const std::uint32_t Size : {4U, 8U, 16U, 32U}) {
    addPoint(Sessions, Size, {3, Size, 0, 0});
  }
  Sessions.print();
  SlopeTable Fleet("Control leader by sessions, 8 groups", "sessions", Values);
  for (const std::uint32_t Size : {16U, 32U, 67U}) {
    addPoint(Fleet, Size, {8, Size, 0, 0});
  }
  Fleet.print();
}

} // namespace ragwortmux
