// Messages on a link to an instance that is faulty, or to a process that is none. Guards against a message that ends the process which
// reads it, or that is decoded to a value that doesn't exist.
#include "cells/job_cbor.h"
#include "node/link_message.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using Json = nlohmann::json;

namespace {

constexpr std::size_t MessageBytes = 262144;

bool isRead(const Json &message)
{
    return decodeLinkMessage(toCborText(message)).has_value();
}

/** @return An advert of a cell with a changed field. */
Json advertWith(std::size_t field, const Json &value)
{
    Json cell = Json::array({"a", 3, 100, 4000, 2000, 1.5, Json::array({Json::array({"queue", 2})}), Json::array({"gpu"}), 4000, 4000});
    cell[field] = value;
    return Json::array({1, Json::array({false, 7, Json::array({cell}), 9})});
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddMessages)

// Guards against an overflow of the stack.
BOOST_AUTO_TEST_CASE(DeeplyNestedMessageIsUnreadable)
{
    for (const char first : {'\x81', '\xa1', '\x9f', '\xbf', '\x5f', '\x7f'}) {
        BOOST_TEST(decodeLinkMessage(std::string(MessageBytes, first)).has_error());
    }
}

// Guards against an answer to a caller that is chosen by a value outside the enumeration.
BOOST_AUTO_TEST_CASE(EnumerationOutOfRangeIsUnreadable)
{
    BOOST_TEST(isRead(Json::array({3, Json::array({1, 2, "overloaded", 1500, 0})})));
    BOOST_TEST(isRead(Json::array({4, Json::array({1, "a", "00000000000000a1", 1})})));
    BOOST_TEST(isRead(Json::array({5, Json::array({1, 0, 4})})));
    for (const Json &bad : std::vector<Json>{-1, 5, 256, 1e300, true, std::numeric_limits<std::uint64_t>::max()}) {
        BOOST_TEST(!isRead(Json::array({3, Json::array({1, bad, "", -1, 0})})), "verdict: " << bad);
        BOOST_TEST(!isRead(Json::array({3, Json::array({1, 1, "", -1, bad})})), "state of a submission: " << bad);
        BOOST_TEST(!isRead(Json::array({4, Json::array({1, "a", "00000000000000a1", bad})})), "question: " << bad);
        BOOST_TEST(!isRead(Json::array({5, Json::array({1, bad, 0})})), "kind: " << bad);
        BOOST_TEST(!isRead(Json::array({5, Json::array({1, 0, bad})})), "state: " << bad);
    }
}

// Guards against a delay that doesn't fit in nanoseconds.
BOOST_AUTO_TEST_CASE(DurationOutOfRangeIsUnreadable)
{
    for (const Json &bad : std::vector<Json>{std::numeric_limits<std::int64_t>::max(), 1e300, std::numeric_limits<std::uint64_t>::max()}) {
        BOOST_TEST(!isRead(Json::array({3, Json::array({1, 2, "overloaded", bad, 0})})), "retry after: " << bad);
        BOOST_TEST(!isRead(advertWith(2, bad)), "store silence: " << bad);
    }
    // A leader that has not stored anything yet.
    CellAdvert advert;
    advert.storeSilence = Duration::max();
    LinkAdvert message;
    message.cells.push_back(advert);
    const Result<LinkMessage> decoded = decodeLinkMessage(encodeLinkMessage(message));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((std::get<LinkAdvert>(decoded.value()).cells[0].storeSilence > std::chrono::hours(24 * 365)));
}

// Guards against sums over cells that overflow, and against loads that can't be compared.
BOOST_AUTO_TEST_CASE(LoadOutOfRangeIsUnreadable)
{
    BOOST_TEST(isRead(advertWith(4, -500)));
    const double infinity = std::numeric_limits<double>::infinity();
    for (const Json &bad :
         std::vector<Json>{std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(), 1e300, "1"}) {
        for (const std::size_t field : {3, 4, 8, 9}) {
            BOOST_TEST(!isRead(advertWith(field, bad)), "field " << field << ": " << bad);
        }
        BOOST_TEST(!isRead(advertWith(6, Json::array({Json::array({"queue", bad})}))), "pending jobs: " << bad);
        for (const std::size_t field : {1, 2, 3}) {
            Json room = Json::array({"e1", 8000, 1000, 0});
            BOOST_TEST(isRead(Json::array({10, Json::array({"a", Json::array({room})})})));
            room[field] = bad;
            BOOST_TEST(!isRead(Json::array({10, Json::array({"a", Json::array({room})})})), "room " << field << ": " << bad);
        }
    }
    for (const double bad : {infinity, -infinity, std::numeric_limits<double>::quiet_NaN()}) {
        BOOST_TEST(!isRead(advertWith(5, bad)), "waiting work: " << bad);
    }
}

// Guards against a read beyond the steps of a job that a faulty instance passes on.
BOOST_AUTO_TEST_CASE(SubmittedJobThatNoCallerCouldSubmitIsUnreadable)
{
    const auto submit = [](const Json &after) {
        const Json step = Json::array({1, 1000, 64, 0, 300, after, "", "", 0});
        return Json::array({2, Json::array({1, "a", "00000000000000a1", Json::array({Json::array({step}), Json::binary({'x'}), false}),
                                            Json::array({"queue", "service", 0, 2, 1.5, 60}), false})});
    };
    BOOST_TEST(isRead(submit(Json::array())));
    BOOST_TEST(!isRead(submit(Json::array({7}))));
}

BOOST_AUTO_TEST_SUITE_END()
