#include "process_tools.h"

#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <iostream>
#include <stdexcept>
#include <thread>

namespace Tanagertally::ProcessTests {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);
// Below the range from which the system gives ports to outgoing connections.
constexpr std::uint32_t FirstPort = 20'000;
constexpr std::uint32_t BlockCount = 120;
constexpr std::uint32_t PortsPerBlock = 100;
constexpr std::size_t MaxBlocks = 20; // In one reservation, so that a long run leaves ports for other programs.
constexpr std::size_t UniqueLetters = 6; ///< That mkdtemp() replaces.

bool isFree(std::uint16_t port)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, boost::asio::ip::tcp::v4());
    boost::system::error_code error;
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    return !error;
}

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

std::uint16_t PortReservation::drawPort()
{
    const std::lock_guard lock(this->mutex);
    for (std::size_t attempt = 0; attempt < MaxBlocks * PortsPerBlock; ++attempt) {
        if (this->drawn == this->blocks.size() * PortsPerBlock && !this->reserveBlock()) {
            this->drawn = 0;
        }
        if (this->blocks.empty()) {
            break;
        }
        const auto port = static_cast<std::uint16_t>(this->blocks[this->drawn / PortsPerBlock].first + this->drawn % PortsPerBlock);
        ++this->drawn;
        if (isFree(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

bool PortReservation::reserveBlock()
{
    using Udp = boost::asio::ip::udp;
    if (this->blocks.size() == MaxBlocks) {
        return false;
    }
    for (std::uint32_t number = 0; number < BlockCount; ++number) {
        const std::uint32_t block = (static_cast<std::uint32_t>(getpid()) + number) % BlockCount;
        const auto first = static_cast<std::uint16_t>(FirstPort + block * PortsPerBlock);
        Udp::socket lock(this->io, Udp::v4());
        boost::system::error_code error;
        lock.bind({boost::asio::ip::address_v4::loopback(), first}, error);
        if (!error) {
            this->blocks.push_back({first, std::move(lock)});
            return true;
        }
    }
    return false;
}

std::uint16_t freePort()
{
    static PortReservation reservation;
    return reservation.drawPort();
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
