#include "ragwortmux/Process/Peers/ObservedStream.h"
#include "ragwortmux/Process/Loop/IoLoop.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

struct Row final {
  const char *m_Case;
  std::size_t m_MinBytes;
  std::size_t m_MaxBytes;
  std::vector<std::string> m_Pieces; ///< Written one after the other.
  bool m_Ends;                       ///< The stream ends after the pieces.
  std::string m_Read;                ///< What the read gives.
  int m_Reports;                     ///< Reports of arriving bytes.
};

const std::array Rows = {
    Row{"one piece", 3, 3, {"abc"}, false, "abc", 1},
    Row{"several pieces", 6, 6, {"a", "bc", "def"}, false, "abcdef", 3},
    Row{"more than the minimum", 2, 10, {"a", "bcd"}, false, "abcd", 2},
    Row{"an end before the minimum", 4, 4, {"a", "b"}, true, "ab", 2},
    Row{"an end at once", 1, 4, {}, true, "", 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ObservedStreamTest)

BOOST_AUTO_TEST_CASE(BytesAreReportedBeforeTheReadCompletes) {
  for (const Row &Case : Rows) {
    BOOST_TEST_CONTEXT(Case.m_Case) {
      IoLoop Loop;
      auto Pipe = kj::newTwoWayPipe();
      int Reports = 0;
      ObservedStream Stream(kj::mv(Pipe.ends[0]), [&Reports] { ++Reports; });
      std::array<char, 16> Buffer{};
      auto Read =
          Stream.tryRead(Buffer.data(), Case.m_MinBytes, Case.m_MaxBytes);
      int Expected = 0;
      for (const std::string &Piece : Case.m_Pieces) {
        Pipe.ends[1]->write(Piece.data(), Piece.size()).wait(Loop.waitScope());
        BOOST_TEST(Reports == ++Expected);
      }
      if (Case.m_Ends) {
        Pipe.ends[1]->shutdownWrite();
      }
      const std::size_t Count = Read.wait(Loop.waitScope());
      BOOST_TEST(std::string(Buffer.data(), Count) == Case.m_Read);
      BOOST_TEST(Reports == Case.m_Reports);
    }
  }
}

BOOST_AUTO_TEST_CASE(WritesPassUnchanged) {
  IoLoop Loop;
  auto Pipe = kj::newTwoWayPipe();
  ObservedStream Stream(kj::mv(Pipe.ends[0]), [] {});
  const std::string Text = "abc";
  const auto Write = Stream.write(Text.data(), Text.size())
                         .then([&Stream] { Stream.shutdownWrite(); })
                         .eagerlyEvaluate(nullptr);
  const kj::String Read = Pipe.ends[1]->readAllText().wait(Loop.waitScope());
  BOOST_TEST(std::string(Read.cStr()) == Text);
}

BOOST_AUTO_TEST_SUITE_END()
