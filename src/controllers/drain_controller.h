/** Drains: operator commands that stop new tasks from being started on endpoints. */
#pragma once

#include "controllers/config_controller.h"
#include "controllers/endpoint_controller.h"

namespace Tanagertally {

/** A drain or undrain command. */
struct DrainCommand {
    DrainScope scope = DrainScope::Worker; ///< Type of the target.
    std::string name; ///< Name of the target.
    bool draining = true; ///< True to drain, false to undrain.
    OperatorName by; ///< Operator who issued the command.
    AuditRow audit; ///< Entry for the audit trail; its outcome is set by the controller.
};

/**
 * Writes drains to the table and applies the drains that it reads from there, as every instance does. If an endpoint itself
 * reports that it is leaving, the peers in the failure domain are notified.
 * Thread safety: none.
 */
class DrainController
{
public:
    using Handler = std::function<void(const Result<RowVersion> &)>; ///< Called once with the version of the drain's row or an error.

    /** The references must outlive this object. */
    DrainController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, EndpointController &endpoints);

    /** Executes a command. @param handler Called when the command is durable, or with the error if it failed. */
    void execute(const DrainCommand &command, Handler handler);

    /** Handles a peer's notice that an endpoint is leaving; a notice that it is back in service is ignored. */
    void handle(const DrainNotice &notice);

    /** Notifies peers of the endpoints that reported since the last call that they are leaving. */
    void announceDepartures();

    /** @return Drains in force, in the order of their row keys. */
    const std::vector<DrainRow> &drains() const
    {
        return this->rows;
    }

    /** Reads the drains from the table if due. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    void read();
    void applyDrains();
    bool isDrained(const EndpointRecord &endpoint) const;

    Blackboard &board;
    Outbox &outbox;
    PlatformCalls &platform;
    EndpointController &endpoints;
    std::vector<DrainRow> rows; ///< Drains in force, as last read.
    std::unordered_map<RowKey, RowVersion> versions; ///< Versions of these rows.
    std::unordered_set<WorkerName> announcedWorkers; ///< Workers whose own report of leaving has been sent to peers or came from one.
    std::uint64_t commandCount = 0; ///< Number of commands executed; makes audit keys unique.
    bool isReading = false; ///< Whether a read is in flight.
    TimePoint nextRead{}; ///< Time of the next read.
};

} // namespace Tanagertally
