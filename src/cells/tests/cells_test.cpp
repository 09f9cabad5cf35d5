#define BOOST_TEST_MODULE cells
#include <boost/test/unit_test.hpp>
