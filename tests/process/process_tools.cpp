#include "process_tools.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <atomic>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace Tanagertally::ProcessTests {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);
// Below the range from which the system gives ports to outgoing connections.
constexpr std::uint32_t FirstPort = 20'000;
constexpr std::uint32_t PortCount = 12'000;
constexpr std::size_t UniqueLetters = 6; ///< That mkdtemp() replaces.
constexpr std::uint32_t PortsPerProcess = 100; ///< Keeps processes that run at once apart.

} // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / ("tanagertally." + std::string(UniqueLetters, 'X'))).string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't make a temporary folder");
    }
    this->path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    if (this->isKept || std::getenv("TANAGERTALLY_KEEP_FILES") != nullptr) {
        std::cerr << "files kept in " << this->path << '\n';
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
}

std::filesystem::path TemporaryFolder::file(const std::string &name) const
{
    return this->path / name;
}

std::filesystem::path TemporaryFolder::keep()
{
    this->isKept = true;
    return this->path;
}

std::uint16_t freePort()
{
    static std::atomic<std::uint32_t> next = static_cast<std::uint32_t>(getpid()) * PortsPerProcess;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor acceptor(io, boost::asio::ip::tcp::v4());
        boost::system::error_code error;
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        if (!error) {
            return port;
        }
    }
}

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace Tanagertally::ProcessTests
