#include "lagging_list.h"
#include "platform_codec.h"
#include "rate_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally::Standins;

BOOST_AUTO_TEST_SUITE(PlatformParts)

BOOST_AUTO_TEST_CASE(WritesTakeEffectTogetherOrNotAtAll)
{
    PlatformTable table;
    const TransactionResult first = table.transact({{{"a", 0}, {"b", 0}}, {{"a", "1"}, {"b", "2"}}});
    BOOST_TEST_REQUIRE(first.committed);
    const TransactionResult second = table.transact({{{"a", first.rows[0].version}, {"b", 0}}, {{"a", "x"}, {"c", "x"}}});
    BOOST_TEST(!second.committed);
    BOOST_TEST(table.read({{"a"}, {}, 10})[0].value.value() == "1");
    BOOST_TEST(table.read({{"c"}, {}, 10}).empty());
}

BOOST_AUTO_TEST_CASE(VersionsGrowOverTheWholeTableAndAreNeverUsedAgain)
{
    PlatformTable table;
    const TransactionResult first = table.transact({{}, {{"a", "1"}, {"b", "1"}}});
    const TransactionResult removal = table.transact({{{"a", first.rows[0].version}}, {{"a", std::nullopt}}});
    const TransactionResult again = table.transact({{{"a", 0}}, {{"a", "2"}}});
    BOOST_TEST_REQUIRE(again.committed);
    BOOST_TEST(first.rows[0].version < first.rows[1].version);
    BOOST_TEST(first.rows[1].version < removal.rows[0].version);
    BOOST_TEST(removal.rows[0].version < again.rows[0].version);
    const TransactionResult stale = table.transact({{{"a", first.rows[0].version}}, {{"a", "3"}}});
    BOOST_TEST(!stale.committed);
}

BOOST_AUTO_TEST_CASE(ConflictNamesEachRowWhoseConditionFailedAsItIs)
{
    PlatformTable table;
    const TransactionResult first = table.transact({{}, {{"a", "1"}, {"b", "2"}}});
    const TransactionResult conflict = table.transact({{{"a", 0}, {"b", first.rows[1].version}, {"none", 9}}, {{"b", "x"}}});
    BOOST_TEST_REQUIRE(conflict.rows.size() == 2U);
    BOOST_TEST(conflict.rows[0].key == "a");
    BOOST_TEST(conflict.rows[0].value.value() == "1");
    BOOST_TEST(conflict.rows[0].version == first.rows[0].version);
    BOOST_TEST(conflict.rows[1].key == "none");
    BOOST_TEST(!conflict.rows[1].value.has_value());
    BOOST_TEST(conflict.rows[1].version == 0U);
}

BOOST_AUTO_TEST_CASE(PrefixReadsKeepKeyOrderAndLimit)
{
    PlatformTable table;
    table.transact({{}, {{"p/2", "2"}, {"p/1", "1"}, {"p/3", "3"}, {"q", "4"}, {"o", "0"}}});
    const std::vector<Row> rows = table.read({{"q", "none"}, {"p/"}, 2});
    BOOST_TEST_REQUIRE(rows.size() == 3U);
    BOOST_TEST(rows[0].key == "q");
    BOOST_TEST(rows[1].key == "p/1");
    BOOST_TEST(rows[2].key == "p/2");
    BOOST_TEST(table.dump("").size() == 5U);
    BOOST_TEST(table.counters().reads == 1U);
    BOOST_TEST(table.counters().rowsWritten == 5U);
}

BOOST_AUTO_TEST_CASE(MalformedTransactionsAreRefusedByField)
{
    BOOST_TEST(readTransaction(R"({"writes":[{"key":"a","value":null}]})").has_value());
    BOOST_TEST(readTransaction(R"({"writes":[{"key":"a"}]})").error().field == "value");
    BOOST_TEST(readTransaction(R"({"writes":[{"key":"","value":"x"}]})").error().field == "key");
    BOOST_TEST(readTransaction(R"({"writes":[{"key":"a","value":7}]})").error().field == "value");
    BOOST_TEST(readTransaction(R"({"conditions":[{"key":"a"}]})").error().field == "version");
    BOOST_TEST(readTransaction(R"({"conditions":[{"key":"a","version":-1}]})").error().field == "version");
    BOOST_TEST(readTransaction(R"({"condition":[]})").error().field == "condition");
    BOOST_TEST(readTransaction("[").error().field == "body");
    BOOST_TEST(decodePercent("a%2Fb").value() == "a/b");
    BOOST_TEST(decodePercent("a%2").has_error());
    BOOST_TEST(decodePercent("a%zz").has_error());
}

BOOST_AUTO_TEST_CASE(ListShowsChangesOnlyAfterTheLag)
{
    using std::chrono::seconds;
    const LaggingList::TimePoint start;
    LaggingList list(seconds(2));
    list.changeAtOnce(EndpointEntry{"w1", "r1", "dc1", "127.0.0.1:1", 8, false});
    list.change(start, InstanceEntry{"e1", "dc1", "127.0.0.1:2", false});
    list.change(start + seconds(1), EndpointGone{"w1"});
    BOOST_TEST(list.truth().endpoints.empty());
    BOOST_TEST(list.shown(start + seconds(1)).instances.empty());
    BOOST_TEST(list.shown(start + seconds(2)).instances.size() == 1U);
    BOOST_TEST(list.shown(start + seconds(2)).endpoints.size() == 1U);
    BOOST_TEST(list.shown(start + seconds(3)).endpoints.empty());
    list.change(start + seconds(4), InstanceEntry{"e1", "dc1", "127.0.0.1:2", true});
    list.setLag(seconds(10));
    BOOST_TEST(!list.shown(start + seconds(13)).instances.at("e1").leaving);
    BOOST_TEST(list.shown(start + seconds(14)).instances.at("e1").leaving);
}

BOOST_AUTO_TEST_CASE(AChangeAtOnceIsNotUndoneByAnEarlierOne)
{
    using std::chrono::seconds;
    const LaggingList::TimePoint start;
    LaggingList list(seconds(2));
    list.change(start, InstanceEntry{"e1", "dc1", "127.0.0.1:2", false});
    list.change(start, InstanceEntry{"e2", "dc1", "127.0.0.1:3", false});
    list.changeAtOnce(InstanceGone{"e1"});
    const MemberList shown = list.shown(start + seconds(3));
    BOOST_TEST(!shown.instances.contains("e1"));
    BOOST_TEST(shown.instances.contains("e2"));
}

BOOST_AUTO_TEST_CASE(LimiterSpacesTurnsAndRefusesWaitsThatAreTooLong)
{
    using std::chrono::milliseconds;
    const RateLimiter::TimePoint start{std::chrono::hours(1)};
    RateLimiter limiter(100.0, milliseconds(15));
    BOOST_TEST((limiter.reserve(start) == milliseconds(0)));
    BOOST_TEST((limiter.reserve(start) == milliseconds(10)));
    BOOST_TEST(!limiter.reserve(start).has_value());
    BOOST_TEST((limiter.reserve(start + milliseconds(5)) == milliseconds(15)));
    BOOST_TEST((limiter.reserve(start + milliseconds(500)) == milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
