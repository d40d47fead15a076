#include "bench/Capacity/GroupSlopes.h"

#include "bench/Capacity/InstantBackend.h"
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
    InstantBackend Backend(Connections);
    Backend.meanTime(TrafficClass::AgedRead, false, WarmUp);
    const std::uint64_t Before = Backend.answers();
    const double Aged =
        Backend.meanTime(TrafficClass::AgedRead, false, Requests);
    const double Session =
        Backend.meanTime(TrafficClass::SessionRead, false, Requests);
    const double Write = Backend.meanTime(TrafficClass::Write, false, Requests);
    const double Keyed =
        Backend.meanTime(TrafficClass::Booking, true, Requests);
    constexpr double Sent = 4.0 * Requests / 100;
    Times.add(Connections,
              {Aged, Session, Write, Keyed,
               static_cast<double>(Backend.answers() - Before) / Sent});
  }
  Times.print();
  SlopeTable Waiting("GroupCore by requests that wait", "requests",
                     {"memory, bytes"});
  for (const std::uint32_t Count : {100U, 200U, 400U, 800U}) {
    auto Backend = std::make_unique<InstantBackend>(4);
    const double Before = memoryInUse();
    Backend->submitWaiting(Count);
    Waiting.add(Count, {memoryInUse() - Before});
  }
  Waiting.print();
  SlopeTable Idle("Idle GroupCores", "groups", {"memory, bytes"});
  for (const std::uint32_t Count : {100U, 200U, 400U, 800U}) {
    const double Before = memoryInUse();
    std::vector<std::unique_ptr<InstantBackend>> Groups;
    for (std::uint32_t Group = 0; Group < Count; ++Group) {
      Groups.push_back(std::make_unique<InstantBackend>(4));
    }
    Idle.add(Count, {memoryInUse() - Before});
  }
  Idle.print();
}

} // namespace ragwortmux
