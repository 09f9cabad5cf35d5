#include "daemon/settings.h"
#include "daemon/settings_table.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Tanagertally;

namespace {

constexpr std::string_view Minimal = R"(instance:
  name: e1
  domain: dc1
listen:
  peer: 127.0.0.1:7001
  caller: 127.0.0.1:8001
  operator: 127.0.0.1:8101
peer:
  key: peer-secret-0123456789
platform:
  address: 127.0.0.1:9000
teams:
  - name: app
    key: team-secret-0123456789
operators:
  - name: amal
    key: operator-secret-0123456789
)";

/** An edit of the minimal settings that makes them invalid, and the error line that it has to cause. */
struct BadChange {
    const char *from; ///< Text of the minimal settings to replace.
    const char *to; ///< Replacement.
    const char *error; ///< Start of the expected error line.
    const char *expected; ///< Text that the rest of the line has to contain.
};

std::ostream &operator<<(std::ostream &stream, const BadChange &change)
{
    return stream << change.to;
}

const BadChange BadChanges[] = {
    {"  name: e1\n", "", "s.yaml:1: instance.name: ", "missing"},
    {"  name: e1\n", "  name: e 1\n", "s.yaml:2: instance.name: ", "a name of 1 to 64"},
    {"  name: e1\n", "  name: e1\n  name: e2\n", "s.yaml:3: instance.name: ", "each key once"},
    {"  name: e1\n", "  name: e1\n  zone: a\n", "s.yaml:3: instance.zone: ", "unknown key; expected one of name, domain"},
    {"listen:\n", "lisen:\n", "s.yaml:4: lisen: ", "unknown key"},
    {"127.0.0.1:8001", "localhost:8001", "s.yaml:6: listen.caller: ", "IP:port"},
    {"127.0.0.1:8001", "127.0.0.1:70000", "s.yaml:6: listen.caller: ", "IP:port"},
    {"127.0.0.1:8001", "127.0.0.1:7001", "s.yaml:6: listen.caller: ", "no other listener"},
    {"127.0.0.1:7001", "0.0.0.0:7001", "s.yaml:5: listen.peer: ", "peers can open links to"},
    {"peer:\n", "peer:\n  addresses: [127.0.0.1:1, here]\n", "s.yaml:9: peer.addresses[1]: ", "IP:port"},
    {"  key: peer-secret-0123456789\n", "  keyFile: /no/such/file\n", "s.yaml:8: peer.keyFile: ", "first line"},
    {"platform:\n", "platform:\n  listInterval: 500\n", "s.yaml:11: platform.listInterval: ", "a duration with a unit from 100ms to 1min"},
    {"platform:\n", "platform:\n  listInterval: 1ms\n", "s.yaml:11: platform.listInterval: ", "a duration with a unit from 100ms to 1min"},
    {"platform:\n", "platform:\n  connections: many\n", "s.yaml:11: platform.connections: ", "a whole number from 1 to 64"},
    {"platform:\n", "platform:\n  connections: 65\n", "s.yaml:11: platform.connections: ", "a whole number from 1 to 64"},
    {"platform:\n", "limits:\n  peerMessageBytes: 16MB\nplatform:\n", "s.yaml:11: limits.peerMessageBytes: ", "a size with a unit"},
    {"platform:\n", "log:\n  level: loud\nplatform:\n", "s.yaml:11: log.level: ", "one of debug, info, warning, error"},
    {"    key: team-secret-0123456789\n", "", "s.yaml:13: teams[0].key: ", "missing"},
    {"teams:\n", "teams:\n  - {name: app, key: team-secret-0123456789}\n", "s.yaml:14: teams[1].name: ", "no earlier entry"},
    {"operators:\n", "fleet:\n  kinds:\n    - name: a\n      urgency: soon\noperators:\n",
     "s.yaml:18: fleet.kinds[0].urgency: ", "urgent, normal or bulk"},
    {"operators:\n", "fleet:\n  kinds:\n    - name: a\n      nmae: b\noperators:\n", "s.yaml:18: fleet.kinds[0].nmae: ", "unknown key"},
    {"instance:\n", "instance: [\n", "s.yaml:", "expected YAML"},
};

std::string minimalWith(const char *from, const char *to)
{
    std::string text(Minimal);
    text.replace(text.find(from), std::string_view(from).size(), to);
    return text;
}

