#include "ragwortmux/Connection/Codec/PgMessageReader.h"
#include "tests/StandIn/PgFrontendBytes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace ragwortmux;

namespace {

std::string validStartup() {
  return pgStartupBytes(PgVersion3, pgStringBytes({"user", "clerk", "options",
                                                   "-c a.b=1 -c c=x\\ y", ""}));
}

std::span<const std::byte> bytesOf(const std::string &Text) {
  return std::as_bytes(std::span(Text));
}

/// Describes messages as text, for comparison with the expected ones.
struct MessageDescriber final {
  std::string operator()(const PgStartup &Startup) const {
    std::string Text = "startup " + std::to_string(Startup.m_ProtocolVersion);
    for (const auto &Map : {Startup.m_Parameters, Startup.m_Options}) {
      for (const auto &Pair : Map) {
        Text.append(" ").append(Pair.first).append("=").append(Pair.second);
      }
    }
    return Text;
  }
  std::string operator()(const PgSslRequest &) const { return "ssl"; }
  std::string operator()(const PgGssEncRequest &) const { return "gssenc"; }
  std::string operator()(const PgCancelRequest &Request) const {
    return "cancel " + std::to_string(Request.m_ProcessId) + " " +
           std::to_string(Request.m_SecretKey);
  }
  std::string operator()(const PgQuery &Query) const {
    return "query " + Query.m_Sql;
  }
  std::string operator()(const PgTerminate &) const { return "terminate"; }
  std::string operator()(const PgPassword &Message) const {
    return "password " + Message.m_Text;
  }
  std::string operator()(const PgUnsupported &Message) const {
    return std::string("unsupported ") + Message.m_Type;
  }
};

/// Reads all complete messages and returns their descriptions, followed by the
/// reader's error, if any.
std::vector<std::string> readAll(PgMessageReader &Reader) {
  std::vector<std::string> Found;
  while (const auto Message = Reader.next()) {
    Found.push_back(std::visit(MessageDescriber(), *Message));
  }
  if (Reader.error()) {
    Found.push_back("error " + Reader.error()->m_Message);
    BOOST_TEST(Reader.error()->m_SqlState == "08P01");
  }
  return Found;
}

struct StreamCase final {
  const char *m_Name;                  ///< Name of the case.
  std::string m_Bytes;                 ///< Input bytes.
  std::vector<std::string> m_Expected; ///< Expected result of readAll().

