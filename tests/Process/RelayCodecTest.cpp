#include "ragwortmux/Process/Peers/RelayCodec.h"

#include <capnp/message.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <string>

using namespace ragwortmux;

namespace {

constexpr Instant SentAt{std::chrono::seconds(100)};
/// The receiver's clock differs from the sender's.
constexpr Instant ReceivedAt{std::chrono::seconds(7)};
constexpr std::int64_t LargestNumber = std::numeric_limits<std::int64_t>::max();

SessionRequest plainRequest() {
  SessionRequest Request;
  Request.m_Entry = std::make_shared<const CatalogueEntry>();
  Request.m_State = std::make_shared<const SessionState>();
  Request.m_Arrived = SentAt;
  return Request;
}

bool isSame(const Statement &One, const Statement &Other) {
  return One.m_Id == Other.m_Id && One.m_Kind == Other.m_Kind &&
         One.m_Text == Other.m_Text && One.m_Name == Other.m_Name &&
         One.m_Rest == Other.m_Rest && One.m_Writes == Other.m_Writes;
}

/// Compares all but the arrival, which is on two clocks.
bool isSame(const SessionRequest &One, const SessionRequest &Other) {
  return One.m_Id == Other.m_Id && One.m_Caller == Other.m_Caller &&
         *One.m_Entry == *Other.m_Entry &&
         isSame(One.m_Statement, Other.m_Statement) &&
         One.m_State->m_Values == Other.m_State->m_Values &&
         One.m_State->m_Prepared == Other.m_State->m_Prepared &&
         One.m_Prepared == Other.m_Prepared &&
         One.m_LastWrite == Other.m_LastWrite;
}

bool isSameBody(const AnswerBody &One, const AnswerBody &Other) {
  return (One == nullptr) == (Other == nullptr) && (!One || *One == *Other);
}

/// Compares all but the group and the ids, which the RPC call implies; see
/// RelayLinkTest/AnAnswerReachesItsStatement.
bool isSame(const SessionAnswer &One, const SessionAnswer &Other) {
  return One.m_Code == Other.m_Code && isSameBody(One.m_Body, Other.m_Body) &&
         One.m_Status == Other.m_Status && One.m_Point == Other.m_Point &&
         One.m_Written == Other.m_Written &&
         One.m_IsWriteUnplaced == Other.m_IsWriteUnplaced &&
         One.m_PrimaryPoint == Other.m_PrimaryPoint;
}

/// Returns a change of the catalogue entry.
std::function<void(SessionRequest &)>
entryChange(const std::function<void(CatalogueEntry &)> &Change) {
  return [Change](SessionRequest &Request) {
    CatalogueEntry Entry = *Request.m_Entry;
    Change(Entry);
    Request.m_Entry = std::make_shared<const CatalogueEntry>(Entry);
  };
}

std::function<void(SessionRequest &)>
limitChange(const std::function<void(EntryLimits &)> &Change) {
  return entryChange(
      [Change](CatalogueEntry &Entry) { Change(Entry.m_Limits); });
}

std::function<void(SessionRequest &)>
stateChange(const std::function<void(SessionState &)> &Change) {
  return [Change](SessionRequest &Request) {
    SessionState State = *Request.m_State;
    Change(State);
    Request.m_State = std::make_shared<const SessionState>(State);
  };
}

const std::string AllBytes = [] {
  std::string Bytes;
  for (int Value = 0; Value < 256; ++Value) {
    Bytes.push_back(static_cast<char>(Value));
  }
  return Bytes;
}();

struct RequestRow final {
  const char *m_Field;
  std::function<void(SessionRequest &)> m_Change;
};

const std::array RequestRows = {
    RequestRow{"id", [](auto &Request) { Request.m_Id = RequestId(~0ULL); }},
    RequestRow{"caller",
               [](auto &Request) {
                 Request.m_Caller = CallerConnectionId(~0ULL);
               }},
    RequestRow{"entry name", entryChange([](auto &Entry) {
                 Entry.m_Name = EntryName("e");
               })},
    RequestRow{"entry group", entryChange([](auto &Entry) {
                 Entry.m_Group = GroupId("g");
               })},
    RequestRow{"entry owner", entryChange([](auto &Entry) {
                 Entry.m_Owner = OwnerId("o");
               })},
    RequestRow{"entry class", entryChange([](auto &Entry) {
                 Entry.m_Class = TrafficClass::OwnWritesSession;
               })},
    RequestRow{"max concurrent", limitChange([](auto &Limits) {
                 Limits.m_MaxConcurrent = 3;
               })},
    RequestRow{"max queued",
               limitChange([](auto &Limits) { Limits.m_MaxQueued = 3; })},
    RequestRow{"deadline", limitChange([](auto &Limits) {
                 Limits.m_RequestDeadline = Duration(3);
               })},
    RequestRow{"max answer bytes", limitChange([](auto &Limits) {
                 Limits.m_MaxAnswerBytes = 3;
               })},
    RequestRow{"max age", limitChange([](auto &Limits) {
                 Limits.m_MaxAge = Duration(3);
               })},
    RequestRow{"latency target", limitChange([](auto &Limits) {
                 Limits.m_LatencyTarget = Duration(3);
               })},
    RequestRow{"transaction idle", limitChange([](auto &Limits) {
                 Limits.m_TransactionIdle = Duration(3);
               })},
    RequestRow{"priority",
               limitChange([](auto &Limits) { Limits.m_Priority = 3; })},
    RequestRow{"statement id",
               [](auto &Request) {
                 Request.m_Statement.m_Id = StatementId("s");
               }},
    RequestRow{"first kind",
               [](auto &Request) {
                 Request.m_Statement.m_Kind = StatementKind::Begin;
               }},
    RequestRow{"last kind",
               [](auto &Request) {
                 Request.m_Statement.m_Kind = StatementKind::Deallocate;
               }},
    RequestRow{"text",
               [](auto &Request) { Request.m_Statement.m_Text = AllBytes; }},
    RequestRow{"name",
               [](auto &Request) { Request.m_Statement.m_Name = AllBytes; }},
    RequestRow{"rest",
               [](auto &Request) { Request.m_Statement.m_Rest = AllBytes; }},
    RequestRow{"writes",
               [](auto &Request) { Request.m_Statement.m_Writes = true; }},
    RequestRow{"values", stateChange([](auto &State) {
                 State.m_Values = {{"a", "1"}, {"b", AllBytes}, {"", ""}};
               })},
    RequestRow{"prepared statements", stateChange([](auto &State) {
                 State.m_Prepared = {{"p", {"read", false}},
                                     {"q", {AllBytes, true}}};
               })},
    RequestRow{"executed",
               [](auto &Request) {
                 Request.m_Prepared = PreparedStatement{"text", true};
               }},
    RequestRow{"empty executed",
               [](auto &Request) { Request.m_Prepared.emplace(); }},
    RequestRow{"last write",
               [](auto &Request) {
                 Request.m_LastWrite.m_Point =
                     LogPoint{Term(3), LogPosition(~0ULL)};
               }},
    RequestRow{"last write at 0",
               [](auto &Request) { Request.m_LastWrite.m_Point.emplace(); }},
    RequestRow{"last write without a position",
               [](auto &Request) { Request.m_LastWrite.m_IsUnplaced = true; }},
};

struct AnswerRow final {
  const char *m_Field;
  std::function<void(SessionAnswer &)> m_Change;
};

const std::array AnswerRows = {
    AnswerRow{"not run",
              [](auto &Answer) {
                Answer.m_Code = ResultCode::NotRunUnknownStatement;
              }},
    AnswerRow{"unknown outcome",
              [](auto &Answer) {
                Answer.m_Code = ResultCode::OutcomeUnknownTermEnded;
              }},
    AnswerRow{"body",
              [](auto &Answer) {
                Answer.m_Body = std::make_shared<const std::string>(AllBytes);
              }},
    AnswerRow{"empty body",
              [](auto &Answer) {
                Answer.m_Body = std::make_shared<const std::string>();
              }},
    AnswerRow{"in transaction",
              [](auto &Answer) {
                Answer.m_Status = TransactionStatus::InTransaction;
              }},
    AnswerRow{
        "failed transaction",
        [](auto &Answer) { Answer.m_Status = TransactionStatus::Failed; }},
    AnswerRow{"point",
              [](auto &Answer) {
                Answer.m_Point = LogPoint{Term(~0ULL), LogPosition(4)};
              }},
    AnswerRow{"written",
              [](auto &Answer) {
                Answer.m_Written = LogPoint{Term(4), LogPosition(~0ULL)};
              }},
    AnswerRow{"written without a position",
              [](auto &Answer) { Answer.m_IsWriteUnplaced = true; }},
    AnswerRow{"point of the primary",
              [](auto &Answer) {
                Answer.m_PrimaryPoint = LogPoint{Term(5), LogPosition(6)};
              }},
};

struct AgeRow final {
  const char *m_Case;
  Duration m_Age;      ///< Age when the statement is sent.
  Duration m_Received; ///< Age when it is received.
};

constexpr std::array AgeRows = {
    AgeRow{"none", Duration(0), Duration(0)},
    AgeRow{"some", Duration(1234567), Duration(1234567)},
    AgeRow{"arrival in the future", Duration(-5), Duration(0)},
    AgeRow{"beyond any deadline", std::chrono::years(5), std::chrono::years(1)},
};

struct InvalidRequestRow final {
  const char *m_Case;
  std::function<void(rpc::RelayedStatement::Builder)> m_Change;
};

const std::array InvalidRequestRows = {
    InvalidRequestRow{"first unknown kind", [](auto Out) { Out.setKind(10); }},
    InvalidRequestRow{"highest kind", [](auto Out) { Out.setKind(255); }},
    InvalidRequestRow{"first unknown class",
                      [](auto Out) { Out.getEntry().setTrafficClass(7); }},
    InvalidRequestRow{"highest class",
                      [](auto Out) { Out.getEntry().setTrafficClass(255); }},
    InvalidRequestRow{"negative age", [](auto Out) { Out.setAgeUs(-1); }},
    InvalidRequestRow{"largest age",
                      [](auto Out) { Out.setAgeUs(LargestNumber); }},
    InvalidRequestRow{"negative deadline",
                      [](auto Out) { Out.getEntry().setDeadlineUs(-1); }},
    InvalidRequestRow{
        "largest deadline",
        [](auto Out) { Out.getEntry().setDeadlineUs(LargestNumber); }},
    InvalidRequestRow{
        "largest age of data",
        [](auto Out) { Out.getEntry().setMaxAgeUs(LargestNumber); }},
    InvalidRequestRow{
        "largest latency target",
        [](auto Out) { Out.getEntry().setLatencyTargetUs(LargestNumber); }},
    InvalidRequestRow{
        "largest transaction idle time",
        [](auto Out) { Out.getEntry().setTransactionIdleUs(LargestNumber); }},
};

struct InvalidAnswerRow final {
  const char *m_Case;
  std::function<void(rpc::RelayedAnswer::Builder)> m_Change;
};

const std::array InvalidAnswerRows = {
    InvalidAnswerRow{"unused code", [](auto Out) { Out.setCode(1); }},
    InvalidAnswerRow{"highest code", [](auto Out) { Out.setCode(65535); }},
    InvalidAnswerRow{"first unknown status",
                     [](auto Out) { Out.setStatus(3); }},
    InvalidAnswerRow{"highest status", [](auto Out) { Out.setStatus(255); }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayCodecTest)

BOOST_AUTO_TEST_CASE(EachFieldOfAStatementArrives) {
  for (const RequestRow &Row : RequestRows) {
    BOOST_TEST_CONTEXT(Row.m_Field) {
      SessionRequest Sent = plainRequest();
      Row.m_Change(Sent);
      BOOST_TEST(!isSame(Sent, plainRequest()));

      capnp::MallocMessageBuilder Message;
      auto Out = Message.initRoot<rpc::RelayedStatement>();
      writeRpc(Out, Sent, SentAt);
      const auto Received = readRpc(Out.asReader(), ReceivedAt);
      BOOST_REQUIRE(Received.has_value());
      BOOST_TEST(isSame(*Received, Sent));
    }
  }
}

BOOST_AUTO_TEST_CASE(AStatementKeepsItsAge) {
  for (const AgeRow &Row : AgeRows) {
    BOOST_TEST_CONTEXT(Row.m_Case) {
      SessionRequest Sent = plainRequest();
      Sent.m_Arrived = SentAt - Row.m_Age;

      capnp::MallocMessageBuilder Message;
      auto Out = Message.initRoot<rpc::RelayedStatement>();
      writeRpc(Out, Sent, SentAt);
      const auto Received = readRpc(Out.asReader(), ReceivedAt);
      BOOST_REQUIRE(Received.has_value());
      BOOST_TEST(
          (ReceivedAt - Received->m_Arrived == Duration(Row.m_Received)));
    }
  }
}

BOOST_AUTO_TEST_CASE(AStatementWithoutStateGetsAnEmptyOne) {
  SessionRequest Sent = plainRequest();
  Sent.m_State = nullptr;
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::RelayedStatement>();
  writeRpc(Out, Sent, SentAt);
  const auto Received = readRpc(Out.asReader(), ReceivedAt);
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST(isSame(*Received, plainRequest()));
}

BOOST_AUTO_TEST_CASE(EachFieldOfAnAnswerArrives) {
  for (const AnswerRow &Row : AnswerRows) {
    BOOST_TEST_CONTEXT(Row.m_Field) {
      SessionAnswer Sent;
      Row.m_Change(Sent);
      BOOST_TEST(!isSame(Sent, SessionAnswer()));

      capnp::MallocMessageBuilder Message;
      auto Out = Message.initRoot<rpc::RelayedAnswer>();
      writeRpc(Out, Sent);
      const auto Received = readRpc(Out.asReader());
      BOOST_REQUIRE(Received.has_value());
      BOOST_TEST(isSame(*Received, Sent));
    }
  }
}

BOOST_AUTO_TEST_CASE(EachResultCodeArrives) {
  for (const ResultCodeInfo &Info : allResultCodes()) {
    SessionAnswer Sent;
    Sent.m_Code = Info.m_Code;
    capnp::MallocMessageBuilder Message;
    auto Out = Message.initRoot<rpc::RelayedAnswer>();
    writeRpc(Out, Sent);
    const auto Received = readRpc(Out.asReader());
    BOOST_REQUIRE(Received.has_value());
    BOOST_TEST((Received->m_Code == Info.m_Code), Info.m_Name);
  }
}

BOOST_AUTO_TEST_CASE(InvalidStatementsAreRefused) {
  for (const InvalidRequestRow &Row : InvalidRequestRows) {
    capnp::MallocMessageBuilder Message;
    auto Out = Message.initRoot<rpc::RelayedStatement>();
    writeRpc(Out, plainRequest(), SentAt);
    BOOST_REQUIRE(readRpc(Out.asReader(), ReceivedAt).has_value());
    Row.m_Change(Out);
    BOOST_TEST(!readRpc(Out.asReader(), ReceivedAt).has_value(), Row.m_Case);
  }
}

BOOST_AUTO_TEST_CASE(InvalidAnswersAreRefused) {
  for (const InvalidAnswerRow &Row : InvalidAnswerRows) {
    capnp::MallocMessageBuilder Message;
    auto Out = Message.initRoot<rpc::RelayedAnswer>();
    writeRpc(Out, SessionAnswer());
    BOOST_REQUIRE(readRpc(Out.asReader()).has_value());
    Row.m_Change(Out);
    BOOST_TEST(!readRpc(Out.asReader()).has_value(), Row.m_Case);
  }
}

BOOST_AUTO_TEST_SUITE_END()
