#include "daemon/daemon.h"

#include "daemon/control_thread.h"
#include "daemon/daemon_adapters.h"
#include "daemon/log.h"
#include "daemon/shared_stats.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>

#include <array>
#include <csignal>
#include <random>
#include <thread>
#include <vector>

namespace Tanagertally {

namespace {

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/** Threads that run an io_context until destruction. */
class TrafficThreads
{
public:
    TrafficThreads(boost::asio::io_context &context, std::uint32_t count)
        : io(context)
        , workGuard(context.get_executor())
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            this->threads.emplace_back([this] { this->io.run(); });
        }
    }

    ~TrafficThreads()
    {
        this->io.stop();
    }

    TrafficThreads(const TrafficThreads &) = delete;
    TrafficThreads &operator=(const TrafficThreads &) = delete;

private:
    boost::asio::io_context &io; ///< Context that the threads run.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        workGuard; ///< Keeps run() from returning while there is no work.
    std::vector<std::jthread> threads; ///< Joined on destruction.
};

/** Pushes StopRequested on the first SIGTERM or SIGINT and ignores later ones. */
class StopSignalHandler
{
public:
    StopSignalHandler(boost::asio::io_context &io, EventQueue &queue)
        : signals(io, SIGTERM, SIGINT)
        , events(queue)
    {
        this->wait();
    }

private:
    void wait()
    {
        this->signals.async_wait([this](const boost::system::error_code &error, int) {
            if (error) {
                return;
            }
            if (!this->isStopRequested) {
                this->isStopRequested = true;
                this->events.push(StopRequested{});
            }
            this->wait();
        });
    }

    boost::asio::signal_set signals;
    EventQueue &events; ///< Receives StopRequested.
    bool isStopRequested = false; ///< StopRequested has been pushed. Unguarded: only one handler is pending at a time.
};

CoordinatorOptions coordinatorOptions(const Settings &settings, const InstanceIdentity &identity)
{
    CoordinatorOptions options;
    options.identity = identity;
    options.seed = randomNumber();
    options.peers = settings.peers;
    options.initialConfig = settings.fleet;
    return options;
}

std::vector<LogField> identityFields(const InstanceIdentity &identity)
{
    return {{"instance", identity.name.value},
            {"domain", identity.domain.value},
            {"peer_address", identity.peerAddress.value},
            {"incarnation", std::to_string(identity.incarnation.value)}};
}

} // namespace

Result<void> runDaemon(const Settings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto log = EventLog::create(settings.logLevel);
    const InstanceIdentity identity{settings.name, settings.domain, settings.peerListen, Incarnation(randomNumber())};
    EventQueue events;
    SharedStats sharedStats;
    boost::asio::io_context io;
    const StopSignalHandler stopSignals(io, events);
    BOOST_OUTCOME_TRY(auto coordinator, Coordinator::create(coordinatorOptions(settings, identity)));
    BOOST_OUTCOME_TRY(const auto adapters, DaemonAdapters::create(AdapterContext{io, events, sharedStats, *log}, settings, identity));
    BOOST_OUTCOME_TRY(const auto control, ControlThread<DaemonAdapters>::create(std::move(coordinator), events, *adapters, sharedStats));
    log->write(LogLevel::Info, "started", identityFields(identity));
    const TrafficThreads traffic(io, settings.trafficThreads);
    control->run();
    log->write(LogLevel::Info, "stopped", identityFields(identity));
    return boost::outcome_v2::success();
}

} // namespace Tanagertally
