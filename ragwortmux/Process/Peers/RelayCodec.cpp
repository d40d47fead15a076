#include "ragwortmux/Process/Peers/RelayCodec.h"

#include "ragwortmux/Process/Peers/CapnpBytes.h"
#include "ragwortmux/Process/Peers/RpcCodec.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Largest duration that is accepted; sums of an Instant and several of these
/// do not overflow.
constexpr Duration MaxDuration = std::chrono::years(1);

/// Largest body that is sent; a message of Cap'n Proto must be below 64 MiB,
/// and the error of a larger one does not tell that the statement ran.
constexpr std::size_t MaxBodyBytes = 32U << 20U;

bool isValid(Duration Value) {
  return Value >= Duration(0) && Value <= MaxDuration;
}

/// Converts \p Number to an enumerator; none if it is above \p Last.
template <typename Enum>
std::optional<Enum> toEnum(std::uint8_t Number, Enum Last) {
  if (Number > static_cast<std::uint8_t>(Last)) {
    return std::nullopt;
  }
  return static_cast<Enum>(Number);
}

std::optional<ResultCode> toResultCode(std::uint16_t Number) {
  const auto Code = static_cast<ResultCode>(Number);
  const auto Known = allResultCodes();
  if (std::ranges::find(Known, Code, &ResultCodeInfo::m_Code) == Known.end()) {
    return std::nullopt;
  }
  return Code;
}

void writeDefinition(rpc::PreparedDefinition::Builder Out,
                     const PreparedStatement &Prepared) {
  Out.setDefinition(toText(Prepared.m_Definition));
  Out.setWrites(Prepared.m_Writes);
}

PreparedStatement readDefinition(rpc::PreparedDefinition::Reader In) {
  return {toString(In.getDefinition()), In.getWrites()};
}

void writeState(rpc::RelayedStatement::Builder Out, const SessionState &State) {
  auto Values = Out.initValues(static_cast<unsigned>(State.m_Values.size()));
  unsigned Position = 0;
  for (const auto &[Name, Value] : State.m_Values) {
    auto Row = Values[Position++];
    Row.setName(toText(Name));
    Row.setValue(toText(Value));
  }
  auto Prepared =
      Out.initPrepared(static_cast<unsigned>(State.m_Prepared.size()));
  Position = 0;
  for (const auto &[Name, Definition] : State.m_Prepared) {
    auto Row = Prepared[Position++];
    Row.setName(toText(Name));
    writeDefinition(Row, Definition);
  }
}

std::shared_ptr<const SessionState>
readState(rpc::RelayedStatement::Reader In) {
  auto State = std::make_shared<SessionState>();
  for (const auto Row : In.getValues()) {
    State->m_Values[toString(Row.getName())] = toString(Row.getValue());
  }
  for (const auto Row : In.getPrepared()) {
    State->m_Prepared[toString(Row.getName())] = readDefinition(Row);
  }
  return State;
}

void writeStatement(rpc::RelayedStatement::Builder Out,
                    const Statement &Source) {
  Out.setId(toText(Source.m_Id.value()));
  Out.setKind(static_cast<std::uint8_t>(Source.m_Kind));
  Out.setText(toText(Source.m_Text));
  Out.setName(toText(Source.m_Name));
  Out.setRest(toText(Source.m_Rest));
  Out.setWrites(Source.m_Writes);
}

std::optional<Statement> readStatement(rpc::RelayedStatement::Reader In) {
  const auto Kind = toEnum(In.getKind(), StatementKind::Deallocate);
  if (!Kind) {
    return std::nullopt;
  }
  return Statement{StatementId(toString(In.getId())),
                   *Kind,
                   toString(In.getText()),
                   toString(In.getName()),
                   toString(In.getRest()),
                   In.getWrites()};
}

std::shared_ptr<const CatalogueEntry>
readEntry(rpc::CatalogueEntry::Reader In) {
  if (!toEnum(In.getTrafficClass(), TrafficClass::OwnWritesSession)) {
    return nullptr;
  }
  const CatalogueEntry Entry = readRpc(In);
  const EntryLimits &Limits = Entry.m_Limits;
  if (!isValid(Limits.m_RequestDeadline) || !isValid(Limits.m_MaxAge) ||
      !isValid(Limits.m_LatencyTarget) || !isValid(Limits.m_TransactionIdle)) {
    return nullptr;
  }
  return std::make_shared<const CatalogueEntry>(Entry);
}

} // namespace

