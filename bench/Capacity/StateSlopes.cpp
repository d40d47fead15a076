#include "bench/Capacity/StateSlopes.h"

#include "bench/Capacity/SlopeTable.h"
#include "bench/Capacity/StateFactory.h"
#include "bench/Capacity/TimedCall.h"
#include "ragwortmux/Process/Peers/CommandCodec.h"
#include "ragwortmux/Process/Peers/RpcCodec.h"
#include "ragwortmux/Version/ControlStateData.h"
#include "ragwortmux/Version/MakeGroupView.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include <functional>

namespace ragwortmux {

namespace {

using MakeSizes = std::function<StateSizes(std::uint32_t Size)>;

std::vector<double> measureState(const StateSizes &Sizes) {
  const std::size_t Before = mallinfo2().uordblks;
  ControlState State;
  fillState(State, Sizes);
  const std::size_t After = mallinfo2().uordblks;
  std::string Bytes;
  const double Micros =
      measureMicroseconds([&] { Bytes = encodeState(State.exportData()); });
  return {static_cast<double>(After - Before),
          static_cast<double>(Bytes.size()), Micros / 1000};
}

void printStateTable(const char *Name, const MakeSizes &SizesOf,
                     std::initializer_list<std::uint32_t> Points) {
  SlopeTable Table("Control state by " + std::string(Name), Name,
                   {"memory, bytes", "snapshot, bytes", "snapshot, ms"});
  for (const std::uint32_t Point : Points) {
    Table.add(Point, measureState(SizesOf(Point)));
  }
  Table.print();
}

/// Applies the commands and returns the mean time per command in microseconds.
double measureMeanTime(ControlState &State,
                       const std::vector<ControlCommand> &List) {
  return measureMicroseconds([&] {
           for (const ControlCommand &Command : List) {
             State.apply(Command);
           }
         }) /
         static_cast<double>(List.size());
}

/// Commands by kind; each kind is valid on a filled state after the kinds that
/// stand before it.
struct CommandKinds final {
  std::vector<ControlCommand> m_Put;     ///< Catalogue changes.
  std::vector<ControlCommand> m_Open;    ///< New incarnations of open sessions.
  std::vector<ControlCommand> m_EndTerm; ///< Terms ended.
  std::vector<ControlCommand> m_Appoint; ///< Primaries appointed.
  std::vector<ControlCommand> m_SetShares;  ///< Shares set.
  std::vector<ControlCommand> m_Reserve;    ///< Keys reserved.
  std::vector<ControlCommand> m_Record;     ///< Outcomes recorded.
  std::vector<ControlCommand> m_EndSession; ///< Sessions ended.
};

CommandKinds makeCommands(std::uint32_t Count) {
  constexpr std::uint32_t NewKeys = 10'000'000;
  CommandKinds Kinds;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    const GroupId Group = makeGroupId(Index);
    Kinds.m_Put.push_back(PutEntry{Revision(Index + 1),
                                   ChangeId("again-" + std::to_string(Index)),
                                   "kim", makeEntry(Index, Index)});
    OpenSession Opening = makeOpenSession(Index);
    Opening.m_Incarnation = Incarnation(NewKeys + Index);
    Kinds.m_Open.push_back(Opening);
    Kinds.m_EndTerm.push_back(EndTerm{Group, Term(2)});
    Kinds.m_Appoint.push_back(
        AppointPrimary{Group, Term(2), makeServerId(1), {makeServerId(2)}});
    Kinds.m_SetShares.push_back(
        SetShares{Group, makeServerId(2), {{ControlSessionId(Index + 1), 1}}});
    const AttemptId Attempt("host-1-1-" + std::to_string(Index));
    Kinds.m_Reserve.push_back(
        ReserveKey{OwnerId("new"), makeKey(NewKeys + Index), Attempt,
                   ControlSessionId(1), makeGroupId(Count), Term(1)});
    Kinds.m_Record.push_back(RecordOutcome{OwnerId("new"),
                                           makeKey(NewKeys + Index), Attempt,
                                           ResultCode::Ok, "ok"});
    Kinds.m_EndSession.push_back(EndSession{ControlSessionId(Index + 1)});
  }
  return Kinds;
}

double encodedBytes(const ControlUpdate &Update) {
  capnp::MallocMessageBuilder Message;
  writeRpc(Message.initRoot<rpc::Update>(), Update);
  return static_cast<double>(
      capnp::messageToFlatArray(Message).asBytes().size());
}

} // namespace

