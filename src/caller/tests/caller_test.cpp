#define BOOST_TEST_MODULE caller
#include <boost/test/unit_test.hpp>