void writeRpc(rpc::RelayedStatement::Builder Out, const SessionRequest &Request,
              Instant Now) {
  Out.setRequest(Request.m_Id.value());
  Out.setCaller(Request.m_Caller.value());
  writeRpc(Out.initEntry(), *Request.m_Entry);
  writeStatement(Out, Request.m_Statement);
  if (Request.m_State) {
    writeState(Out, *Request.m_State);
  }
  Out.setHasExecuted(Request.m_Prepared.has_value());
  if (Request.m_Prepared) {
    writeDefinition(Out.initExecuted(), *Request.m_Prepared);
  }
  writeRpc(Out.initLastWrite(), Request.m_LastWrite.m_Point);
  Out.setIsLastWriteUnplaced(Request.m_LastWrite.m_IsUnplaced);
  Out.setAgeUs(
      std::clamp(Now - Request.m_Arrived, Duration(0), MaxDuration).count());
  Out.setWorkspace(toText(Request.m_Workspace.value()));
}

std::optional<SessionRequest> readRpc(rpc::RelayedStatement::Reader In,
                                      Instant Now) {
  const Duration Age(In.getAgeUs());
  auto Entry = readEntry(In.getEntry());
  auto Source = readStatement(In);
  if (!isValid(Age) || !Entry || !Source) {
    return std::nullopt;
  }
  SessionRequest Request;
  Request.m_Id = RequestId(In.getRequest());
  Request.m_Caller = CallerConnectionId(In.getCaller());
  Request.m_Entry = std::move(Entry);
  Request.m_Statement = std::move(*Source);
  Request.m_State = readState(In);
  if (In.getHasExecuted()) {
    Request.m_Prepared = readDefinition(In.getExecuted());
  }
  Request.m_LastWrite = {readRpc(In.getLastWrite()),
                         In.getIsLastWriteUnplaced()};
  Request.m_Arrived = Now - Age;
  Request.m_Workspace = WorkspaceId(toString(In.getWorkspace()));
  return Request;
}

void writeRpc(rpc::RelayedAnswer::Builder Out, const SessionAnswer &Answer) {
  const bool IsTooLarge = Answer.m_Body && Answer.m_Body->size() > MaxBodyBytes;
  const ResultCode Code =
      IsTooLarge ? ResultCode::RanAnswerTooLarge : Answer.m_Code;
  Out.setCode(static_cast<std::uint16_t>(Code));
  Out.setHasBody(Answer.m_Body && !IsTooLarge);
  if (Out.getHasBody()) {
    Out.setBody(toData(*Answer.m_Body));
  }
  Out.setStatus(static_cast<std::uint8_t>(Answer.m_Status));
  writeRpc(Out.initPoint(), Answer.m_Point);
  writeRpc(Out.initWritten(), Answer.m_Written);
  Out.setIsWriteUnplaced(Answer.m_IsWriteUnplaced);
  writeRpc(Out.initPrimaryPoint(), Answer.m_PrimaryPoint);
}

std::optional<SessionAnswer> readRpc(rpc::RelayedAnswer::Reader In) {
  const auto Code = toResultCode(In.getCode());
  const auto Status = toEnum(In.getStatus(), TransactionStatus::Failed);
  if (!Code || !Status) {
    return std::nullopt;
  }
  SessionAnswer Answer;
  Answer.m_Code = *Code;
  if (In.getHasBody()) {
    Answer.m_Body = std::make_shared<const std::string>(toString(In.getBody()));
  }
  Answer.m_Status = *Status;
  Answer.m_Point = readRpc(In.getPoint());
  Answer.m_Written = readRpc(In.getWritten());
  Answer.m_IsWriteUnplaced = In.getIsWriteUnplaced();
  Answer.m_PrimaryPoint = readRpc(In.getPrimaryPoint());
  return Answer;
}

} // namespace ragwortmux