std::string errorLines(const SettingsResult &settings)
{
    std::string lines;
    if (settings) {
        return lines;
    }
    for (const Error &error : settings.error()) {
        lines += settingsErrorLine(error) + "\n";
    }
    return lines;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

const std::filesystem::path SourceFolder(TANAGERTALLY_SOURCE_DIR);

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(MinimalSettingsUseTheDefaultsOfTheTable)
{
    const SettingsResult settings = readSettings(Minimal, "s.yaml");
    BOOST_REQUIRE_MESSAGE(settings, errorLines(settings));
    BOOST_TEST(settings.value().name.value == "e1");
    BOOST_TEST(settings.value().teams.at(0).key == "team-secret-0123456789");
    BOOST_TEST((settings.value().platformListInterval == std::chrono::milliseconds(500)));
    BOOST_TEST(settings.value().limits.peerMessageBytes == 16u << 20);
    BOOST_TEST(settings.value().trafficThreads == 2u);
    BOOST_TEST(!settings.value().fleet);
}

BOOST_DATA_TEST_CASE(InvalidSettingIsReportedWithLineAndKey, boost::unit_test::data::make(BadChanges))
{
    const SettingsResult settings = readSettings(minimalWith(sample.from, sample.to), "s.yaml");
    BOOST_REQUIRE(!settings);
    const std::string lines = errorLines(settings);
    const std::size_t start = lines.find(sample.error);
    BOOST_REQUIRE_MESSAGE(start != std::string::npos, lines);
    const std::string line = lines.substr(start, lines.find('\n', start) - start);
    BOOST_TEST(line.find(sample.expected) != std::string::npos, line);
}

BOOST_AUTO_TEST_CASE(ErrorsAreReportedInLineOrder)
{
    const SettingsResult settings = readSettings("instance: {name: '', color: red}\nplatform: {address: here}\n", "s.yaml");
    BOOST_REQUIRE(!settings);
    const std::string lines = errorLines(settings);
    for (const char *key :
         {"instance.name", "instance.color", "instance.domain", "platform.address", "listen.peer", "teams", "operators"}) {
        BOOST_TEST(lines.find(std::string(": ") + key + ": ") != std::string::npos, key);
    }
    BOOST_TEST(settings.error().back().field == "s.yaml:2: platform.address");
}

BOOST_AUTO_TEST_CASE(ErrorsNeverContainSecrets)
{
    for (const char *bad : {"    key: short-secret\n", "    key: [list-secret-0123456789]\n", "    key: spaced secret 0123456789\n"}) {
        const SettingsResult settings = readSettings(minimalWith("    key: team-secret-0123456789\n", bad), "s.yaml");
        BOOST_REQUIRE(!settings);
        const std::string lines = errorLines(settings);
        BOOST_TEST(lines.find("teams[0].key") != std::string::npos, lines);
        BOOST_TEST(lines.find("secret-0123456789") == std::string::npos, lines);
        BOOST_TEST(lines.find("short-secret") == std::string::npos, lines);
        BOOST_TEST(lines.find("spaced secret") == std::string::npos, lines);
    }
}

BOOST_AUTO_TEST_CASE(PeerKeyFileIsRelativeToTheSettingsFile)
{
    const auto folder = std::filesystem::temp_directory_path() / ("settings_test." + std::to_string(getpid()));
    std::filesystem::create_directory(folder);
    std::ofstream(folder / "peer.key") << "key-from-a-file-0123456789\n";
    const std::string text = minimalWith("  key: peer-secret-0123456789\n", "  keyFile: peer.key\n");
    const SettingsResult settings = readSettings(text, (folder / "s.yaml").string());
    BOOST_REQUIRE_MESSAGE(settings, errorLines(settings));
    BOOST_TEST(settings.value().peerKey == "key-from-a-file-0123456789");
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_CASE(FleetConfigurationIsReadFromYaml)
{
    const std::string text = minimalWith("operators:\n", "fleet:\n  kinds: [{name: lookup, idempotent: true, expectedRunTime: 80ms}]\n"
                                                         "  policy: {retryBudget: 0.2}\noperators:\n");
    const SettingsResult settings = readSettings(text, "s.yaml");
    BOOST_REQUIRE_MESSAGE(settings, errorLines(settings));
    BOOST_REQUIRE(settings.value().fleet);
    BOOST_TEST((settings.value().fleet->kinds.at(0).expectedRunTime == std::chrono::milliseconds(80)));
    BOOST_TEST(settings.value().fleet->policy.retryBudget == 0.2);
}

BOOST_AUTO_TEST_CASE(ReferencePageMatchesTheTable)
{
    BOOST_TEST(readFile(SourceFolder / "docs/SETTINGS.md") == settingsReference());
}

BOOST_AUTO_TEST_CASE(ShippedExamplesAreValid)
{
    for (const char *name : {"examples/riyad.yaml", "examples/inyange.yaml"}) {
        const SettingsResult settings = readSettingsFile((SourceFolder / name).string());
        BOOST_TEST(settings.has_value(), errorLines(settings));
    }
}

BOOST_AUTO_TEST_SUITE_END()
