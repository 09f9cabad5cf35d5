/** What tests of processes share: a folder for their files, free ports, and waiting. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

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

/**
 * Ports that no other reservation on this machine draws, so that a process that a test starts later, or starts again, finds its port free.
 * Thread safety: any thread.
 */
class PortReservation
{
public:
    /**
     * @return A TCP port on loopback that nothing listens at. Ports repeat once this reservation has drawn 2,000. Throws
     * std::runtime_error if there is none.
     */
    std::uint16_t drawPort();

private:
    /** Consecutive ports that belong to this reservation while it holds the UDP socket at the first of them. */
    struct Block {
        std::uint16_t first = 0; ///< The first port.
        boost::asio::ip::udp::socket lock; ///< Bound to that port, which leaves it free for TCP.
    };

    bool reserveBlock();

    std::mutex mutex; ///< Guards all members below.
    boost::asio::io_context io; ///< Owner of the sockets; never runs.
    std::vector<Block> blocks; ///< Blocks that are reserved.
    std::size_t drawn = 0; ///< Number of ports drawn since the first one of the first block.
};

/** @return A port drawn from the reservation of this process. */
std::uint16_t freePort();

/** Wait until a condition holds. @return Whether it came to hold within the time. */
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(30));

} // namespace Tanagertally::ProcessTests
