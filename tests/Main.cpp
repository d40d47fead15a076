#define BOOST_TEST_MODULE ragwortmux
#include <boost/test/unit_test.hpp>
