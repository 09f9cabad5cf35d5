/** Drains: commands of operators that keep new work from endpoints. */
#pragma once

#include "controllers/config_controller.h"
#include "controllers/endpoint_controller.h"

namespace Tanagertally {

/** A drain or undrain to be carried out. */
struct DrainCommand {
    DrainScope scope = DrainScope::Worker; ///< What it speaks of.
    std::string name; ///< Its name.
    bool draining = true; ///< Drain or undrain.
    OperatorName by; ///< Who commands it.
    AuditRow audit; ///< Entry for the audit trail; its outcome is set by the controller.
};

/**
 * Keeps the drains in force: written to the table, read from it by every instance, and told to peers at once. What an
 * endpoint itself says about leaving is passed on to peers too.
 * Thread safety: none.
 */
class DrainController
{
public:
    using Handler = std::function<void(const Result<RowVersion> &)>; ///< Called once with the version of the drain or why not.

    /** The references must outlive this object. */
    DrainController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, EndpointController &endpoints);

    /** Carry out a command. @param handler Called once the command is durable, or with why not. */
    void execute(const DrainCommand &command, Handler handler);

    /** A peer passes on that an endpoint is leaving or back. */
    void handle(const DrainNotice &notice);

    /** Pass on to peers what endpoints said about leaving since the last call. */
    void announceDepartures();

    /** @return Drains in force, in key order. */
    const std::vector<DrainRow> &drains() const
    {
        return this->rows;
    }

    /** Do what is due. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    void read();
    void applyDrains();
    bool isDrained(const EndpointRecord &endpoint) const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    PlatformCalls &platform; ///< The platform.
    EndpointController &endpoints; ///< Keeps the endpoints.
    std::vector<DrainRow> rows; ///< Drains in force.
    std::unordered_map<RowKey, RowVersion> versions; ///< Versions of their rows.
    std::unordered_set<WorkerName> announcedWorkers; ///< Workers whose own word was passed on.
    std::uint64_t commandCount = 0; ///< Commands so far.
    bool isReading = false; ///< Whether a read is under way.
    TimePoint nextRead{}; ///< When to read again.
};

} // namespace Tanagertally
