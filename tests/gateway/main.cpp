// Gateways as processes against stand-ins of the users' platform: the whole path, and each failure that was found at the bench.
#define BOOST_TEST_MODULE gateway
#include <boost/test/unit_test.hpp>
