// Unit tests of decisions, settings and decoding. They start no process and read no clock.
#define BOOST_TEST_MODULE unit
#include <boost/test/unit_test.hpp>
