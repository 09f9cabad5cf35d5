#include "cells/commit_chain.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration InitialRetryPause = std::chrono::milliseconds(40); // About ten times the duration of a transaction of the users' store.
constexpr Duration MaxRetryPause = std::chrono::milliseconds(400); // Keeps the recovery after an outage well below its bound of 2 s.

} // namespace

CommitChain::CommitChain(CellName cellName, InstanceName self, Incarnation incarnation)
    : cell(std::move(cellName))
    , lead{std::move(self), incarnation, FenceToken(0), 0}
{
}

void CommitChain::prepareClaim(const std::optional<LeadRecord> &former, RowVersion version)
{
    assert(this->state == State::Idle);
    this->lead.token = FenceToken(former ? former->token.value + 1 : 1);
    this->lead.transactionNumber = former ? former->transactionNumber : 0;
    this->expectedVersion = version;
}

bool CommitChain::isIdle() const
{
    return this->state == State::Idle;
}

FenceToken CommitChain::token() const
{
    return this->lead.token;
}

TimePoint CommitChain::confirmedAt() const
{
    return this->lastConfirmedAt;
}

void CommitChain::commit(TimePoint now, StoreTransaction content, bool releasesLead, std::vector<CellAction> &actions)
{
    assert(this->state == State::Idle);
    ++this->lead.transactionNumber;
    LeadRecord written = this->lead;
    if (releasesLead) {
        written.owner = InstanceName();
    }
    this->transaction = std::move(content);
    this->transaction.conditions.push_back({leadKey(this->cell), this->expectedVersion});
    this->transaction.writes.push_back({leadKey(this->cell), encodeLead(written)});
    this->pauseLength = InitialRetryPause;
    this->send(now, actions);
}

ChainOutcome CommitChain::onCommitted(TimePoint now, TransactionResult result, std::vector<Row> &rows, std::vector<CellAction> &actions)
{
    if (this->state != State::Sent) {
        return ChainOutcome::Pending;
    }
    switch (result.outcome) {
    case TransactionOutcome::Applied:
        return this->settle(result.version);
    case TransactionOutcome::NotApplied:
        this->pause(now, State::PausedBeforeSending);
        return ChainOutcome::Pending;
    case TransactionOutcome::Unknown:
        this->read(now, actions);
        return ChainOutcome::Pending;
    case TransactionOutcome::Conflict:
        break;
    }
    const RowKey key = leadKey(this->cell);
    const auto row = std::ranges::find(result.rows, key, &Row::key);
    const RowVersion version = row == result.rows.end() ? RowVersion(0) : row->version;
    if (version == this->expectedVersion) {
        this->state = State::Idle;
        --this->lead.transactionNumber;
        this->lastConfirmedAt = this->sentAt;
        rows = std::move(result.rows);
        return ChainOutcome::Rejected;
    }
    if (row != result.rows.end() && this->isOwn(*row)) {
        return this->settle(version);
    }
    this->state = State::Idle;
    return ChainOutcome::LeadLost;
}

ChainOutcome CommitChain::onLeadRead(TimePoint now, const ReadResult &result, std::vector<CellAction> &actions)
{
    if (this->state != State::Reading) {
        return ChainOutcome::Pending;
    }
    if (!result.isAnswered) {
        this->pause(now, State::PausedBeforeReading);
        return ChainOutcome::Pending;
    }
    const auto row = std::ranges::find(result.rows, leadKey(this->cell), &Row::key);
    const RowVersion version = row == result.rows.end() ? RowVersion(0) : row->version;
    if (version == this->expectedVersion) {
        this->lastConfirmedAt = this->sentAt;
        this->send(now, actions);
        return ChainOutcome::Pending;
    }
    if (row != result.rows.end() && this->isOwn(*row)) {
        return this->settle(version);
    }
    this->state = State::Idle;
    return ChainOutcome::LeadLost;
}

void CommitChain::advance(TimePoint now, std::vector<CellAction> &actions)
{
    if (now < this->resumeAt) {
        return;
    }
    if (this->state == State::PausedBeforeSending) {
        this->send(now, actions);
    } else if (this->state == State::PausedBeforeReading) {
        this->read(now, actions);
    }
}

void CommitChain::send(TimePoint now, std::vector<CellAction> &actions)
{
    this->state = State::Sent;
    this->sentAt = now;
    actions.emplace_back(CommitTransaction{this->transaction});
}

void CommitChain::read(TimePoint now, std::vector<CellAction> &actions)
{
    this->state = State::Reading;
    this->sentAt = now;
    actions.emplace_back(ReadLeadRow{leadKey(this->cell)});
}

void CommitChain::pause(TimePoint now, State next)
{
    this->state = next;
    this->resumeAt = now + this->pauseLength;
    this->pauseLength = std::min(2 * this->pauseLength, MaxRetryPause);
}

ChainOutcome CommitChain::settle(RowVersion version)
{
    this->expectedVersion = version;
    this->state = State::Idle;
    this->lastConfirmedAt = this->sentAt;
    this->transaction = {};
    return ChainOutcome::Applied;
}

bool CommitChain::isOwn(const Row &row) const
{
    const Result<LeadRecord> read = decodeLead(row.value);
    if (read.has_error()) {
        return false;
    }
    const LeadRecord &found = read.value();
    return found.incarnation == this->lead.incarnation && found.token == this->lead.token
           && found.transactionNumber == this->lead.transactionNumber;
}

} // namespace Tanagertally::Cells
