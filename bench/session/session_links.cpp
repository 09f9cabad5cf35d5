#include "session/session.h"

#include "session/session_trace_func.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

constexpr std::uint32_t FirstPeerPort = 7000;
constexpr Duration SlowReadMargin = std::chrono::milliseconds(100);

} // namespace

void Session::cutDomains(std::uint32_t first, std::uint32_t second, bool cut)
{
    this->trace(fmt::format("fault: {} d{} d{}", cut ? "cut" : "mend", first, second));
    for (std::uint32_t from = 0; from < this->instances.size(); ++from) {
        for (std::uint32_t to = 0; to < this->instances.size(); ++to) {
            const std::pair<std::uint32_t, std::uint32_t> domains{this->domainOf(from), this->domainOf(to)};
            if (domains != std::pair(first, second) && domains != std::pair(second, first)) {
                continue;
            }
            if (cut) {
                this->cutLinks.insert({from, to});
            } else {
                this->cutLinks.erase({from, to});
            }
        }
    }
}

void Session::cutLink(std::uint32_t from, std::uint32_t to, bool cut)
{
    this->trace(fmt::format("fault: {} e{} to e{}", cut ? "cut" : "mend", from, to));
    if (cut) {
        this->cutLinks.insert({from, to});
    } else {
        this->cutLinks.erase({from, to});
    }
}

void Session::cutPlatform(std::uint32_t domain, bool cut)
{
    this->trace(fmt::format("fault: {} d{} platform", cut ? "cut" : "mend", domain));
    if (cut) {
        this->cutFromPlatform.insert(domain);
    } else {
        this->cutFromPlatform.erase(domain);
    }
}

void Session::setPlatform(PlatformMode mode)
{
    constexpr std::array<std::string_view, 5> Names = {"normal", "refusing", "silent", "loses-answers", "slow"};
    this->trace(fmt::format("fault: platform {}", Names.at(static_cast<std::size_t>(mode))));
    this->platformMode = mode;
}

bool Session::canReach(std::uint32_t from, std::uint32_t to) const
{
    return !this->cutLinks.contains({from, to});
}

Duration Session::linkDelay(std::uint32_t from, std::uint32_t to) const
{
    return this->domainOf(from) == this->domainOf(to) ? this->options.delays.withinDomain : this->options.delays.betweenDomains;
}

std::optional<std::uint32_t> Session::instanceAt(const NetAddress &address) const
{
    const auto port = static_cast<std::uint32_t>(std::stoul(address.value.substr(address.value.rfind(':') + 1)));
    const std::uint32_t index = port - FirstPeerPort;
    return index < this->instances.size() ? std::optional(index) : std::nullopt;
}

void Session::on(std::uint32_t instance, OpenPeer &action)
{
    const std::optional<std::uint32_t> other = this->instanceAt(action.address);
    if (!other || *other == instance) {
        return;
    }
    if (action.isPersistent) {
        this->instances[instance].standing.insert(*other);
    }
    this->tryOpen(instance, *other, action.isPersistent);
}

void Session::on(std::uint32_t instance, ClosePeer &action)
{
    if (const std::optional<std::uint32_t> other = this->instanceAt(action.address)) {
        this->instances[instance].standing.erase(*other);
    }
}

void Session::tryOpen(std::uint32_t from, std::uint32_t to, bool standing)
{
    const std::uint64_t life = this->instances[from].life;
    const Duration delay = this->linkDelay(from, to) * 2;
    this->schedule(delay, [this, from, to, life, standing] {
        if (this->instances[from].life != life) {
            return;
        }
        for (const auto &[id, link] : this->links) {
            const bool same = (link.first == from && link.second == to) || (link.first == to && link.second == from);
            if (same) {
                return;
            }
        }
        const bool up = this->isRunning(to) && this->canReach(from, to) && this->canReach(to, from);
        if (!up) {
            if (!standing) {
                this->deliver(from, life, PeerUnreachable{this->instances[to].identity.peerAddress});
            }
            return;
        }
        const PeerId id(++this->lastLink);
        this->links[id] = Link{from, to, life, this->instances[to].life, false};
        this->deliver(from, life, PeerUp{id, Hello{PeerProtocolVersion, this->instances[to].identity}});
        this->deliver(to, this->instances[to].life, PeerUp{id, Hello{PeerProtocolVersion, this->instances[from].identity}});
    });
}

