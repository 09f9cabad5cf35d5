/** Runs every command of docs/CALLERS.md against a service, and compares its output with the `json` block that follows. */
#include "caller/tests/service_fixture.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

using namespace Tanagertally;
using namespace Tanagertally::Testing;

namespace {

/** A command of the page and its documented reply. */
struct Example {
    std::string command; ///< Content of the `sh` block.
    std::string reply; ///< Content of the `json` block that follows.
};

/** @return The fenced blocks of a page. Each `sh` block must be followed by a `json` block. */
std::vector<Example> readExamples(const std::string &file)
{
    std::ifstream page(file);
    BOOST_REQUIRE(page.is_open());
    std::vector<Example> examples;
    std::string *block = nullptr;
    std::string line;
    while (std::getline(page, line)) {
        if (line == "```sh") {
            BOOST_REQUIRE(examples.empty() || !examples.back().reply.empty());
            block = &examples.emplace_back().command;
        } else if (line == "```json") {
            BOOST_REQUIRE(!examples.empty() && examples.back().reply.empty());
            block = &examples.back().reply;
        } else if (line.starts_with("```")) {
            BOOST_REQUIRE(block && line == "```");
            block = nullptr;
        } else if (block) {
            *block += line + "\n";
        }
    }
    return examples;
}

std::string runShell(const std::string &server, const std::string &command)
{
    const std::string script = "SERVER='http://" + server + "'\n" + command;
    std::FILE *pipe = popen(script.c_str(), "r");
    BOOST_REQUIRE(pipe);
    std::string output;
    std::array<char, 4096> chunk{};
    while (const std::size_t size = std::fread(chunk.data(), 1, chunk.size(), pipe)) {
        output.append(chunk.data(), size);
    }
    BOOST_TEST(pclose(pipe) == 0, command);
    return output;
}

} // namespace

BOOST_AUTO_TEST_CASE(DocumentedExamplesReturnTheirReplies)
{
    RunningService running;
    running.service->execute(SetReadiness{true, ""});
    const std::vector<Example> examples = readExamples(CALLERS_PAGE);
    BOOST_TEST(examples.size() == 12U);
    for (const Example &example : examples) {
        const std::string output = runShell(running.address().value, example.command);
        BOOST_TEST(Json::parse(output, nullptr, false) == Json::parse(example.reply), example.command << " gave " << output);
    }
}
