/** Program of the stand-ins: endpoints, platform and control port in one process. */
#include "control.h"

#include <CLI/CLI.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <thread>

namespace {

using namespace Tanagertally;
using namespace Tanagertally::Standins;

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;

/** Arguments as they are written. */
struct Arguments {
    FleetOptions fleet; ///< Endpoints.
    PlatformOptions platform; ///< Platform.
    std::uint16_t controlPort = 0; ///< Port of the control port.
    std::uint64_t seed = 1; ///< Seed of all draws.
    std::uint32_t threads = 2; ///< Threads that run everything.
    bool stopWithInput = false; ///< Whether to stop when the standard input ends.
};

/** Read durations by their text. */
CLI::Option *addDuration(CLI::App &app, const std::string &name, Duration &target, const std::string &help)
{
    return app.add_option_function<std::string>(
        name,
        [&target, name](const std::string &text) {
            const Result<Duration> duration = parseDuration(text);
            if (!duration) {
                throw CLI::ValidationError(name, duration.error().message);
            }
            target = duration.value();
        },
        help);
}

void addEndpointArguments(CLI::App &app, FleetOptions &fleet)
{
    app.add_option("--endpoints", fleet.endpoints, "Number of workers, one endpoint on each")->capture_default_str();
    app.add_option("--workers-per-rack", fleet.workersPerRack, "Workers in a rack")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--domains", fleet.domains, "Failure domains; racks are dealt to them in turn")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--slots", fleet.slots, "Slots of an endpoint")->capture_default_str();
    app.add_option("--base-port", fleet.basePort, "Port of the first endpoint; 0: each port is chosen")->capture_default_str();
    app.add_option("--connection-limit", fleet.connectionLimit, "Connections of an endpoint; 0: no limit")->capture_default_str();
    app.add_option_function<std::vector<std::string>>(
        "--kind",
        [&fleet](const std::vector<std::string> &texts) {
            for (const std::string &text : texts) {
                const Result<KindSpec> kind = parseKind(text);
                if (!kind) {
                    throw CLI::ValidationError("--kind", kind.error().message);
                }
                fleet.runTimes.kinds.insert_or_assign(kind.value().name, kind.value().runTime);
            }
        },
        "Run time of a kind: NAME:fixed:TIME, NAME:exponential:MEAN or NAME:lognormal:MEDIAN:SIGMA; can be repeated");
    app.add_option_function<std::string>(
        "--other-kinds",
        [&fleet](const std::string &text) {
            const Result<RunTimeSpec> runTime = parseRunTime(text);
            if (!runTime) {
                throw CLI::ValidationError("--other-kinds", runTime.error().message);
            }
            fleet.runTimes.other = runTime.value();
        },
        "Run time of all other kinds, such as fixed:50ms");
}

void addPlatformArguments(CLI::App &app, PlatformOptions &platform)
{
    app.add_option("--platform-port", platform.listen.port, "Port of the platform; 0: chosen")->capture_default_str();
    addDuration(app, "--write-latency", platform.speed.writeLatency, "Latency of writes (4ms)");
    addDuration(app, "--read-latency", platform.speed.readLatency, "Latency of reads (1ms)");
    app.add_option("--write-rate", platform.speed.writeRate, "Writes a second; 0: no limit")->capture_default_str();
    app.add_option("--read-rate", platform.speed.readRate, "Reads a second; 0: no limit")->capture_default_str();
    addDuration(app, "--max-wait", platform.speed.maxWait, "Longest wait for a turn; beyond it 503 (1s)");
    addDuration(app, "--list-lag", platform.listLag, "Lag of the instance list (2s)");
}

void addArguments(CLI::App &app, Arguments &arguments)
{
    app.add_option("--host", arguments.fleet.host, "IP number to bind")->capture_default_str();
    app.add_option("--control-port", arguments.controlPort, "Port of the control port; 0: chosen")->capture_default_str();
    app.add_option("--seed", arguments.seed, "Seed of all draws")->capture_default_str();
    app.add_option("--threads", arguments.threads, "Threads")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_flag("--stop-with-input", arguments.stopWithInput, "Stop when the standard input ends");
    addEndpointArguments(app, arguments.fleet);
    addPlatformArguments(app, arguments.platform);
}

/** Allow as many open files as the system lets this process have. */
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/** Stops everything when the standard input ends. */
class InputWatch
{
public:
    explicit InputWatch(boost::asio::io_context &context)
        : io(context)
        , input(context, dup(STDIN_FILENO))
    {
    }

    /** Begin to read. */
    void start()
    {
        this->input.async_read_some(boost::asio::buffer(this->bytes), [this](boost::system::error_code error, std::size_t) {
            if (error) {
                this->io.stop();
                return;
            }
            this->start();
        });
    }

private:
    boost::asio::io_context &io; ///< What to stop.
    boost::asio::posix::stream_descriptor input; ///< The standard input.
    std::array<char, 64> bytes{}; ///< What was read.
};

/** Run everything until a signal comes. */
Result<void> runAll(Arguments arguments)
{
    boost::asio::io_context io(static_cast<int>(arguments.threads));
    arguments.fleet.runTimes.seed = arguments.seed;
    arguments.platform.seed = arguments.seed;
    arguments.platform.listen.host = arguments.fleet.host;
    const HttpListenerOptions controlListen{arguments.fleet.host, arguments.controlPort, 0};
    BOOST_OUTCOME_TRY(const auto platform, Platform::create(io, arguments.platform));
    BOOST_OUTCOME_TRY(const auto fleet, Fleet::create(io, arguments.fleet, platform->list()));
    BOOST_OUTCOME_TRY(const auto control, Control::create(io, controlListen, *fleet, *platform));
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    std::optional<InputWatch> input;
    if (arguments.stopWithInput) {
        input.emplace(io);
        input->start();
    }
    std::cout << control->addresses().dump() << std::endl;
    std::vector<std::jthread> threads;
    for (std::uint32_t number = 0; number < arguments.threads; ++number) {
        threads.emplace_back([&io] { io.run(); });
    }
    threads.clear();
    return boost::outcome_v2::success();
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    CLI::App app("Small stand-ins for endpoints and the platform's service");
    addArguments(app, arguments);
    CLI11_PARSE(app, argc, argv);
    if (arguments.fleet.basePort != 0 && arguments.fleet.basePort + arguments.fleet.endpoints > 65536U) {
        std::cerr << "--base-port and --endpoints reach beyond port 65535\n";
        return ExitUsage;
    }
    raiseFileLimit();
    const Result<void> result = runAll(std::move(arguments));
    if (!result) {
        std::cerr << result.error().message << '\n';
        return ExitFailed;
    }
    return 0;
}
