#include "ragwortmux/Process/Support/Log.h"
#include "tests/Support/LogCapture.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <limits>
#include <sstream>

using namespace ragwortmux;

BOOST_AUTO_TEST_SUITE(LogTest)

BOOST_AUTO_TEST_CASE(TextLinesCarryThePartPrefix) {
  const LogCapture Capture(LogLevel::Info, LogFormat::Text);
  logInfo(Part::Control, "Host {} leads term {}.", "a", 7);
  BOOST_TEST(Capture.text().ends_with("Z info control: Host a leads term 7.\n"),
             Capture.text());
}

BOOST_AUTO_TEST_CASE(LinesBelowTheLevelAreNotWritten) {
  constexpr std::array Levels = {LogLevel::Trace, LogLevel::Debug,
                                 LogLevel::Info, LogLevel::Warn,
                                 LogLevel::Error};
  for (const LogLevel Level : Levels) {
    const LogCapture Capture(Level, LogFormat::Text);
    logDebug(Part::Pool, "one");
    logInfo(Part::Pool, "two");
    logWarn(Part::Pool, "three");
    logError(Part::Pool, "four");
    const std::string Text = Capture.text();
    BOOST_TEST((Text.find("one") != std::string::npos) ==
               (Level <= LogLevel::Debug));
    BOOST_TEST((Text.find("two") != std::string::npos) ==
               (Level <= LogLevel::Info));
    BOOST_TEST((Text.find("three") != std::string::npos) ==
               (Level <= LogLevel::Warn));
    BOOST_TEST(Text.find("four") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(EachCallWritesOneLineInBothFormats) {
  const std::string Hostile = "a\nb\"c\\ {} \x01";
  for (const LogFormat Format : {LogFormat::Text, LogFormat::Json}) {
    const LogCapture Capture(LogLevel::Info, Format);
    logInfo(Part::Caller, "Caller sent {}.", Hostile);
    const std::string Text = Capture.text();
    BOOST_TEST(Text.find('\n') == Text.size() - 1);
  }
}

BOOST_AUTO_TEST_CASE(JsonLinesContainLevelPartAndText) {
  const LogCapture Capture(LogLevel::Info, LogFormat::Json);
  logWarn(Part::Catalogue, "Entry \"{}\" is refused.", "x\ty\xff");
  boost::json::error_code Error;
  const boost::json::value Line = boost::json::parse(Capture.text(), Error);
  BOOST_TEST_REQUIRE(!Error);
  BOOST_TEST(Line.at("level") == "warn");
  BOOST_TEST(Line.at("part") == "catalogue");
  BOOST_TEST(Line.at("text") == "Entry \"x\ty?\" is refused.");
  BOOST_TEST(Line.at("time_ms").is_int64());
}

BOOST_AUTO_TEST_CASE(FormattingFailureDoesNotThrow) {
  const LogCapture Capture(LogLevel::Info, LogFormat::Text);
  // A width that fmt rejects only at run time.
  BOOST_CHECK_NO_THROW(
      logInfo(Part::Http, "{:{}}", 1, std::numeric_limits<long long>::max()));
  logInfo(Part::Http, "after");
  BOOST_TEST(Capture.text().find("http: after") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
