// Unit tests: decisions, settings, decoding. No process is started and no clock is read.
#define BOOST_TEST_MODULE unit
#include <boost/test/unit_test.hpp>
