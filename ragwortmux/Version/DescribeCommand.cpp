#include "ragwortmux/Version/DescribeCommand.h"

namespace ragwortmux {

namespace {

std::string number(std::uint64_t Value) { return std::to_string(Value); }

std::string place(const GroupId &Group, const ServerId &Server) {
  return "group " + Group.value() + ": server " + Server.value();
}

const char *nameOf(SyncState Sync) {
  switch (Sync) {
  case SyncState::Behind:
    return "behind";
  case SyncState::Joining:
    return "joining";
  case SyncState::InSync:
    return "in sync";
  }
  return "unknown";
}

/// Commands without an overload do not appear in the time line.
template <typename Command> std::string describe(const Command &) { return {}; }

std::string describe(const PutEntry &Command) {
  return "catalogue: " + Command.m_Operator + " put " +
         Command.m_Entry.m_Name.value();
}

std::string describe(const DeleteEntry &Command) {
  return "catalogue: " + Command.m_Operator + " deleted " +
         Command.m_Name.value();
}

std::string describe(const ReplaceCatalogue &Command) {
  return "catalogue: replaced by version " + number(Command.m_Version.value());
}

std::string describe(const PutWorkspace &Command) {
  return "catalogue: " + Command.m_Operator + " put workspace " +
         Command.m_Workspace.m_Name.value();
}

std::string describe(const DeleteWorkspace &Command) {
  return "catalogue: " + Command.m_Operator + " deleted workspace " +
         Command.m_Name.value();
}

std::string describe(const OpenSession &Command) {
  return "host " + Command.m_Host.value() + " opened a control session";
}

std::string describe(const EndSession &Command) {
  return "control session " + number(Command.m_Session.value()) + " ended";
}

std::string describe(const RegisterServer &Command) {
  return place(Command.m_Group, Command.m_Server) + " is registered";
}

std::string describe(const SetServerState &Command) {
  const char *State = Command.m_HasEnded    ? " has ended"
                      : Command.m_Leaving   ? " leaves"
                      : Command.m_Announced ? " takes requests"
                                            : " does not announce itself";
  return place(Command.m_Group, Command.m_Server) + State;
}

std::string describe(const EndTerm &Command) {
  return "group " + Command.m_Group.value() + ": term " +
         number(Command.m_NewTerm.value()) + " begins without a primary";
}

std::string describe(const OrderPromotion &Command) {
  return place(Command.m_Group, Command.m_Server) +
         " is to be promoted in term " + number(Command.m_Term.value());
}

std::string describe(const AppointPrimary &Command) {
  return place(Command.m_Group, Command.m_Server) + " is primary of term " +
         number(Command.m_Term.value()) +
         (Command.m_ServerTerm == Term()
              ? ""
              : ", its own term " + number(Command.m_ServerTerm.value()));
}

std::string describe(const SetInSync &Command) {
  return place(Command.m_Group, Command.m_Server) + " is " +
         nameOf(Command.m_Sync);
}

} // namespace

std::string describeCommand(const ControlCommand &Command) {
  return std::visit([](const auto &Typed) { return describe(Typed); }, Command);
}

} // namespace ragwortmux
