/** Operators' queries and commands, over the whole fleet. */
#pragma once

#include "blackboard/deadline_queue.h"
#include "controllers/drain_controller.h"
#include "controllers/job_controller.h"
#include "language/language_type.h"

namespace Tanagertally {

/** Why a command can't be carried out, or what it would do. */
using CommandCheck = Result<std::string>;

/**
 * Answers queries from this instance and its peers, saying which failure domains did not answer, and carries out commands:
 * each is checked first without effect and then executed by the same function.
 * Thread safety: none.
 */
class OperatorController
{
public:
    /** The references must outlive this object. */
    OperatorController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, ConfigController &config, DrainController &drains,
                       JobController &jobs);

    /** An operator's query or command. */
    void handle(const OperatorAsked &asked);

    /** A peer asks for this instance's rows, or has it carry out its part of a command. */
    void handle(const PeerRecord &peer, const ForwardedQuery &query);

    /** A peer's rows. */
    void handle(const PeerRecord &peer, const QueryRows &rows);

    /** Reply to queries whose time is over. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** A query that awaits peers. */
    struct PendingQuery {
        RequestId request; ///< Call to reply to.
        Statement statement; ///< The statement.
        std::vector<Row> rows; ///< Rows so far.
        std::unordered_map<PeerId, FailureDomain> awaited; ///< Peers that have not answered.
        std::vector<FailureDomain> answered; ///< Failure domains of the instances that have answered.
    };

    void replyError(RequestId request, Error error);
    void replyJson(RequestId request, std::string json);
    void queryFleet(const OperatorAsked &asked, Statement statement);
    void queryAudit(const OperatorAsked &asked, const ShowRows &query);
    void replyToQuery(ForwardId id);
    std::vector<Row> localRows(const Statement &statement);
    Subject subjectOf(const Statement &statement) const;
    std::string missingDomains(const PendingQuery &pending) const;

    void execute(const OperatorAsked &asked, const Drain &command);
    void execute(const OperatorAsked &asked, const SetLimit &command);
    void execute(const OperatorAsked &asked, const SetQuota &command);
    void execute(const OperatorAsked &asked, const Reconfigure &command);
    void execute(const OperatorAsked &asked, const CancelJob &command);
    void execute(const OperatorAsked &asked, const CancelJobs &command);
    void executeCancel(const OperatorAsked &asked, Statement statement);
    void proposeConfig(const OperatorAsked &asked, Result<FleetConfig> config, std::optional<ConfigVersion> ifVersion);
    Error versionConflict(ConfigVersion wanted) const;
    AuditRow auditOf(const OperatorAsked &asked) const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    PlatformCalls &platform; ///< The platform.
    ConfigController &config; ///< Fleet configuration.
    DrainController &drains; ///< Drains.
    JobController &jobs; ///< Jobs.
    std::unordered_map<ForwardId, PendingQuery> pending; ///< Queries that await peers.
    DeadlineQueue<ForwardId> deadlines; ///< When they stop waiting.
    std::uint64_t lastId = 0; ///< Last number given.
    std::uint64_t commandCount = 0; ///< Commands so far.
};

} // namespace Tanagertally
