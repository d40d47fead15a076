#include "ragwortmux/Connection/Codec/PgMessageWriter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace ragwortmux;
using namespace std::string_literals;

namespace {

PgError fullError() {
  return {"ERROR", "53300", "no connection", "all are in use", "try again"};
}

PgResult oneRow() {
  PgResult Result;
  Result.m_Columns = {{"k"}, {"v", 23, 4, -1}};
  Result.m_Rows = {{"a", std::nullopt}};
  Result.m_CommandTag = "SELECT 1";
  return Result;
}

const std::string OneRowDescription =
    "T\0\0\0\x2e\0\x02"
    "k\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0"
    "v\0\0\0\0\0\0\0\0\0\0\x17\0\x04\xff\xff\xff\xff\0\0"s;

struct WriterCase final {
  const char *m_Name;                             ///< Name of the case.
  std::function<void(PgMessageWriter &)> m_Write; ///< Writes the message.
  std::string m_Expected;                         ///< Expected bytes.

  friend std::ostream &operator<<(std::ostream &Output, const WriterCase &C) {
    return Output << C.m_Name;
  }
};

const WriterCase WriterCases[] = {
    {"encryption refused",
     [](PgMessageWriter &Writer) { Writer.encryptionRefused(); }, "N"},
    {"authentication ok",
     [](PgMessageWriter &Writer) { Writer.authenticationOk(); },
     "R\0\0\0\x08\0\0\0\0"s},
    {"authentication cleartext password",
     [](PgMessageWriter &Writer) { Writer.authenticationCleartextPassword(); },
     "R\0\0\0\x08\0\0\0\x03"s},
    {"negotiate protocol version",
     [](PgMessageWriter &Writer) {
       const std::string Names[] = {"_pq_.a"};
       Writer.negotiateProtocolVersion(0, Names);
     },
     "v\0\0\0\x13\0\0\0\0\0\0\0\x01_pq_.a\0"s},
    {"parameter status",
     [](PgMessageWriter &Writer) { Writer.parameterStatus("a", "bc"); },
     "S\0\0\0\x09"
     "a\0bc\0"s},
    {"backend key data",
     [](PgMessageWriter &Writer) { Writer.backendKeyData(1, 0x80000002); },
     "K\0\0\0\x0c\0\0\0\x01\x80\0\0\x02"s},
    {"ready, idle",
     [](PgMessageWriter &Writer) {
       Writer.readyForQuery(PgTransactionStatus::Idle);
     },
     "Z\0\0\0\x05I"s},
    {"ready, in transaction",
     [](PgMessageWriter &Writer) {
       Writer.readyForQuery(PgTransactionStatus::InTransaction);
     },
     "Z\0\0\0\x05T"s},
    {"ready, failed",
     [](PgMessageWriter &Writer) {
       Writer.readyForQuery(PgTransactionStatus::Failed);
     },
     "Z\0\0\0\x05"
     "E"s},
    {"row description",
     [](PgMessageWriter &Writer) { Writer.rowDescription(oneRow().m_Columns); },
     OneRowDescription},
    {"data row with null and empty",
     [](PgMessageWriter &Writer) {
       Writer.dataRow({"a", std::nullopt, "", "\0b"s});
     },
     "D\0\0\0\x19\0\x04\0\0\0\x01"
     "a\xff\xff\xff\xff\0\0\0\0\0\0\0\x02\0b"s},
    {"command complete",
     [](PgMessageWriter &Writer) { Writer.commandComplete("SELECT 1"); },
     "C\0\0\0\x0dSELECT 1\0"s},
    {"empty query",
     [](PgMessageWriter &Writer) { Writer.emptyQueryResponse(); },
     "I\0\0\0\x04"s},
    {"error with all fields",
     [](PgMessageWriter &Writer) { Writer.errorResponse(fullError()); },
     "E\0\0\0\x44SERROR\0VERROR\0C53300\0Mno connection\0"
     "Dall are in use\0Htry again\0\0"s},
    {"notice without detail and hint",
     [](PgMessageWriter &Writer) {
       Writer.noticeResponse({"NOTICE", "00000", "x", "", ""});
     },
     "N\0\0\0\x1fSNOTICE\0VNOTICE\0C00000\0Mx\0\0"s},
    {"text with a zero byte is cut",
     [](PgMessageWriter &Writer) { Writer.parameterStatus("a\0x"s, "b"); },
     "S\0\0\0\x08"
     "a\0b\0"s},
    {"result with rows",
     [](PgMessageWriter &Writer) { Writer.result(oneRow()); },
     OneRowDescription + "D\0\0\0\x0f\0\x02\0\0\0\x01"
                         "a\xff\xff\xff\xff"
                         "C\0\0\0\x0dSELECT 1\0"s},
    {"result without rows",
     [](PgMessageWriter &Writer) {
       Writer.result({{}, {}, "BEGIN", std::nullopt});
     },
     "C\0\0\0\x0a"
     "BEGIN\0"s},
    {"empty result", [](PgMessageWriter &Writer) { Writer.result({}); },
     "I\0\0\0\x04"s},
    {"result that fails",
     [](PgMessageWriter &Writer) {
       Writer.result({{}, {}, "", PgError{"ERROR", "25006", "x", "", ""}});
     },
     "E\0\0\0\x1dSERROR\0VERROR\0C25006\0Mx\0\0"s},
};

} // namespace

BOOST_AUTO_TEST_SUITE(PgMessageWriterTest)

BOOST_DATA_TEST_CASE(WritesMessages, boost::unit_test::data::make(WriterCases),
                     Case) {
  std::string Output = "before";
  PgMessageWriter Writer(Output);
  Case.m_Write(Writer);
  BOOST_TEST(Output.substr(0, 6) == "before");
  BOOST_TEST(Output.substr(6) == Case.m_Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