  friend std::ostream &operator<<(std::ostream &Output, const StreamCase &C) {
    return Output << C.m_Name;
  }
};

const std::string StartupText =
    "startup 196608 options=-c a.b=1 -c c=x\\ y user=clerk a.b=1 c=x y";

const StreamCase StreamCases[] = {
    {"startup", validStartup(), {StartupText}},
    {"ssl then startup",
     pgStartupBytes(PgSslCode, "") + validStartup(),
     {"ssl", StartupText}},
    {"gssenc then ssl",
     pgStartupBytes(PgGssEncCode, "") + pgStartupBytes(PgSslCode, ""),
     {"gssenc", "ssl"}},
    {"cancel",
     pgStartupBytes(PgCancelCode, pgUint32Bytes(7) + pgUint32Bytes(0xFFFFFFFF)),
     {"cancel 7 4294967295"}},
    {"cancel of a wrong length",
     pgStartupBytes(PgCancelCode, pgUint32Bytes(7) + pgUint32Bytes(8) + "x"),
     {"error unsupported protocol version"}},
    {"data after cancel",
     pgStartupBytes(PgCancelCode, pgUint32Bytes(7) + pgUint32Bytes(8)) + "x",
     {"cancel 7 8", "error data after the last message"}},
    {"queries",
     validStartup() + pgMessageBytes('Q', pgStringBytes({"SELECT 1"})) +
         pgMessageBytes('Q', pgStringBytes({""})),
     {StartupText, "query SELECT 1", "query "}},
    {"terminate",
     validStartup() + pgMessageBytes('X', ""),
     {StartupText, "terminate"}},
    {"data after terminate",
     validStartup() + pgMessageBytes('X', "") +
         pgMessageBytes('Q', pgStringBytes({"SELECT 1"})),
     {StartupText, "terminate", "error data after the last message"}},
    {"password and unsupported",
     validStartup() + pgMessageBytes('p', pgStringBytes({"secret"})) +
         pgMessageBytes('P', "whatever") + pgMessageBytes('S', ""),
     {StartupText, "password secret", "unsupported P", "unsupported S"}},
    {"password without zero",
     validStartup() + pgMessageBytes('p', "secret"),
     {StartupText, "error malformed password message"}},
    {"password with two strings",
     validStartup() + pgMessageBytes('p', pgStringBytes({"secret", "x"})),
     {StartupText, "error malformed password message"}},
    {"empty password",
     validStartup() + pgMessageBytes('p', pgStringBytes({""})),
     {StartupText, "password "}},
    {"query without zero",
     validStartup() + pgMessageBytes('Q', "SELECT 1"),
     {StartupText, "error malformed query message"}},
    {"query with two strings",
     validStartup() + pgMessageBytes('Q', pgStringBytes({"SELECT 1", "x"})),
     {StartupText, "error malformed query message"}},
    {"message length below 4",
     validStartup() + "Q" + pgUint32Bytes(3) + "x",
     {StartupText, "error invalid message length"}},
    {"message length above the limit",
     validStartup() + "Q" + pgUint32Bytes(1001),
     {StartupText, "error invalid message length"}},
    {"message length of all ones",
     validStartup() + "Q" + pgUint32Bytes(0xFFFFFFFF),
     {StartupText, "error invalid message length"}},
    {"startup length below 8",
     pgUint32Bytes(7) + "abc",
     {"error invalid length of start-up packet"}},
    {"startup length above the limit",
     pgUint32Bytes(501),
     {"error invalid length of start-up packet"}},
    {"other protocol",
     pgStartupBytes(2 << 16, ""),
     {"error unsupported protocol version"}},
    {"ssl with a body",
     pgStartupBytes(PgSslCode, "x"),
     {"error unsupported protocol version"}},
    {"startup without end",
     pgStartupBytes(PgVersion3, pgStringBytes({"user", "clerk"})),
     {"error malformed start-up packet"}},
    {"startup without value",
     pgStartupBytes(PgVersion3, pgStringBytes({"user"}) + "clerk"),
     {"error malformed start-up packet"}},
    {"startup with data after the end",
     pgStartupBytes(PgVersion3, pgStringBytes({"user", "clerk", "", "x"})),
     {"error malformed start-up packet"}},
    {"startup with malformed options",
     pgStartupBytes(PgVersion3, pgStringBytes({"options", "-x", ""})),
     {"error malformed options in start-up packet"}},
};

constexpr PgMessageReaderSettings SmallLimits{500, 1000, 2000};

struct OptionsCase final {
  const char *m_Text;                     ///< Value of `options`.
  std::optional<PgParameters> m_Expected; ///< None if malformed.

  friend std::ostream &operator<<(std::ostream &Output, const OptionsCase &C) {
    return Output << C.m_Text;
  }
};

const OptionsCase OptionsCases[] = {
    {"", PgParameters{}},
    {"  ", PgParameters{}},
    {"-c a=1", PgParameters{{"a", "1"}}},
    {"-ca=1 --b=2\t-c  c=", PgParameters{{"a", "1"}, {"b", "2"}, {"c", ""}}},
    {"-c a=1 -c a=2", PgParameters{{"a", "2"}}},
    {"-c a=b\\ c\\\\d=e", PgParameters{{"a", "b c\\d=e"}}},
    {"-c", std::nullopt},
    {"-c a", std::nullopt},
    {"-c =1", std::nullopt},
    {"a=1", std::nullopt},
    {"-d 3", std::nullopt},
};

} // namespace

