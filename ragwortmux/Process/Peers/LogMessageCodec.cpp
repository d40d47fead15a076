#include "ragwortmux/Process/Peers/LogMessageCodec.h"

#include "ragwortmux/Process/Generated/Log.capnp.h"
#include "ragwortmux/Process/Peers/CapnpBytes.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace ragwortmux {

namespace {

/// Limit of the words that a reader unpacks and visits (128 MiB); snapshots and
/// batches stay far below it.
constexpr std::uint64_t TraversalLimitWords = std::uint64_t{1} << 24U;

void write(rpc::LogEntryId::Builder Out, const EntryId &Id) {
  Out.setIndex(Id.m_Index.value());
  Out.setTerm(Id.m_Term.value());
}

EntryId read(rpc::LogEntryId::Reader In) {
  return {LogIndex(In.getIndex()), LogTerm(In.getTerm())};
}

void write(capnp::List<rpc::LogMember>::Builder Out,
           const LogMembership &Members) {
  unsigned Position = 0;
  for (const LogMember &Member : Members.m_Members) {
    auto Row = Out[Position++];
    Row.setId(toText(Member.m_Id.value()));
    Row.setAddress(toText(Member.m_Address));
    Row.setVotes(Member.m_IsVoter);
  }
}

LogMembership read(capnp::List<rpc::LogMember>::Reader In) {
  LogMembership Members;
  for (const auto Row : In) {
    Members.m_Members.push_back({VoterId(toString(Row.getId())),
                                 toString(Row.getAddress()), Row.getVotes()});
  }
  return Members;
}

void write(rpc::LogEntry::Builder Out, const LogEntry &Entry) {
  write(Out.initId(), Entry.m_Id);
  Out.setKind(static_cast<std::uint8_t>(Entry.m_Kind));
  Out.setPayload(toData(Entry.m_Payload));
  const auto Count = static_cast<unsigned>(Entry.m_Membership.m_Members.size());
  write(Out.initMembers(Count), Entry.m_Membership);
}

LogEntry read(rpc::LogEntry::Reader In) {
  LogEntry Entry;
  Entry.m_Id = read(In.getId());
  Entry.m_Kind = static_cast<LogEntryKind>(In.getKind());
  Entry.m_Payload = toString(In.getPayload());
  Entry.m_Membership = read(In.getMembers());
  return Entry;
}

/// Writes one kind of message into an envelope.
struct MessageWriter final {
  rpc::LogEnvelope::Builder m_Out; ///< The envelope.

