// Process tests: separate processes on loopback, with failures brought about by signals, cuts and outages.
#define BOOST_TEST_MODULE process
#include <boost/test/unit_test.hpp>
