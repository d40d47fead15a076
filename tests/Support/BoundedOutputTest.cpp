#include "ragwortmux/Process/Support/BoundedOutput.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace ragwortmux {

namespace {

/// A pipe that is read only by calls of read().
struct Pipe final {
  Pipe() { BOOST_REQUIRE(pipe2(m_Ends.data(), O_CLOEXEC) == 0); }
  ~Pipe() {
    close(m_Ends[0]);
    close(m_Ends[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  std::string read() const {
    std::string Text(1U << 20U, '\0');
    fcntl(m_Ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t Count = ::read(m_Ends[0], Text.data(), Text.size());
    Text.resize(Count < 0 ? 0 : static_cast<std::size_t>(Count));
    return Text;
  }

  std::array<int, 2> m_Ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(BoundedOutputTest)

// The pipe is not read: lines are dropped, and write() does not block.
BOOST_AUTO_TEST_CASE(FullPipeDropsLinesWithoutBlocking) {
  const Pipe Full;
  BoundedOutput Output({Full.m_Ends[1], 0, [] { return Instant(); }});
  const std::string Line(200, 'x');
  constexpr std::uint64_t Lines = 20000;
  for (std::uint64_t Index = 0; Index < Lines; ++Index)
    Output.write(Line + "\n");
  BOOST_TEST(Output.droppedLines() > 0U);
  const std::string Read = Full.read();
  BOOST_TEST(Read.size() / (Line.size() + 1) + Output.droppedLines() == Lines);
  // The next line that fits is preceded by a line with the number of dropped
  // lines.
  Output.write("after\n");
  const std::string After = Full.read();
  BOOST_TEST(
      After.find("\"left_out\":" + std::to_string(Output.droppedLines())) !=
      std::string::npos);
  BOOST_TEST(After.ends_with("after\n"));
}

BOOST_AUTO_TEST_CASE(LinesAboveTheRateLimitAreDroppedAndCounted) {
  const Pipe Open;
  Instant Now(std::chrono::seconds(100));
  BoundedOutput Output({Open.m_Ends[1], 10, [&] { return Now; }});
  for (int Index = 0; Index < 25; ++Index) {
    if (Output.admits())
      Output.write("x\n");
  }
  BOOST_TEST(Output.droppedLines() == 15U);
  Now += std::chrono::seconds(1);
  BOOST_TEST(Output.admits());
  Output.write("y\n");
  BOOST_TEST(Output.droppedLines() == 15U);
  BOOST_TEST(Open.read().ends_with("y\n"));
}

BOOST_AUTO_TEST_CASE(OverlongLineIsTruncatedToOneLine) {
  const Pipe Open;
  BoundedOutput Output({Open.m_Ends[1], 0, [] { return Instant(); }});
  Output.write(std::string(100000, 'x') + "\n");
  const std::string Read = Open.read();
  BOOST_TEST(Read.find('\n') == Read.size() - 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
