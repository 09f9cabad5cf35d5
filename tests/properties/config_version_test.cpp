#include "controllers/coordinator.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

/** A decision part with one peer, to which documents are offered. */
class OfferedConfigs
{
public:
    OfferedConfigs()
    {
        CoordinatorOptions options;
        options.identity = InstanceIdentity{InstanceName("e0"), FailureDomain("d0"), NetAddress("10.0.0.1:7000"), Incarnation(1)};
        this->coordinator = std::move(Coordinator::create(std::move(options)).value());
        const InstanceIdentity peer{InstanceName("e1"), FailureDomain("d0"), NetAddress("10.0.0.1:7001"), Incarnation(2)};
        this->handle(PeerUp{PeerId(1), Hello{PeerProtocolVersion, peer}});
    }

    /** @return The version in force after a document of this version was offered. */
    std::uint64_t offer(std::uint64_t version)
    {
        FleetConfig config;
        config.version = ConfigVersion(version);
        this->handle(PeerMessageReceived{PeerId(1), ConfigUpdate{config}});
        return this->coordinator->stats().configVersion;
    }

private:
    void handle(Event event)
    {
        this->now += 1ms;
        ActionList actions;
        this->coordinator->handle(this->now, std::move(event), actions);
    }

    std::unique_ptr<Coordinator> coordinator; ///< The decision part.
    TimePoint now{1s}; ///< Present time.
};

} // namespace

BOOST_AUTO_TEST_CASE(LowerVersionOfferedByAPeerIsNotPutInForce)
{
    OfferedConfigs configs;
    BOOST_CHECK_EQUAL(configs.offer(5), 5U);
    BOOST_CHECK_EQUAL(configs.offer(3), 5U);
    BOOST_CHECK_EQUAL(configs.offer(6), 6U);
    BOOST_CHECK_EQUAL(configs.offer(1), 6U);
}
