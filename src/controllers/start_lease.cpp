#include "controllers/start_lease.h"

#include "controllers/group_commit.h"

namespace Tanagertally {

namespace {

constexpr Duration RenewalInterval = std::chrono::milliseconds(400);
constexpr Duration RenewalTimeout = std::chrono::milliseconds(1000);

} // namespace

StartLease::StartLease(Blackboard &board, PlatformCalls &platform)
    : board(board)
    , platform(platform)
{
}

void StartLease::setRegainedHandler(std::function<void()> handler)
{
    this->regainedHandler = std::move(handler);
}

void StartLease::setFencedHandler(std::function<void()> handler)
{
    this->fencedHandler = std::move(handler);
}

void StartLease::activate()
{
    if (this->isActive) {
        return;
    }
    this->isActive = true;
    this->renew();
}

bool StartLease::isHeld() const
{
    return !this->fenced && this->board.now < this->validUntil;
}

void StartLease::advance()
{
    if (this->isActive && !this->isRenewing && this->board.now >= this->nextRenewal) {
        this->renew();
    }
}

TimePoint StartLease::nextDeadline() const
{
    return this->isActive && !this->isRenewing ? this->nextRenewal : TimePoint::max();
}

void StartLease::renew()
{
    this->isRenewing = true;
    this->nextRenewal = this->board.now + RenewalInterval;
    TableRead read;
    read.keys.push_back(fenceRowKey(this->board.identity.incarnation));
    const TimePoint sentAt = this->board.now;
    this->platform.send(std::move(read), RenewalTimeout, [this, sentAt](const PlatformReply &reply) { this->onReply(sentAt, reply); });
}

void StartLease::onReply(TimePoint sentAt, const PlatformReply &reply)
{
    this->isRenewing = false;
    const auto *rows = std::get_if<RowsRead>(&reply);
    if (rows == nullptr) {
        return;
    }
    if (!rows->rows.empty()) {
        const bool wasFenced = this->fenced;
        this->fenced = true;
        if (!wasFenced) {
            this->fencedHandler();
        }
        return;
    }
    const bool lapsed = !this->isHeld();
    this->validUntil = sentAt + StartLeaseLength;
    if (lapsed && this->isHeld()) {
        this->regainedHandler();
    }
}

} // namespace Tanagertally
