#include "properties/schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace Tanagertally;

namespace {

/** @return Files of saved schedules; those named on TANAGERTALLY_SCHEDULE instead, if it is set. */
std::vector<std::string> savedSchedules()
{
    if (const char *only = std::getenv("TANAGERTALLY_SCHEDULE")) {
        return {only};
    }
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(TANAGERTALLY_SCHEDULES)) {
        files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

// Each of these broke an invariant once. TANAGERTALLY_SCHEDULE=FILE runs one file and prints its transcript.
BOOST_DATA_TEST_CASE(InvariantsHoldUnderSavedSchedule, boost::unit_test::data::make(savedSchedules()), path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const Result<SavedSchedule> schedule = parseSchedule(path, text.str());
    BOOST_REQUIRE_MESSAGE(schedule.has_value(), (schedule ? "" : schedule.error().field + ": " + schedule.error().message));
    Session::TraceHandler trace;
    if (std::getenv("TANAGERTALLY_SCHEDULE") != nullptr) {
        trace = [](TimePoint at, const std::string &line) {
            std::cout << std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count() << " " << line << "\n";
        };
    }
    const ScheduleResult result = runSchedule(schedule.value().seed, schedule.value().steps, trace);
    for (const std::string &violation : result.violations) {
        BOOST_ERROR(path << ": " << violation);
    }
}
