#define BOOST_TEST_MODULE blackboard
#include "blackboard/config_codec.h"
#include "blackboard/config_type.h"
#include "blackboard/duration_func.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagertally;

namespace {

constexpr std::string_view FullDocument
    = R"({"version":7,"kinds":[{"name":"lookup","idempotent":true,"urgency":"urgent","expectedRunTime":"80ms","concurrencyLimit":5,"hedged":true}],)"
      R"("teams":[{"name":"app","quota":400,"weight":3}],)"
      R"("policy":{"responseTimeWeight":2.5,"wastedMessageWeight":0.5,"retryBudget":0.2,"hedgeBudget":0.01,"maxQueueWait":"3s","ejectedShare":0.25}})";

/** An invalid document and the error that it must cause. */
struct BadDocument {
    const char *text; ///< JSON text of the document.
    const char *path; ///< Expected JSON path in Error::field.
    const char *expected; ///< Substring expected in Error::message.
};

std::ostream &operator<<(std::ostream &stream, const BadDocument &bad)
{
    return stream << bad.text;
}

const BadDocument BadDocuments[] = {
    {"{", "$", "JSON"},
    {"[]", "$", "object"},
    {R"({"kind":[]})", "kind", "unknown key"},
    {R"({"version":-1})", "version", "whole number"},
    {R"({"kinds":{}})", "kinds", "list"},
    {R"({"kinds":[3]})", "kinds[0]", "object"},
    {R"({"kinds":[{}]})", "kinds[0].name", "name"},
    {R"({"kinds":[{"name":"a b"}]})", "kinds[0].name", "name"},
    {R"({"kinds":[{"name":"a","idempotent":"yes"}]})", "kinds[0].idempotent", "true or false"},
    {R"({"kinds":[{"name":"a","urgency":"soon"}]})", "kinds[0].urgency", "urgent, normal or bulk"},
    {R"({"kinds":[{"name":"a","expectedRunTime":100}]})", "kinds[0].expectedRunTime", "duration"},
    {R"({"kinds":[{"name":"a","expectedRunTime":"0ms"}]})", "kinds[0].expectedRunTime", "duration"},
    {R"({"kinds":[{"name":"a","hedged":true}]})", "kinds[0].hedged", "not idempotent"},
    {R"({"kinds":[{"name":"a"},{"name":"a"}]})", "kinds[1].name", "earlier"},
    {R"({"teams":[{"name":"a","weight":0}]})", "teams[0].weight", "from 1 to"},
    {R"({"policy":{"retryBudget":1.5}})", "policy.retryBudget", "from 0 to 1"},
    {R"({"policy":{"maxQueueWait":"2"}})", "policy.maxQueueWait", "duration"},
    {R"({"policy":[]})", "policy", "object"},
};

} // namespace

BOOST_AUTO_TEST_CASE(ParsedDocumentIsSerializedUnchanged)
{
    const auto config = fleetConfigFromJson(FullDocument);
    BOOST_REQUIRE(config);
    BOOST_TEST(fleetConfigToJson(config.value()) == FullDocument);
}

BOOST_AUTO_TEST_CASE(MissingMembersHaveDefaultValues)
{
    const auto config = fleetConfigFromJson(R"({"kinds":[{"name":"confirm"}],"teams":[{"name":"app"}]})");
    BOOST_REQUIRE(config);
    const KindConfig *kind = findKind(config.value(), KindName("confirm"));
    BOOST_REQUIRE(kind);
    BOOST_TEST((kind->idempotence == Idempotence::NonIdempotent));
    BOOST_TEST((kind->urgency == Urgency::Normal));
    BOOST_TEST(!kind->hedged);
    const TeamConfig *team = findTeam(config.value(), TeamName("app"));
    BOOST_REQUIRE(team);
    BOOST_TEST(team->weight == 1u);
    BOOST_TEST((config.value().policy.maxQueueWait == PolicyConfig().maxQueueWait));
    BOOST_TEST(!findKind(config.value(), KindName("lookup")));
    BOOST_TEST(!findTeam(config.value(), TeamName("desk")));
}

BOOST_DATA_TEST_CASE(ErrorNamesPathAndExpectedValue, boost::unit_test::data::make(BadDocuments))
{
    const auto config = fleetConfigFromJson(sample.text);
    BOOST_REQUIRE(!config);
    BOOST_TEST(config.error().field == sample.path);
    BOOST_TEST((config.error().code == ErrorCode::BadInput));
    BOOST_TEST(config.error().message.find(sample.expected) != std::string::npos, config.error().message);
}

BOOST_AUTO_TEST_CASE(AllErrorsAreReported)
{
    const auto errors = validateFleetConfig(R"({"kinds":[{"name":"a","hedged":1}],"teams":[{}],"policy":{"ejectedShare":1}})");
    BOOST_REQUIRE(errors.size() == 3u);
    BOOST_TEST(errors[0].field == "kinds[0].hedged");
    BOOST_TEST(errors[1].field == "teams[0].name");
    BOOST_TEST(errors[2].field == "policy.ejectedShare");
}

BOOST_AUTO_TEST_CASE(DurationsRequireAUnit)
{
    BOOST_TEST((durationFromText("500ms").value() == std::chrono::milliseconds(500)));
    BOOST_TEST((durationFromText("2min").value() == std::chrono::minutes(2)));
    for (const char *bad : {"", "5", "ms", "-1s", "1.5s", "5 s", "5S", "9999999999h"}) {
        BOOST_TEST(!durationFromText(bad), bad);
    }
    for (const char *text : {"0s", "1500ms", "90s", "1h", "7ns"}) {
        BOOST_TEST(durationToText(durationFromText(text).value()) == text);
    }
}
