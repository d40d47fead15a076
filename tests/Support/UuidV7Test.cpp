#include "ragwortmux/Process/Support/UuidV7.h"
#include "ragwortmux/Version/RequestKeyTime.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

constexpr std::array<const char *, 8> Malformed = {
    "",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0",
    "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
    "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
    "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
    "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
    "017f22e2-79g0-7cc3-98c4-dc0c0c07398f"};

} // namespace

BOOST_AUTO_TEST_SUITE(UuidV7Test)

BOOST_AUTO_TEST_CASE(KeyContainsTimeVersionAndVariant) {
  std::uint64_t Bits = ~0ULL;
  const RequestKey Ones =
      makeRequestKey(WallTime(1645557742000ms), [&] { return Bits; });
  BOOST_TEST(Ones.value() == "017f22e2-79b0-7fff-bfff-ffffffffffff");
  Bits = 0;
  const RequestKey Zeros = makeRequestKey(WallTime(0ms), [&] { return Bits; });
  BOOST_TEST(Zeros.value() == "00000000-0000-7000-8000-000000000000");
}

BOOST_AUTO_TEST_CASE(TimeRoundTrips) {
  for (const auto Time : {0ms, 1ms, 1645557742000ms, 281474976710655ms}) {
    const RequestKey Key =
        makeRequestKey(WallTime(Time), [] { return 0x123456789abcdefULL; });
    const std::optional<WallTime> Read = uuidV7Time(Key.value());
    BOOST_TEST_REQUIRE(Read.has_value());
    BOOST_TEST(Read->time_since_epoch().count() == Time.count());
    // The request ledger reads the same key and the same time.
    BOOST_TEST((canonicalRequestKey(Key) == Key));
    BOOST_TEST((requestKeyTime(Key) == Read));
  }
}

BOOST_DATA_TEST_CASE(MalformedUuidsHaveNoTime,
                     boost::unit_test::data::make(Malformed), Text) {
  BOOST_TEST(!uuidV7Time(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
