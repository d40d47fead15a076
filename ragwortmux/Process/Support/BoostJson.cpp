// Boost.JSON is used header-only; only this file compiles its implementation.
#include <boost/json/src.hpp>