void Session::closeLink(PeerId id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        return;
    }
    const Link link = found->second;
    this->links.erase(found);
    this->deliver(link.first, link.firstLife, PeerDown{id});
    this->deliver(link.second, link.secondLife, PeerDown{id});
}

void Session::doom(Link &link, PeerId id)
{
    if (link.closing) {
        return;
    }
    link.closing = true;
    this->schedule(this->options.delays.peerSilence, [this, id] { this->closeLink(id); });
}

void Session::checkLinks()
{
    for (auto &[id, link] : this->links) {
        const bool silent = !this->canReach(link.first, link.second) || !this->canReach(link.second, link.first);
        const bool frozen = this->instances[link.first].paused || this->instances[link.second].paused;
        if (silent || frozen) {
            this->doom(link, id);
        }
    }
    for (std::uint32_t from = 0; from < this->instances.size(); ++from) {
        for (const std::uint32_t to : this->instances[from].standing) {
            if (this->isRunning(from) && !this->instances[from].paused && !this->instances[to].paused) {
                this->tryOpen(from, to, true);
            }
        }
    }
    this->schedule(this->options.delays.peerRetry, [this] { this->checkLinks(); });
}

void Session::on(std::uint32_t instance, SendToPeer &action)
{
    const auto found = this->links.find(action.peer);
    if (found == this->links.end()) {
        return;
    }
    ++this->peerMessageCount;
    this->traceOf(instance, toTraceText(action.message));
    const Link &link = found->second;
    if (link.closing) {
        return;
    }
    const std::uint32_t to = link.first == instance ? link.second : link.first;
    const std::uint64_t life = link.first == instance ? link.secondLife : link.firstLife;
    if (!this->canReach(instance, to)) {
        this->doom(found->second, action.peer);
        return;
    }
    this->schedule(this->linkDelay(instance, to), [this, to, life, id = action.peer, message = std::move(action.message)] {
        if (this->links.contains(id)) {
            this->deliver(to, life, PeerMessageReceived{id, message});
        }
    });
}

void Session::on(std::uint32_t instance, SendPlatformRequest &action)
{
    const std::uint64_t life = this->instances[instance].life;
    const bool isRead = std::holds_alternative<TableRead>(action.request) || std::holds_alternative<ObjectGet>(action.request);
    const bool slow = this->platformMode == PlatformMode::Slow;
    const Duration usual = isRead ? this->options.delays.tableRead : this->options.delays.tableWrite;
    const Duration whole = slow ? action.timeout * (isRead ? 1 : 3) - SlowReadMargin : usual;
    const PlatformRequestId id = action.id;
    if (this->platformMode == PlatformMode::Refusing) {
        this->schedule(this->options.delays.withinDomain, [this, instance, life, id] {
            this->deliver(instance, life, PlatformReplied{id, PlatformUnavailable{false, "connection refused"}});
        });
        return;
    }
    const bool cut = this->cutFromPlatform.contains(this->domainOf(instance)) || this->platformMode == PlatformMode::Silent;
    if (cut) {
        this->schedule(action.timeout, [this, instance, life, id, isRead] {
            this->deliver(instance, life, PlatformReplied{id, PlatformUnavailable{!isRead, "no answer"}});
        });
        return;
    }
    if (slow && !isRead) {
        this->schedule(action.timeout, [this, instance, life, id] {
            this->deliver(instance, life, PlatformReplied{id, PlatformUnavailable{true, "no answer in time"}});
        });
    }
    this->schedule(whole / 2,
                   [this, instance, life, id, isRead, slow, whole, timeout = action.timeout, request = std::move(action.request)] {
                       PlatformReply reply = this->table.execute(request);
                       this->traceOf(instance, toTraceText(request, reply));
                       const bool lost = this->platformMode == PlatformMode::LosesAnswers && !isRead && !slow;
                       if (lost) {
                           this->schedule(timeout, [this, instance, life, id] {
                               this->deliver(instance, life, PlatformReplied{id, PlatformUnavailable{true, "answer lost"}});
                           });
                           return;
                       }
                       if (slow && !isRead) {
                           return;
                       }
                       this->schedule(whole / 2, [this, instance, life, id, reply = std::move(reply)] {
                           this->deliver(instance, life, PlatformReplied{id, reply});
                       });
                   });
}

} // namespace Tanagertally
