#include "bench/Capacity/GroupSlopes.h"

#include "bench/Capacity/GroupCoreDriver.h"
#include "bench/Capacity/SlopeTable.h"

#include <malloc.h>

#include <memory>
#include <vector>

namespace ragwortmux {

namespace {

constexpr std::uint32_t Requests = 5000;
constexpr std::uint32_t WarmUp = 200;

double memoryInUse() { return static_cast<double>(mallinfo2().uordblks); }

} // namespace

void printGroupSlopes() {
  SlopeTable Times(
      "GroupCore per request, us, by connections per server", "connections",
      {"aged read", "session read", "write", "keyed booking", "answered, %"});
  for (const std::uint32_t Connections : {4U, 8U, 16U, 32U}) {
    GroupCoreDriver Driver(Connections);
    Driver.measureMeanTime(TrafficClass::AgedRead, false, WarmUp);
    const std::uint64_t Before = Driver.answers();
    const double Aged =
        Driver.measureMeanTime(TrafficClass::AgedRead, false, Requests);
    const double Session =
        Driver.measureMeanTime(TrafficClass::SessionRead, false, Requests);
    const double Write =
        Driver.measureMeanTime(TrafficClass::Write, false, Requests);
    const double Keyed =
        Driver.measureMeanTime(TrafficClass::Booking, true, Requests);
    constexpr double Sent = 4.0 * Requests / 100;
    Times.add(Connections,
              {Aged, Session, Write, Keyed,
               static_cast<double>(Driver.answers() - Before) / Sent});
  }
  Times.print();
  SlopeTable Waiting("GroupCore by requests that wait", "requests",
                     {"memory, bytes"});
  for (const std::uint32_t Count : {100U, 200U, 400U, 800U}) {
    auto Driver = std::make_unique<GroupCoreDriver>(4);
    const double Before = memoryInUse();
    Driver->submitWaiting(Count);
    Waiting.add(Count, {memoryInUse() - Before});
  }
  Waiting.print();
  SlopeTable Idle("Idle GroupCores", "groups", {"memory, bytes"});
  for (const std::uint32_t Count : {100U, 200U, 400U, 800U}) {
    const double Before = memoryInUse();
    std::vector<std::unique_ptr<GroupCoreDriver>> Groups;
    for (std::uint32_t Group = 0; Group < Count; ++Group) {
      Groups.push_back(std::make_unique<GroupCoreDriver>(4));
    }
    Idle.add(Count, {memoryInUse() - Before});
  }
  Idle.print();
}

} // namespace ragwortmux
