/** The fleet configuration: reads it, proposes changes, and tracks in which failure domains it is in force. */
#pragma once

#include "controllers/platform_calls.h"
#include "controllers/reply_sender.h"
#include "controllers/row_type.h"

#include <map>

namespace Tanagertally {

/** Configuration version in force in one failure domain. */
struct DomainConfigVersion {
    FailureDomain domain;
    ConfigVersion version; ///< Lowest version in force on any instance of the domain; 0 if unknown.
};

/**
 * Keeps the newest known configuration in force. The version in force never decreases.
 * States of a version: proposed (written to the table), in force on an instance (that instance uses it), and accepted (its row in the
 * table records that it is in force in every failure domain).
 * A change is one conditional write: of two concurrent changes one succeeds, and the other fails with an error that names the version
 * that was written. The change is distributed by peer messages and through the table.
 * Thread safety: none.
 */
class ConfigController
{
public:
    using ProposeHandler = std::function<void(const Result<ConfigVersion> &)>; ///< Called once with the new version or an error.

    /** The references must outlive this object. @param initial Proposed as version 1, whatever its own, if the table holds none. */
    ConfigController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, std::optional<FleetConfig> initial);

    /**
     * Proposes a configuration.
     * @param config The document; its version is assigned by this function.
     * @param by Operator who proposes it.
     * @param expected Version that the proposal is based on; 0 for the one in force on this instance.
     * @param audit Entry for the audit trail; its outcome is set by this function.
     * @param handler Called once: with the new version when it is durable, with a Conflict error if another change came first,
     *        or with an Unavailable error if the platform did not confirm the write.
     */
    void propose(FleetConfig config, const OperatorName &by, ConfigVersion expected, AuditRow audit, ProposeHandler handler);

    /** Handles a configuration that a peer sent; puts it in force if it is newer. */
    void handle(const ConfigUpdate &offer);

    /** Handles a peer's report of the versions in force in its own failure domain. */
    void handle(const PeerRecord &peer, const Heartbeat &heartbeat);

    /** Sends the configuration in force on a new link. */
    void onPeerUp(const PeerRecord &peer);

    /** @return Lowest version in force in each failure domain, sorted by domain. */
    std::vector<DomainConfigVersion> versionsByDomain() const;

    /** @return Lowest version in force in the failure domain of this instance; 0 if an instance of it is not connected. */
    ConfigVersion ownDomainVersion() const;

    /** @return Whether the version in force is marked accepted, that is, in force in every failure domain. */
    bool isAccepted() const
    {
        return this->acceptedVersion == this->board.config.version;
    }

    /** Reads the configuration if due, and marks it accepted once it is in force everywhere. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    void read();
    void onRead(const PlatformReply &reply);
    void applyRow(const ConfigRow &row);
    void putInForce(const FleetConfig &config);
    void markAccepted();
    bool isInForceEverywhere() const;

    Blackboard &board;
    Outbox &outbox;
    PlatformCalls &platform;
    std::optional<FleetConfig> initial; ///< Proposed as version 1 if the table holds no configuration; its own version is ignored.
    std::map<FailureDomain, ConfigVersion> reported; ///< Lowest version in force in other failure domains, from heartbeats.
    ConfigRow lastRow; ///< Configuration row as last read or written.
    RowVersion rowVersion; ///< Version of the row; 0 if it does not exist or has not been read.
    ConfigVersion acceptedVersion; ///< Highest version known to be marked accepted.
    bool isReading = false; ///< Whether a read is in flight.
    bool isMarkingAccepted = false; ///< Whether the write that marks the row accepted is in flight.
    TimePoint nextRead{}; ///< Time of the next read.
};

/** @return Key of the configuration row. */
RowKey configRowKey();

/** @return Key of an audit row. Keys sort by time; the incarnation and the number make them unique. */
RowKey auditRowKey(const AuditRow &row, Incarnation incarnation, std::uint64_t number);

} // namespace Tanagertally