  void operator()(const VoteRequest &Message) {
    auto Out = m_Out.initVoteRequest();
    Out.setPreVote(Message.m_IsPreVote);
    Out.setTransfer(Message.m_IsTransfer);
    write(Out.initLast(), Message.m_Last);
  }
  void operator()(const VoteReply &Message) {
    auto Out = m_Out.initVoteReply();
    Out.setPreVote(Message.m_IsPreVote);
    Out.setGranted(Message.m_Granted);
  }
  void operator()(const AppendRequest &Message) {
    auto Out = m_Out.initAppendRequest();
    write(Out.initPrevious(), Message.m_Previous);
    auto Entries =
        Out.initEntries(static_cast<unsigned>(Message.m_Entries.size()));
    unsigned Position = 0;
    for (const LogEntry &Entry : Message.m_Entries) {
      write(Entries[Position++], Entry);
    }
    Out.setCommit(Message.m_CommitIndex.value());
    Out.setRound(Message.m_Round);
  }
  void operator()(const SnapshotRequest &Message) {
    auto Out = m_Out.initSnapshotRequest();
    auto Snapshot = Out.initSnapshot();
    const LogMembership &Members = Message.m_Snapshot.m_Membership;
    write(Snapshot.initLast(), Message.m_Snapshot.m_Last);
    write(Snapshot.initMembers(static_cast<unsigned>(Members.m_Members.size())),
          Members);
    Snapshot.setState(toData(Message.m_Snapshot.m_State));
    Out.setRound(Message.m_Round);
  }
  void operator()(const AppendReply &Message) {
    auto Out = m_Out.initAppendReply();
    Out.setAccepted(Message.m_Accepted);
    Out.setMatch(Message.m_MatchIndex.value());
    Out.setRejected(Message.m_RejectedIndex.value());
    Out.setHint(Message.m_HintIndex.value());
    Out.setRound(Message.m_Round);
  }
  void operator()(const TimeoutNowRequest &) { m_Out.setTimeoutNow(); }
};

VoteRequest read(rpc::LogEnvelope::VoteRequest::Reader In, LogTerm Term) {
  return {Term, In.getPreVote(), In.getTransfer(), read(In.getLast())};
}

VoteReply read(rpc::LogEnvelope::VoteReply::Reader In, LogTerm Term) {
  return {Term, In.getPreVote(), In.getGranted()};
}

AppendRequest read(rpc::LogEnvelope::AppendRequest::Reader In, LogTerm Term) {
  AppendRequest Message;
  Message.m_Term = Term;
  Message.m_Previous = read(In.getPrevious());
  for (const auto Entry : In.getEntries()) {
    Message.m_Entries.push_back(read(Entry));
  }
  Message.m_CommitIndex = LogIndex(In.getCommit());
  Message.m_Round = In.getRound();
  return Message;
}

SnapshotRequest read(rpc::LogEnvelope::SnapshotRequest::Reader In,
                     LogTerm Term) {
  const auto Snapshot = In.getSnapshot();
  SnapshotRequest Message;
  Message.m_Term = Term;
  Message.m_Snapshot.m_Last = read(Snapshot.getLast());
  Message.m_Snapshot.m_Membership = read(Snapshot.getMembers());
  Message.m_Snapshot.m_State = toString(Snapshot.getState());
  Message.m_Round = In.getRound();
  return Message;
}

AppendReply read(rpc::LogEnvelope::AppendReply::Reader In, LogTerm Term) {
  return {Term,
          In.getAccepted(),
          LogIndex(In.getMatch()),
          LogIndex(In.getRejected()),
          LogIndex(In.getHint()),
          In.getRound()};
}

std::optional<LogMessage> readMessage(rpc::LogEnvelope::Reader In) {
  const LogTerm Term(In.getTerm());
  switch (In.which()) {
  case rpc::LogEnvelope::VOTE_REQUEST:
    return read(In.getVoteRequest(), Term);
  case rpc::LogEnvelope::VOTE_REPLY:
    return read(In.getVoteReply(), Term);
  case rpc::LogEnvelope::APPEND_REQUEST:
    return read(In.getAppendRequest(), Term);
  case rpc::LogEnvelope::SNAPSHOT_REQUEST:
    return read(In.getSnapshotRequest(), Term);
  case rpc::LogEnvelope::APPEND_REPLY:
    return read(In.getAppendReply(), Term);
  case rpc::LogEnvelope::TIMEOUT_NOW:
    return TimeoutNowRequest{Term};
  }
  return std::nullopt;
}

std::optional<LogEnvelope> readEnvelope(std::string_view Bytes) {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = TraversalLimitWords;
  kj::ArrayInputStream Packed(
      kj::arrayPtr(Bytes.data(), Bytes.size()).asBytes());
  capnp::PackedMessageReader Reader(Packed, Options);
  const auto In = Reader.getRoot<rpc::LogEnvelope>();
  std::optional<LogMessage> Message = readMessage(In);
  if (!Message) {
    return std::nullopt;
  }
  return LogEnvelope{VoterId(toString(In.getFrom())),
                     VoterId(toString(In.getTo())), std::move(*Message)};
}

} // namespace

std::string encodeLogEnvelope(const LogEnvelope &Envelope) {
  capnp::MallocMessageBuilder Builder;
  auto Out = Builder.initRoot<rpc::LogEnvelope>();
  Out.setFrom(toText(Envelope.m_From.value()));
  Out.setTo(toText(Envelope.m_To.value()));
  Out.setTerm(
      std::visit([](const auto &Message) { return Message.m_Term.value(); },
                 Envelope.m_Message));
  std::visit(MessageWriter{Out}, Envelope.m_Message);
  // Packed, because heartbeats are mostly zeroes and cross failure domains.
  kj::VectorOutputStream Packed;
  capnp::writePackedMessage(Packed, Builder);
  const auto Bytes = Packed.getArray().asChars();
  return {Bytes.begin(), Bytes.size()};
}

std::optional<LogEnvelope> decodeLogEnvelope(std::string_view Bytes) {
  std::optional<LogEnvelope> Envelope;
  // Cap'n Proto throws on damaged input; the exception is caught here.
  const auto Failure =
      kj::runCatchingExceptions([&] { Envelope = readEnvelope(Bytes); });
  return Failure == nullptr ? Envelope : std::nullopt;
}

} // namespace ragwortmux
