#ifndef RAGWORTMUX_PROCESS_PEERS_COMMANDCODECRECORDS_H
#define RAGWORTMUX_PROCESS_PEERS_COMMANDCODECRECORDS_H

#include "ragwortmux/Process/Generated/Commands.capnp.h"
#include "ragwortmux/Process/Peers/CapnpBytes.h"
#include "ragwortmux/Version/ControlCommand.h"

#include <kj/exception.h>

#include <string>
#include <vector>

/// \file
/// Conversions for records that both commands and snapshots contain. Readers
/// throw a KJ exception on an unknown enumeration value or result code.

namespace ragwortmux {

/// Converts a Text to an id.
template <typename Id> Id readId(capnp::Text::Reader Text) {
  return Id(toString(Text));
}

/// Converts a number to an enumeration constant; \p Last is the highest one.
template <typename Enumeration>
Enumeration readEnumeration(std::uint8_t Number, Enumeration Last) {
  KJ_REQUIRE(Number <= static_cast<std::uint8_t>(Last), "unknown constant");
  return static_cast<Enumeration>(Number);
}

/// Converts a number to a result code of the table.
ResultCode readCode(std::uint16_t Number);

/// Conversions between points in time and milliseconds of Unix time.
inline std::int64_t toMilliseconds(WallTime Time) {
  return Time.time_since_epoch().count();
}
inline WallTime fromMilliseconds(std::int64_t Milliseconds) {
  return WallTime(std::chrono::milliseconds(Milliseconds));
}

/// Writes \p Records into \p Out, which must have the same length.
template <typename List, typename Record, typename Writer>
void writeList(List Out, const std::vector<Record> &Records,
               const Writer &Write) {
  unsigned Position = 0;
  for (const Record &Element : Records)
    Write(Out[Position++], Element);
}

/// Reads each element of \p In.
template <typename List, typename Reader>
auto readList(List In, const Reader &Read) {
  std::vector<decltype(Read(In[0]))> Records;
  Records.reserve(In.size());
  for (const auto Element : In)
    Records.push_back(Read(Element));
  return Records;
}

/// Conversions between vectors or sets of ids and lists of Text.
template <typename Ids>
void writeIds(capnp::List<capnp::Text>::Builder Out, const Ids &Written) {
  unsigned Position = 0;
  for (const auto &Element : Written)
    Out.set(Position++, toText(Element.value()));
}
template <typename Id>
std::vector<Id> readIds(capnp::List<capnp::Text>::Reader In) {
  std::vector<Id> Ids;
  for (const auto Element : In)
    Ids.push_back(readId<Id>(Element));
  return Ids;
}

/// The length of a list.
template <typename List> unsigned sizeOf(const List &Records) {
  return static_cast<unsigned>(Records.size());
}

void writeEntry(stored::Entry::Builder Out, const CatalogueEntry &Entry);
CatalogueEntry readEntry(stored::Entry::Reader In);
void writeWorkspace(stored::Workspace::Builder Out, const Workspace &Source);
Workspace readWorkspace(stored::Workspace::Reader In);

void writeOpenSession(stored::OpenSession::Builder Out,
                      const OpenSession &Command);
OpenSession readOpenSession(stored::OpenSession::Reader In);

void writeRegisterServer(stored::RegisterServer::Builder Out,
                         const RegisterServer &Command);
RegisterServer readRegisterServer(stored::RegisterServer::Reader In);

void writeReserveKey(stored::ReserveKey::Builder Out,
                     const ReserveKey &Command);
ReserveKey readReserveKey(stored::ReserveKey::Reader In);

void writePolicy(stored::GroupPolicy::Builder Out, const GroupPolicy &Policy);
GroupPolicy readPolicy(stored::GroupPolicy::Reader In);

void writeVoter(stored::Voter::Builder Out, const VoterRecord &Voter);
VoterRecord readVoter(stored::Voter::Reader In);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_COMMANDCODECRECORDS_H
