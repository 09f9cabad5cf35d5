#include "controllers/claim_controller.h"

namespace Tanagertally {

namespace {

constexpr std::size_t MaxBacklog = 1024; // claims
constexpr Duration ReadTimeout = std::chrono::seconds(1);

} // namespace

ClaimController::ClaimController(Blackboard &board, PlatformCalls &platform, GroupCommit &commits)
    : board(board)
    , platform(platform)
    , commits(commits)
{
}

bool ClaimController::isBacklogged() const
{
    return this->commits.backlog() >= MaxBacklog;
}

ClaimHolder ClaimController::ownHolder() const
{
    const InstanceIdentity &identity = this->board.identity;
    return ClaimHolder{identity.name, identity.domain, identity.peerAddress, identity.incarnation};
}

ClaimOutcome ClaimController::outcomeOf(const std::vector<TableRow> &rows, const RowKey &key) const
{
    for (const TableRow &row : rows) {
        if (row.key != key || row.version == RowVersion()) {
            continue;
        }
        const Result<ClaimRow> claim = decodeRow<ClaimRow>(row.value);
        if (!claim) {
            return ClaimUnknown{"the claim row is malformed: " + claim.error().message};
        }
        if (claim.value().holder.incarnation == this->board.identity.incarnation) {
            return ClaimHeld{claim.value().takenOver};
        }
        return ClaimElsewhere{claim.value(), row.version};
    }
    return ClaimUnknown{};
}

void ClaimController::claim(const TeamKey &name, bool idempotent, RowVersion replaces, Handler handler)
{
    const RowKey key = claimRowKey(name);
    CommitOp op;
    op.conditions.push_back(RowCondition{key, replaces});
    op.writes.push_back(RowWrite{key, encodeRow(ClaimRow{this->ownHolder(), false, idempotent, replaces != RowVersion()})});
    op.onDone = [this, name, key, replaces, handler = std::move(handler)](const CommitResult &result) {
        if (std::holds_alternative<Committed>(result)) {
            ++this->board.stats.claims;
            handler(ClaimHeld{replaces != RowVersion()});
            return;
        }
        if (const auto *failed = std::get_if<ConditionFailed>(&result)) {
            handler(this->commits.isFenced() ? ClaimOutcome(ClaimUnknown{"this instance was fenced"}) : this->outcomeOf(failed->rows, key));
            return;
        }
        const auto &unavailable = std::get<PlatformUnavailable>(result);
        if (!unavailable.mayHaveTakenEffect) {
            handler(ClaimUnknown{unavailable.message});
            return;
        }
        this->lookUp(name, handler);
    };
    this->commits.submit(std::move(op));
}

void ClaimController::lookUp(const TeamKey &name, Handler handler)
{
    const RowKey key = claimRowKey(name);
    TableRead read;
    read.keys.push_back(key);
    this->platform.send(std::move(read), ReadTimeout, [this, key, handler = std::move(handler)](const PlatformReply &reply) {
        const auto *rows = std::get_if<RowsRead>(&reply);
        handler(rows == nullptr ? ClaimOutcome(ClaimUnknown{"the platform's table can't be reached"}) : this->outcomeOf(rows->rows, key));
    });
}

} // namespace Tanagertally
