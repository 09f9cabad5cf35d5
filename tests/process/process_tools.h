/** What tests of processes share: a folder for their files, free ports, and waiting. */
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>

namespace Tanagertally::ProcessTests {

/** A folder for the files of one test, removed at its end unless TANAGERTALLY_KEEP_FILES is set. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /** @return The path of a file in the folder. */
    std::filesystem::path file(const std::string &name) const;

    /** Don't remove it. @return Its path. */
    std::filesystem::path keep();

private:
    std::filesystem::path path; ///< The folder.
    bool isKept = false; ///< Whether it stays.
};

/** @return A TCP port on loopback that nothing listens at and that this process has not been given before. */
std::uint16_t freePort();

/** Wait until a condition holds. @return Whether it came to hold within the time. */
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(30));

} // namespace Tanagertally::ProcessTests