BOOST_AUTO_TEST_SUITE(PgMessageReaderTest)

BOOST_DATA_TEST_CASE(ReadsCompleteStreams,
                     boost::unit_test::data::make(StreamCases), Case) {
  PgMessageReader Reader(SmallLimits);
  Reader.feed(bytesOf(Case.m_Bytes));
  BOOST_TEST(readAll(Reader) == Case.m_Expected,
             boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(ReadsStreamsSplitAtEveryByte,
                     boost::unit_test::data::make(StreamCases), Case) {
  for (std::size_t Cut = 0; Cut <= Case.m_Bytes.size(); ++Cut) {
    PgMessageReader Reader(SmallLimits);
    std::vector<std::string> Found;
    for (const std::string &Part :
         {Case.m_Bytes.substr(0, Cut), Case.m_Bytes.substr(Cut)}) {
      if (Reader.error()) {
        continue;
      }
      Reader.feed(bytesOf(Part));
      for (std::string &Text : readAll(Reader)) {
        Found.push_back(std::move(Text));
      }
    }
    BOOST_TEST(Found == Case.m_Expected, boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(ReadsStreamsByteByByte) {
  const std::string Bytes = validStartup() +
                            pgMessageBytes('Q', pgStringBytes({"SELECT 1"})) +
                            pgMessageBytes('X', "");
  PgMessageReader Reader;
  std::vector<std::string> Found;
  for (const char Byte : Bytes) {
    Reader.feed(bytesOf(std::string(1, Byte)));
    for (std::string &Text : readAll(Reader)) {
      Found.push_back(std::move(Text));
    }
  }
  BOOST_TEST(Found == std::vector<std::string>(
                          {StartupText, "query SELECT 1", "terminate"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(LimitsBufferedBytes) {
  PgMessageReader Reader(SmallLimits);
  Reader.feed(bytesOf(std::string(2000, 'x')));
  BOOST_TEST(!Reader.error());
  Reader.feed(bytesOf("x"));
  BOOST_REQUIRE(Reader.error());
  BOOST_TEST(Reader.error()->m_Message == "receive buffer limit exceeded");
  BOOST_TEST(Reader.bufferedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(BufferLimitIsRaisedToFitLargestMessage) {
  PgMessageReader Reader({500, 1000, 1});
  Reader.feed(bytesOf(validStartup()));
  BOOST_REQUIRE(Reader.next());
  const std::string Query =
      pgMessageBytes('Q', pgStringBytes({std::string(995, 'q')}));
  Reader.feed(bytesOf(Query));
  BOOST_TEST(Reader.next().has_value());
  Reader.feed(bytesOf(Query + "Q"));
  BOOST_TEST(Reader.error().has_value());
}

// A caller that has not shown its key yet must not fill the buffer.
BOOST_AUTO_TEST_CASE(PasswordIsLimitedBelowOtherMessages) {
  const std::size_t Most = PgMessageReaderSettings().m_MaxPasswordBytes;
  for (const std::size_t Excess : {0U, 1U}) {
    PgMessageReader Reader;
    Reader.feed(bytesOf(validStartup()));
    BOOST_REQUIRE(Reader.next());
    constexpr std::size_t LengthAndZero = 5;
    Reader.feed(bytesOf(pgMessageBytes(
        'p',
        pgStringBytes({std::string(Most - LengthAndZero + Excess, 'k')}))));
    BOOST_TEST(Reader.next().has_value() == (Excess == 0));
    BOOST_TEST(Reader.error().has_value() == (Excess == 1));
  }
}

BOOST_AUTO_TEST_CASE(StaysInErrorState) {
  PgMessageReader Reader;
  Reader.feed(bytesOf(pgUint32Bytes(1)));
  BOOST_TEST(!Reader.next());
  BOOST_REQUIRE(Reader.error());
  Reader.feed(bytesOf(validStartup()));
  BOOST_TEST(!Reader.next());
  BOOST_TEST(Reader.bufferedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(BufferStaysSmallOverManyMessages) {
  PgMessageReader Reader;
  Reader.feed(bytesOf(validStartup()));
  BOOST_REQUIRE(Reader.next());
  const std::string Query =
      pgMessageBytes('Q', pgStringBytes({std::string(999, 'q')}));
  for (int Round = 0; Round < 10'000; ++Round) {
    // The buffer is never empty: each call also feeds the first byte of the
    // next message.
    Reader.feed(bytesOf(Round == 0 ? Query + "Q" : Query.substr(1) + "Q"));
    BOOST_REQUIRE(Reader.next());
  }
  BOOST_TEST(Reader.bufferedBytes() == 1U);
  BOOST_TEST(Reader.allocatedBytes() < 256U * 1024);
}

BOOST_AUTO_TEST_CASE(StaysWithinLimitsOnRandomBytes) {
  for (unsigned Seed = 0; Seed < 10'000; ++Seed) {
    std::mt19937 Random(Seed);
    PgMessageReader Reader(SmallLimits);
    // Half of the sequences begin with a valid start-up message.
    std::string Bytes = Seed % 2 == 0 ? validStartup() : std::string();
    const std::size_t Length = Random() % 300;
    for (std::size_t Index = 0; Index < Length; ++Index) {
      // Many zero bytes give plausible length fields.
      Bytes.push_back(Random() % 2 == 0 ? '\0'
                                        : static_cast<char>(Random() & 0xFF));
    }
    std::size_t Messages = 0;
    while (!Bytes.empty() && !Reader.error()) {
      const std::size_t Count =
          std::min<std::size_t>(Bytes.size(), 1 + Random() % 50);
      Reader.feed(bytesOf(Bytes.substr(0, Count)));
      Bytes.erase(0, Count);
      while (Reader.next()) {
        ++Messages;
      }
    }
    BOOST_REQUIRE_LE(Messages, 400U);
    BOOST_REQUIRE_LE(Reader.bufferedBytes(), SmallLimits.m_MaxBufferedBytes);
    BOOST_REQUIRE(!Reader.error() || Reader.error()->m_SqlState == "08P01");
  }
}

BOOST_DATA_TEST_CASE(ParsesStartupOptions,
                     boost::unit_test::data::make(OptionsCases), Case) {
  BOOST_TEST((parsePgOptions(Case.m_Text) == Case.m_Expected));
}

// Guards against statements sent ahead that are not counted, and against memory
// that an idle connection keeps.
BOOST_AUTO_TEST_CASE(BufferedMessagesAreCountedAndTheirMemoryIsReleased) {
  PgMessageReader Reader;
  Reader.feed(bytesOf(validStartup()));
  BOOST_TEST(Reader.bufferedMessages(10) == 0U);
  BOOST_TEST(!Reader.hasStarted());
  BOOST_TEST(Reader.next().has_value());
  BOOST_TEST(Reader.hasStarted());
  const std::string Sync("S\0\0\0\4", 5);
  Reader.feed(bytesOf(Sync + Sync + Sync.substr(0, 4)));
  BOOST_TEST(Reader.bufferedMessages(10) == 2U);
  BOOST_TEST(Reader.bufferedMessages(1) == 1U);
  Reader.feed(bytesOf(Sync.substr(4)));
  BOOST_TEST(Reader.bufferedMessages(10) == 3U);
  std::string Large(200'005, ' ');
  Large.replace(0, 5, std::string("P\0\3\15\104", 5));
  Reader.feed(bytesOf(Large));
  BOOST_TEST(readAll(Reader).size() == 4U);
  BOOST_TEST(Reader.allocatedBytes() < 2048U);
}

BOOST_AUTO_TEST_SUITE_END()
