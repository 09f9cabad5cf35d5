#include "session/session.h"

#include "core/hash_func.h"

#include <fmt/format.h>

#include <cassert>

namespace Tanagertally {

namespace {

constexpr std::uint32_t FirstPeerPort = 7000;
constexpr std::uint32_t FirstEndpointPort = 9000;

FailureDomain domainName(std::uint32_t domain)
{
    return FailureDomain(fmt::format("d{}", domain));
}

} // namespace

Session::Session(SessionOptions sessionOptions)
    : options(std::move(sessionOptions))
    , random(options.seed)
    , instances(static_cast<std::size_t>(options.domains) * options.instancesPerDomain)
    , workers(static_cast<std::size_t>(options.domains) * options.workersPerDomain)
{
    for (std::uint32_t index = 0; index < this->workers.size(); ++index) {
        ListedEndpoint &listed = this->workers[index].listed;
        listed.worker = WorkerName(fmt::format("w{}", index));
        listed.rack = RackName(fmt::format("r{}", index / this->options.workersPerRack));
        listed.domain = domainName(index / this->options.workersPerDomain);
        listed.address = NetAddress(fmt::format("10.0.1.1:{}", FirstEndpointPort + index));
        listed.slots = this->options.slots;
    }
    for (std::uint32_t index = 0; index < this->instances.size(); ++index) {
        InstanceIdentity &identity = this->instances[index].identity;
        identity.name = InstanceName(fmt::format("e{}", index));
        identity.domain = domainName(this->domainOf(index));
        identity.peerAddress = NetAddress(fmt::format("10.0.0.1:{}", FirstPeerPort + index));
    }
    for (std::uint32_t index = 0; index < this->instances.size(); ++index) {
        this->startInstance(index);
    }
    this->listHistory.clear();
    this->recordList();
    this->schedule(this->options.delays.peerRetry, [this] { this->checkLinks(); });
}

void Session::onTrace(TraceHandler handler)
{
    this->traceHandler = std::move(handler);
}

void Session::trace(const std::string &line) const
{
    if (this->traceHandler) {
        this->traceHandler(this->clock, line);
    }
}

void Session::traceOf(std::uint32_t instance, const std::string &what) const
{
    if (this->traceHandler && !what.empty()) {
        this->traceHandler(this->clock, fmt::format("e{} {}", instance, what));
    }
}

Duration Session::now() const
{
    return this->clock.time_since_epoch();
}

void Session::schedule(Duration delay, std::function<void()> what)
{
    this->agenda.push(Due{this->clock + delay, ++this->lastOrder, std::move(what)});
}

void Session::at(Duration at, std::function<void()> what)
{
    this->schedule(std::max(Duration::zero(), at - this->now()), std::move(what));
}

void Session::runUntil(Duration until)
{
    const TimePoint end = TimePoint(until);
    while (!this->agenda.empty() && this->agenda.top().at <= end) {
        const Due due = this->agenda.top();
        this->agenda.pop();
        this->clock = due.at;
        due.what();
    }
    this->clock = end;
}

void Session::startInstance(std::uint32_t index)
{
    Instance &instance = this->instances[index];
    ++instance.life;
    instance.paused = false;
    instance.stopping = false;
    instance.held.clear();
    instance.identity.incarnation = Incarnation(this->random());
    CoordinatorOptions coordinatorOptions;
    coordinatorOptions.identity = instance.identity;
    coordinatorOptions.seed = this->random();
    coordinatorOptions.initialConfig = this->options.config;
    coordinatorOptions.choice = this->options.choice;
    instance.coordinator = std::move(Coordinator::create(std::move(coordinatorOptions)).value());
    this->recordList();
    this->wake(index);
    const std::uint64_t life = instance.life;
    this->schedule(Duration::zero(), [this, index, life] { this->readList(index, life); });
}

void Session::endInstance(std::uint32_t index)
{
    Instance &instance = this->instances[index];
    instance.coordinator.reset();
    ++instance.life;
    instance.wakeAt = TimePoint::max();
    instance.standing.clear();
    instance.endpoints.clear();
    instance.attempts.clear();
    std::vector<PeerId> broken;
    for (const auto &[id, link] : this->links) {
        if (link.first == index || link.second == index) {
            broken.push_back(id);
        }
    }
    for (const PeerId id : broken) {
        this->closeLink(id);
    }
    for (SessionCall &call : this->calls) {
        call.connectionLost = call.connectionLost || (call.instance == index && call.replies.empty());
    }
    this->recordList();
}

void Session::kill(std::uint32_t instance)
{
    if (this->isRunning(instance)) {
        this->trace(fmt::format("fault: kill e{}", instance));
        this->endInstance(instance);
    }
}

void Session::restart(std::uint32_t instance)
{
    if (!this->isRunning(instance)) {
        this->trace(fmt::format("fault: restart e{}", instance));
        this->startInstance(instance);
    }
}

void Session::stop(std::uint32_t instance)
{
    this->trace(fmt::format("operator: stop e{}", instance));
    this->instances[instance].stopping = true;
    this->recordList();
    this->deliver(instance, this->instances[instance].life, StopRequested());
}

void Session::pause(std::uint32_t instance)
{
    this->trace(fmt::format("fault: pause e{}", instance));
    this->instances[instance].paused = true;
}

void Session::resume(std::uint32_t instance)
{
    Instance &one = this->instances[instance];
    if (!one.paused) {
        return;
    }
    this->trace(fmt::format("fault: resume e{}", instance));
    one.paused = false;
    if (one.coordinator == nullptr) {
        return;
    }
    std::vector<Event> held;
    held.swap(one.held);
    one.wakeAt = TimePoint::max();
    for (Event &event : held) {
        this->deliver(instance, one.life, std::move(event));
    }
    this->wake(instance);
}

bool Session::isRunning(std::uint32_t instance) const
{
    return this->instances[instance].coordinator != nullptr;
}

CoordinatorStats Session::stats(std::uint32_t instance) const
{
    return this->instances[instance].coordinator->stats();
}

void Session::deliver(std::uint32_t instance, std::uint64_t life, Event event)
{
    Instance &one = this->instances[instance];
    if (one.coordinator == nullptr || one.life != life) {
        return;
    }
    if (one.paused) {
        one.held.push_back(std::move(event));
        return;
    }
    const bool isCall = std::holds_alternative<JobSubmitted>(event) || std::holds_alternative<FetchRequested>(event)
                        || std::holds_alternative<CancelRequested>(event) || std::holds_alternative<KeysRequested>(event);
    one.lastCallAt = isCall ? this->clock : one.lastCallAt;
    ActionList actions;
    one.coordinator->handle(this->clock, std::move(event), actions);
    this->execute(instance, actions);
}

void Session::wake(std::uint32_t instance)
{
    Instance &one = this->instances[instance];
    if (one.coordinator == nullptr || one.paused) {
        return;
    }
    ActionList actions;
    one.coordinator->advance(this->clock, actions);
    one.wakeAt = TimePoint::max();
    this->execute(instance, actions);
}

void Session::execute(std::uint32_t instance, ActionList &actions)
{
    for (Action &action : actions) {
        std::visit([this, instance](auto &one) { this->on(instance, one); }, action);
    }
    Instance &one = this->instances[instance];
    if (one.coordinator == nullptr) {
        return;
    }
    const TimePoint next = std::max(this->clock + std::chrono::microseconds(1), one.coordinator->nextDeadline());
    if (next < one.wakeAt) {
        one.wakeAt = next;
        const std::uint64_t life = one.life;
        this->schedule(next - this->clock, [this, instance, life, next] {
            if (this->instances[instance].life == life && this->instances[instance].wakeAt == next) {
                this->wake(instance);
            }
        });
    }
}

void Session::on(std::uint32_t instance, WriteLog &action)
{
    if (!this->traceHandler) {
        return;
    }
    std::string line = fmt::format("e{} log {}", instance, action.event);
    for (const LogField &field : action.fields) {
        line += fmt::format(" {}={}", field.key, field.value);
    }
    this->trace(line);
}

void Session::on(std::uint32_t instance, SetReadiness &action)
{
    this->trace(fmt::format("e{} ready={}", instance, action.ready));
}

void Session::on(std::uint32_t instance, Exit & /*action*/)
{
    this->trace(fmt::format("e{} exits", instance));
    this->endWhenQuiet(instance, this->instances[instance].life);
}

void Session::endWhenQuiet(std::uint32_t instance, std::uint64_t life)
{
    this->schedule(this->options.delays.exitGrace, [this, instance, life] {
        const Instance &one = this->instances[instance];
        if (one.life != life) {
            return;
        }
        if (one.paused || this->clock - one.lastCallAt < this->options.delays.exitGrace) {
            this->endWhenQuiet(instance, life);
            return;
        }
        this->endInstance(instance);
    });
}

InstanceList Session::currentList() const
{
    InstanceList list;
    for (const Worker &worker : this->workers) {
        if (worker.mode != EndpointMode::Dead) {
            list.endpoints.push_back(worker.listed);
        }
    }
    for (const Instance &instance : this->instances) {
        if (instance.coordinator != nullptr) {
            const ListedState state = instance.stopping ? ListedState::Leaving : ListedState::Live;
            list.instances.push_back(
                ListedInstance{instance.identity.name, instance.identity.domain, instance.identity.peerAddress, state});
        }
    }
    return list;
}

void Session::recordList()
{
    this->listHistory.emplace_back(this->clock, this->currentList());
}

void Session::readList(std::uint32_t instance, std::uint64_t life)
{
    if (this->instances[instance].life != life) {
        return;
    }
    const bool reachable = this->platformMode != PlatformMode::Refusing && this->platformMode != PlatformMode::Silent;
    if (reachable && !this->cutFromPlatform.contains(this->domainOf(instance))) {
        const InstanceList *list = &this->listHistory.front().second;
        for (const auto &[at, entry] : this->listHistory) {
            list = at + this->options.delays.listLag <= this->clock ? &entry : list;
        }
        this->deliver(instance, life, InstanceListRead{*list});
    }
    this->schedule(this->options.delays.listInterval, [this, instance, life] { this->readList(instance, life); });
}

void Session::listLeaving(std::uint32_t worker, bool leaving)
{
    this->trace(fmt::format("list: w{} {}", worker, leaving ? "leaving" : "live"));
    this->workers[worker].listed.state = leaving ? ListedState::Leaving : ListedState::Live;
    this->recordList();
}

} // namespace Tanagertally
