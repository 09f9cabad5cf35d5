/** Queries and commands of operators, which cover the whole fleet. */
#pragma once

#include "blackboard/deadline_queue.h"
#include "controllers/drain_controller.h"
#include "controllers/job_controller.h"
#include "language/language_type.h"

namespace Tanagertally {

/** Effect that a command would have, or the reason why it cannot be executed. */
using CommandCheck = Result<std::string>;

/**
 * Answers queries from the state of this instance and its peers, with a list of the failure domains that did not answer, and
 * executes commands. A dry run performs the checks of a command without executing it.
 * Thread safety: none.
 */
class OperatorController
{
public:
    /** The references must outlive this object. */
    OperatorController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, ConfigController &config, DrainController &drains,
                       JobController &jobs);

    /** Handles a query or command of an operator. */
    void handle(const OperatorRequested &asked);

    /** Replies to a peer with the rows of this instance; a forwarded cancel command is executed on them. */
    void handle(const PeerRecord &peer, const ForwardedStatement &query);

    /** Handles the rows of a peer that answered a query. */
    void handle(const PeerRecord &peer, const QueryRows &rows);

    /** Replies to the queries that have timed out, with the rows received so far. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** A query that waits for answers of peers. */
    struct PendingQuery {
        RequestId request; ///< Call that the reply belongs to.
        Statement statement;
        std::vector<Row> rows; ///< Rows received so far, including those of this instance.
        std::unordered_map<PeerId, FailureDomain> awaited; ///< Peers that have not answered, with their failure domains.
        std::vector<FailureDomain> answered; ///< Failure domains of the instances that have answered.
    };

    void replyError(RequestId request, Error error);
    void replyJson(RequestId request, std::string json);
    void queryFleet(const OperatorRequested &asked, Statement statement);
    void queryAudit(const OperatorRequested &asked, const ShowRows &query);
    void replyToQuery(ForwardId id);
    std::vector<Row> localRows(const Statement &statement);
    Subject subjectOf(const Statement &statement) const;
    std::string missingDomains(const PendingQuery &pending) const;

    void execute(const OperatorRequested &asked, const Drain &command);
    void execute(const OperatorRequested &asked, const SetLimit &command);
    void execute(const OperatorRequested &asked, const SetQuota &command);
    void execute(const OperatorRequested &asked, const Reconfigure &command);
    void execute(const OperatorRequested &asked, const CancelJob &command);
    void execute(const OperatorRequested &asked, const CancelJobs &command);
    void executeCancel(const OperatorRequested &asked, Statement statement);
    void proposeConfig(const OperatorRequested &asked, Result<FleetConfig> config, std::optional<ConfigVersion> ifVersion);
    Error versionConflict(ConfigVersion wanted) const;
    AuditRow auditOf(const OperatorRequested &asked) const;

    Blackboard &board;
    Outbox &outbox;
    PlatformCalls &platform;
    ConfigController &config;
    DrainController &drains;
    JobController &jobs;
    std::unordered_map<ForwardId, PendingQuery> pending; ///< Queries that wait for answers of peers.
    DeadlineQueue<ForwardId> deadlines; ///< Timeouts of these queries.
    std::uint64_t lastId = 0; ///< Id of the last query.
    std::uint64_t commandCount = 0; ///< Number of cancel commands executed; makes audit keys unique.
};

} // namespace Tanagertally
