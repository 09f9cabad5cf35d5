#define BOOST_TEST_MODULE process_faults
#include <boost/test/unit_test.hpp>
