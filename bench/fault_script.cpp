#include "fault_script.h"

namespace Tanagertally {

using namespace std::chrono_literals;

namespace {

constexpr double SlowFactor = 5.0;
constexpr std::uint32_t OpenConnections = 8; // of an instance to an endpoint
constexpr std::uint32_t SilentWorkersPerDomain = 2;
constexpr double CancelledShare = 0.5;
constexpr Duration CancelInterval = 5s;
constexpr Duration ReplacementInterval = 1500ms;
constexpr Duration ReadyAfter = 1s; // of a new incarnation
constexpr Duration RestartAfter = 1s;
constexpr Duration ExitPoll = 100ms;
constexpr Duration BalancerLag = 200ms;

void cutDomain(Session &session, const UserProfile &user, bool cut)
{
    for (std::uint32_t other = 1; other < user.domains; ++other) {
        session.cutDomains(0, other, cut);
    }
    session.cutPlatform(0, cut);
}

void setRack(Session &session, const UserProfile &user, EndpointMode mode)
{
    for (std::uint32_t worker = 0; worker < user.workersPerRack; ++worker) {
        session.setEndpoint(worker, mode);
    }
}

void silence(Session &session, const UserProfile &user)
{
    for (std::uint32_t domain = 0; domain < user.domains; ++domain) {
        for (std::uint32_t worker = 0; worker < SilentWorkersPerDomain; ++worker) {
            session.silenceConnections(domain * user.workersPerDomain + worker, OpenConnections);
        }
    }
}

void replaceFrom(Session &session, LoadGenerator &load, std::uint32_t instance);

void restartOnceExited(Session &session, LoadGenerator &load, std::uint32_t instance)
{
    if (session.isRunning(instance)) {
        session.at(session.now() + ExitPoll, [&session, &load, instance] { restartOnceExited(session, load, instance); });
        return;
    }
    session.restart(instance);
    session.at(session.now() + ReadyAfter, [&load, instance] { load.setReady(instance, true); });
    session.at(session.now() + ReplacementInterval, [&session, &load, instance] { replaceFrom(session, load, instance + 1); });
}

void replaceFrom(Session &session, LoadGenerator &load, std::uint32_t instance)
{
    if (instance >= session.instanceCount()) {
        return;
    }
    session.stop(instance);
    session.at(session.now() + BalancerLag, [&load, instance] { load.setReady(instance, false); });
    session.at(session.now() + RestartAfter, [&session, &load, instance] { restartOnceExited(session, load, instance); });
}

} // namespace

void scheduleFault(Fault fault, Session &session, LoadGenerator &load, const UserProfile &user, const RunLength &length)
{
    const Duration begin = length.warmUp + length.measured / 6;
    const Duration end = length.warmUp + length.measured * 5 / 6;
    switch (fault) {
    case Fault::None:
        break;
    case Fault::FailingWorker:
        session.at(begin, [&session] { session.setEndpoint(FaultyWorker, EndpointMode::FailsAll); });
        break;
    case Fault::SlowWorker:
        session.at(begin, [&session] { session.setSlowness(FaultyWorker, SlowFactor); });
        break;
    case Fault::RackGone:
        session.at(begin, [&session, &user] { setRack(session, user, EndpointMode::Dead); });
        session.at(end, [&session, &user] { setRack(session, user, EndpointMode::Normal); });
        break;
    case Fault::DomainCut:
        session.at(begin, [&session, &user] { cutDomain(session, user, true); });
        session.at(end, [&session, &user] { cutDomain(session, user, false); });
        break;
    case Fault::SilentConnections:
        session.at(begin, [&session, &user] { silence(session, user); });
        break;
    case Fault::CancelWaves:
        for (Duration at = begin; at < length.end(); at += CancelInterval) {
            session.at(at, [&load] { load.cancelSome(CancelledShare); });
        }
        break;
    case Fault::RollingReplacement:
        session.at(length.warmUp, [&session, &load] { replaceFrom(session, load, 0); });
        break;
    }
}

} // namespace Tanagertally