void printStateSlopes() {
  printStateTable("groups",
                  [](std::uint32_t Size) {
                    return StateSizes{Size, 16, 0, 0};
                  },
                  {125, 250, 500, 1000});
  printStateTable("sessions",
                  [](std::uint32_t Size) {
                    return StateSizes{0, Size, 0, 0};
                  },
                  {250, 500, 1000, 2000});
  printStateTable("catalogue entries",
                  [](std::uint32_t Size) {
                    return StateSizes{0, 0, Size, 0};
                  },
                  {1000, 2000, 4000, 8000});
  printStateTable("keyed requests kept",
                  [](std::uint32_t Size) {
                    return StateSizes{1, 1, 0, Size};
                  },
                  {20000, 40000, 80000, 160000});
}

void printCommandSlopes() {
  SlopeTable Times("Time to apply one command, us, by groups = sessions = "
                   "entries",
                   "size",
                   {"PutEntry", "OpenSession", "EndTerm", "AppointPrimary",
                    "SetShares", "ReserveKey", "RecordOutcome", "EndSession"});
  constexpr std::uint32_t Commands = 200;
  const CommandKinds Kinds = makeCommands(Commands);
  const std::vector<const std::vector<ControlCommand> *> Lists = {
      &Kinds.m_Put,     &Kinds.m_Open,      &Kinds.m_EndTerm,
      &Kinds.m_Appoint, &Kinds.m_SetShares, &Kinds.m_Reserve,
      &Kinds.m_Record,  &Kinds.m_EndSession};
  for (const std::uint32_t Size : {250U, 500U, 750U, 1000U}) {
    ControlState State;
    fillState(State, {Size, Size, Size, 0});
    std::vector<double> Values;
    Values.reserve(Lists.size());
    for (const auto *List : Lists) {
      Values.push_back(measureMeanTime(State, *List));
    }
    Times.add(Size, std::move(Values));
  }
  Times.print();
  std::vector<double> Bytes;
  Bytes.reserve(Lists.size());
  for (const auto *List : Lists) {
    Bytes.push_back(static_cast<double>(encodeCommand(List->front()).size()));
  }
  SlopeTable Sizes("Bytes of one command in the log", "commands",
                   {"PutEntry", "OpenSession", "EndTerm", "AppointPrimary",
                    "SetShares", "ReserveKey", "RecordOutcome", "EndSession"});
  Sizes.add(1, std::move(Bytes));
  Sizes.print();
}

void printMessageSlopes() {
  ControlState State;
  fillState(State, {64, 16, 1000, 0});
  SlopeTable Views("Update with group records, bytes", "records",
                   {"bytes", "encode, us"});
  for (const std::uint32_t Count : {1U, 4U, 16U, 64U}) {
    ControlUpdate Update;
    for (std::uint32_t Group = 0; Group < Count; ++Group) {
      Update.m_Views.push_back(
          *makeGroupView(State, makeGroupId(Group), ControlSessionId(1)));
    }
    double Bytes = 0;
    const double Micros =
        measureMicroseconds([&] { Bytes = encodedBytes(Update); });
    Views.add(Count, {Bytes, Micros});
  }
  Views.print();
  SlopeTable Deltas("Update with catalogue changes, bytes", "changes",
                    {"bytes", "deltaSince, us", "encode, us"});
  const std::uint64_t Last = State.catalogue().revision().value();
  for (const std::uint32_t Count : {1U, 10U, 100U, 1000U}) {
    ControlUpdate Update;
    const double DeltaMicros = measureMicroseconds([&] {
      Update.m_Catalogue = State.catalogue().deltaSince(Revision(Last - Count));
    });
    double Bytes = 0;
    const double Micros =
        measureMicroseconds([&] { Bytes = encodedBytes(Update); });
    Deltas.add(Count, {Bytes, DeltaMicros, Micros});
  }
  Deltas.print();
}

} // namespace ragwortmux
