/** The fleet configuration: learning it, proposing changes, and seeing that it is in force everywhere. */
#pragma once

#include "controllers/platform_calls.h"
#include "controllers/reply_sender.h"
#include "controllers/row_type.h"

#include <map>

namespace Tanagertally {

/** How far a configuration has come in one failure domain. */
struct DomainConfig {
    FailureDomain domain; ///< The failure domain.
    ConfigVersion version; ///< Lowest version in force there; 0 if that is not known.
};

/**
 * Keeps the newest configuration in force. A lower version is never put in force, whoever offers it.
 *
 * A change is one conditional write; of two operators who race, one wins and the other hears the version that won. It
 * spreads from peer to peer and through the table, and is marked accepted once every failure domain has it in force.
 * Thread safety: none.
 */
class ConfigController
{
public:
    using ProposeHandler = std::function<void(const Result<ConfigVersion> &)>; ///< Called once with the new version or why not.

    /** The references must outlive this object. @param initial Proposed as version 1 if the table holds none. */
    ConfigController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, std::optional<FleetConfig> initial);

    /**
     * Propose a configuration.
     * @param config The document; its version is set here.
     * @param by Who proposes it.
     * @param expected Version that it is based on; 0 for the one in force here.
     * @param audit Entry for the audit trail; its outcome is set here.
     * @param handler Called once: with the new version when it is durable, or with a Conflict error.
     */
    void propose(FleetConfig config, const OperatorName &by, ConfigVersion expected, AuditRow audit, ProposeHandler handler);

    /** A peer offers a configuration. */
    void handle(const ConfigOffer &offer);

    /** A peer reported what is in force in its own and other failure domains. */
    void handle(const PeerRecord &peer, const Heartbeat &heartbeat);

    /** A link is up: offer it what is in force. */
    void onPeerUp(const PeerRecord &peer);

    /** @return Lowest version in force in each failure domain, sorted by domain. */
    std::vector<DomainConfig> byDomain() const;

    /** @return Lowest version in force in the own failure domain, as far as its instances are connected. */
    ConfigVersion ownDomainVersion() const;

    /** @return Whether the version in force is accepted: in force in every failure domain. */
    bool isAccepted() const
    {
        return this->acceptedVersion == this->board.config.version;
    }

    /** Do what is due. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    void read();
    void onRead(const PlatformReply &reply);
    void applyRow(const ConfigRow &row);
    void putInForce(const FleetConfig &config);
    void markAccepted();
    bool isInForceEverywhere() const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    PlatformCalls &platform; ///< The platform.
    std::optional<FleetConfig> initial; ///< Proposed if the table holds none.
    std::map<FailureDomain, ConfigVersion> reported; ///< Lowest version in force elsewhere.
    ConfigRow lastRow; ///< The row as it was last read or written.
    RowVersion rowVersion; ///< Its version; 0 if there is none or it was not read.
    ConfigVersion acceptedVersion; ///< Highest version known to be accepted.
    bool isReading = false; ///< Whether a read is under way.
    bool isMarkingAccepted = false; ///< Whether the acceptance is being written.
    TimePoint nextRead{}; ///< When to read again.
};

/** @return Key of the configuration's row. */
RowKey configRowKey();

/** @return Key of an audit row: ordered by time, unique by incarnation and number. */
RowKey auditRowKey(const AuditRow &row, Incarnation incarnation, std::uint64_t number);

} // namespace Tanagertally
