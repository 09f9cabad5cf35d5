#include "node/memory_meter.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

struct MeasuredHeap {
    std::size_t bytes = 0;
    std::size_t measurements = 0;
    TimePoint now = TimePoint(1s);
    MemoryMeter meter{6400, [this] {
                          ++this->measurements;
                          return this->bytes;
                      }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryMeters)

// Guards against accepted jobs without a bound.
BOOST_FIXTURE_TEST_CASE(JobsAreAdmittedUpToTheLimit, MeasuredHeap)
{
    this->bytes = 6000;
    BOOST_TEST(this->meter.admit(this->now, 300));
    this->bytes += 300;
    BOOST_TEST(!this->meter.admit(this->now, 300));
    BOOST_TEST(this->meter.admit(this->now, 100));
    this->bytes += 100;
    BOOST_TEST(this->meter.admitTransient(this->now, 700));
    BOOST_TEST(!this->meter.admitTransient(this->now, 900));
}

BOOST_FIXTURE_TEST_CASE(JobsAdmittedSinceTheMeasurementCount, MeasuredHeap)
{
    std::size_t admitted = 0;
    while (admitted < 1000 && this->meter.admit(this->now, 100)) {
        ++admitted;
        this->bytes += 100;
    }
    BOOST_TEST(admitted == 64U);
    BOOST_TEST(this->measurements < admitted);
}

BOOST_FIXTURE_TEST_CASE(MemoryThatWasFreedIsUsedAgain, MeasuredHeap)
{
    this->bytes = 6400;
    BOOST_TEST(!this->meter.admit(this->now, 100));
    this->bytes = 0;
    this->now += 20ms;
    BOOST_TEST(this->meter.admit(this->now, 100));
}

BOOST_FIXTURE_TEST_CASE(RefusalsDontMeasureEachTime, MeasuredHeap)
{
    this->bytes = 6400;
    for (int refusal = 0; refusal < 100; ++refusal) {
        BOOST_TEST(!this->meter.admit(this->now, 100));
    }
    BOOST_TEST(this->measurements == 1U);
}

BOOST_AUTO_TEST_CASE(HeapInUseGrowsByWhatIsAllocated)
{
    constexpr std::size_t Bytes = 50'000'000;
    const std::size_t before = measureHeapBytes();
    const std::vector<char> block(Bytes);
    BOOST_TEST(measureHeapBytes() >= before + Bytes);
}

BOOST_AUTO_TEST_SUITE_END()
