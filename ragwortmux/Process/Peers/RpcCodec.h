#ifndef RAGWORTMUX_PROCESS_PEERS_RPCCODEC_H
#define RAGWORTMUX_PROCESS_PEERS_RPCCODEC_H

#include "ragwortmux/Process/Generated/Cluster.capnp.h"
#include "ragwortmux/Process/Peers/ControlMessages.h"

#include <set>

/// \file
/// Conversions between the messages of ControlMessages.h and their Cap'n Proto
/// form.

namespace ragwortmux {

void writeRpc(rpc::Update::Builder Out, const ControlUpdate &Update);
ControlUpdate readRpc(rpc::Update::Reader In);

void writeRpc(rpc::Confirmation::Builder Out, const Confirmation &Confirmed);
Confirmation readRpc(rpc::Confirmation::Reader In);

void writeRpc(rpc::Status::Builder Out, const ControlStatus &Status);
ControlStatus readRpc(rpc::Status::Reader In);

void writeRpc(rpc::CommandResult::Builder Out, const CommandReply &Reply);
CommandReply readRpc(rpc::CommandResult::Reader In);

void writeRpc(rpc::EntryHost::Builder Out, const EntryAddress &Host);
EntryAddress readRpc(rpc::EntryHost::Reader In);

void writeRpc(rpc::Announcement::Builder Out,
              const ServerAnnouncement &Announcement);
ServerAnnouncement readRpc(rpc::Announcement::Reader In);

void writeRpc(rpc::Suspicion::Builder Out, const ServerSuspicion &Suspicion);
/// Does not set the session; it is a parameter of the report call.
ServerSuspicion readRpc(rpc::Suspicion::Reader In);

void writeRpc(rpc::Demand::Builder Out, const ShareDemand &Demand);
ShareDemand readRpc(rpc::Demand::Reader In);

void writeRpc(rpc::CatalogueEntry::Builder Out, const CatalogueEntry &Entry);
CatalogueEntry readRpc(rpc::CatalogueEntry::Reader In);

void writeRpc(capnp::List<capnp::Text>::Builder Out,
              const std::set<GroupId> &Groups);
std::set<GroupId> readRpc(capnp::List<capnp::Text>::Reader In);

void writeRpc(rpc::Point::Builder Out, const std::optional<LogPoint> &Point);
std::optional<LogPoint> readRpc(rpc::Point::Reader In);

void writeRpc(rpc::SessionTicket::Builder Out,
              const std::optional<SessionTicket> &Ticket);
std::optional<SessionTicket> readRpc(rpc::SessionTicket::Reader In);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_PEERS_RPCCODEC_H
