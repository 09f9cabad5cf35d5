#define BOOST_TEST_MODULE core
#include "core/verdict_type.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;

BOOST_AUTO_TEST_CASE(CombinedVerdictIsTheStrongerOne)
{
    BOOST_TEST((combine(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun));
    BOOST_TEST((combine(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun));
    BOOST_TEST((combine(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran));
    BOOST_TEST(toString(Verdict::MayHaveRun) == "may-have-run");
}
