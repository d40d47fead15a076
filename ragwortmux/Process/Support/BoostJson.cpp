// The one source that holds the code of Boost.JSON, which is used header-only.
#include <boost/json/src.hpp>
