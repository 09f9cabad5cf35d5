// Links between two real transports on loopback.
#include "node/peer_bus.h"
#include "process_tools.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

NetAddress freeAddress()
{
    return NetAddress("127.0.0.1:" + std::to_string(ProcessTests::freePort()));
}

/** A bus that notes what it hears. */
struct Side {
    boost::asio::io_context &io;
    InstanceRecord record;
    std::vector<std::string> asked;
    std::vector<std::string> replied;
    std::size_t linked = 0;
    std::size_t lost = 0;
    std::size_t askersLost = 0;
    std::unique_ptr<PeerBus> bus;

    Side(boost::asio::io_context &context, const std::string &name)
        : io(context)
        , record{InstanceName(name), Incarnation(1), freeAddress(), FailureDomain("d"), 1, false}
    {
        NodeLinkHandlers handlers;
        handlers.linked = [this](const InstanceName &) { ++this->linked; };
        handlers.lost = [this](const InstanceName &, bool) { ++this->lost; };
        handlers.asked = [this](LinkHandle handle, const std::string &bytes) {
            this->asked.push_back(bytes);
            this->bus->links().reply(handle, "reply to " + bytes);
        };
        handlers.replied = [this](const InstanceName &, const std::string &bytes) { this->replied.push_back(bytes); };
        handlers.askerLost = [this](LinkHandle) { ++this->askersLost; };
        this->bus = PeerBus::create(this->io, this->record.peerAddress, "hello of " + name, handlers).value();
    }

    ~Side()
    {
        this->bus->shutDown();
    }
};

struct TwoSides {
    boost::asio::io_context io{1};
    Side left{this->io, "left"};
    Side right{this->io, "right"};

    bool runUntil(const std::function<bool()> &holds, std::chrono::milliseconds limit = 3s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!holds() && std::chrono::steady_clock::now() < end) {
            this->left.bus->links().tick();
            this->right.bus->links().tick();
            this->io.run_for(10ms);
            this->io.restart();
        }
        return holds();
    }

    void link()
    {
        this->left.bus->links().setPeers(std::vector<InstanceRecord>{this->right.record});
        BOOST_REQUIRE(this->runUntil([this] { return this->left.linked == 1 && this->right.asked.size() == 1; }));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinks)

BOOST_FIXTURE_TEST_CASE(MessagesAndRepliesPass, TwoSides)
{
    this->link();
    BOOST_TEST(this->right.asked.front() == "hello of left");
    BOOST_TEST(this->left.bus->links().send(this->right.record.name, "question"));
    BOOST_TEST(this->runUntil([this] { return this->left.replied.size() == 2; }));
    BOOST_TEST(this->left.replied.back() == "reply to question");
}

BOOST_FIXTURE_TEST_CASE(LinkStaysWhenThePeerMakesItsNewIncarnationKnown, TwoSides)
{
    this->link();
    // The peer was started again and dialled again before its row was read.
    this->right.record.incarnation = Incarnation(2);
    this->left.bus->links().setPeers(std::vector<InstanceRecord>{this->right.record});
    BOOST_TEST(this->left.bus->links().send(this->right.record.name, "question"));
    BOOST_TEST(this->runUntil([this] { return this->left.replied.size() == 2; }));
    BOOST_TEST(this->right.askersLost == 0U);
    BOOST_TEST(this->left.lost == 0U);
}

BOOST_FIXTURE_TEST_CASE(LinkToAnAddressThatIsNoLongerUsedCountsAsLost, TwoSides)
{
    this->link();
    this->right.record.peerAddress = freeAddress();
    this->left.bus->links().setPeers(std::vector<InstanceRecord>{this->right.record});
    BOOST_TEST(this->left.lost == 1U);
    this->left.bus->links().setPeers({});
    BOOST_TEST(!this->left.bus->links().isLinked(this->right.record.name));
}

BOOST_AUTO_TEST_SUITE_END()
