/** One instance of the fleet: accepts callers' calls, forwards them to the leaders of cells, and leads cells itself. */
#pragma once

#include "node/cell_directory.h"
#include "node/cell_layout.h"
#include "node/evacuation_type.h"
#include "node/leadership.h"
#include "node/memory_meter.h"
#include "node/node_ports.h"
#include "node/suspension_watch.h"
#include "node/transfer_room.h"

#include <deque>
#include <limits>
#include <unordered_map>

namespace Tanagertally::Cells {

/** Options of a Node. */
struct NodeOptions {
    InstanceRecord self; ///< Record of this instance.
    std::vector<FailureDomain> domains; ///< All failure domains.
    LeaseTerms lease; ///< Bounds of the leases of endpoints.
    Duration callReserve = std::chrono::milliseconds(100); ///< A call is answered this long before its deadline, as unknown if need be.
    Duration evacuationBound{}; ///< Time after an operator's request in which endpoints of the domain may still start tasks; 0 for none.
    std::size_t maxRowBytes = std::numeric_limits<std::size_t>::max(); ///< Largest value of a row that the store accepts.
    std::size_t maxHeapBytes = std::numeric_limits<std::size_t>::max(); ///< Heap in use up to which jobs are taken.
};

/**
 * One instance of the fleet. All methods must be called on the same thread; none blocks.
 */
class Node
{
public:
    /** Create a node. connect() must be called next. */
    Node(NodeOptions options, NodePorts ports);

    /** Set the links to other instances. @pre Called once, before tick(). */
    void connect(NodeLinks links);

    /** @return The callbacks that the links must call. */
    NodeLinkHandlers linkHandlers();

    /** @return The encoded first message on each connection to another instance. */
    static std::string encodeHello(const InstanceRecord &self);

    /** Put a configuration in force unless its version is not newer. @return Whether it was put in force. */
    bool setConfig(FleetConfig config);

    /** @return The configuration in force; its version is 0 if there is none. */
    const FleetConfig &config() const;

    /** @return Whether another instance has advertised a newer configuration than the one in force here. */
    bool isConfigOutdated() const;

    /** Replace the evacuated failure domains by those of the operators' table. No lead is claimed before the first call. */
    void setEvacuations(const EvacuationRequests &requests);

    /** @return Number of evacuated failure domains, including unknown ones. */
    std::size_t evacuatedDomainCount() const;

    /** Replace the known endpoints by those of the registry. */
    void setEndpoints(std::vector<EndpointRecord> records);

    /** @return Whether the registry must be followed, because this instance leads cells, is about to, or recently did. */
    bool needsEndpoints() const;

    /** Remove all known endpoints, as the registry is no longer followed. @pre !needsEndpoints() */
    void clearEndpoints();

    /** Submit a job for a caller. NodePorts::answerSubmission is called with the answer. @pre validateSpec() is empty. */
    void submit(CallId call, JobId id, JobSpec spec, JobTerms terms, TimePoint deadline);

    /** Query the state of a job, or cancel it, for a caller. NodePorts::answerJob is called with the answer. */
    void submitQuestion(CallId call, JobId id, JobQuestion question, TimePoint deadline);

    /** Drop a call whose caller has disconnected, and withdraw its job if it is a submission. */
    void dropCall(CallId call);

    /** @return Accepted jobs of a queue of which no task has started, over all cells; nothing if the load of a cell is unavailable. */
    std::optional<std::uint64_t> countPendingJobs(const QueueName &queue) const;

    /** @return Whether this instance leads a cell or is taking the lead of one. */
    bool leadsCells() const;

    /** Log a submission that was refused before it reached the node. */
    void logRefusal(const JobId &id, std::string_view reason) const;

    /** Log a request that was refused before it was read as a whole. */
    void logRefusedRequest(std::string_view reason) const;

    /** Log a request that was refused because the configuration in force has no queue for it. */
    void logUnknownQueue(std::string_view host, std::string_view path) const;

    /** @return Current time of the node's clock. */
    TimePoint now() const;

    /**
     * @return Whether the instance accepts callers: it is not shutting down, has a configuration, reaches the leader of a cell, and has
     * known a cell with endpoints since its start, or has waited for one long enough.
     */
    bool isReady() const;

    /** Start a planned stop: release all leads. Open calls are still answered. */
    void beginShutdown();

    /** Answer all open calls as unknown and withdraw their jobs, because the process is about to end. */
    void answerOpenCallsAsUnknown();

    /** @return Whether the process may end: no cell is led and no call is open. */
    bool isIdle() const;

    /** Run everything that is due. Must be called about every 20 ms. */
    void tick();

private:
    /** A call that awaits an answer, from a local caller or from another instance. */
    struct PendingCall {
        enum class Kind : std::uint8_t {
            Submission, ///< Submission of a local caller.
            Question, ///< Status query or cancellation of a local caller.
            RemoteSubmission, ///< Submission forwarded by another instance.
            RemoteQuestion, ///< Cancellation forwarded by another instance.
        };
        Kind kind = Kind::Submission;
        CallId origin; ///< Call id assigned by the local caller's adapter or by the other instance.
        LinkHandle connection = 0; ///< Inbound connection of the other instance; 0 for a call of a local caller.
        InstanceName requester; ///< The other instance; set only for remote submissions.
        JobId id; ///< The job; not set for remote questions.
        JobQuestion question = JobQuestion::State; ///< Set only for questions of local callers.
        std::shared_ptr<const std::pair<JobSpec, JobTerms>> job; ///< The submitted job; set only for submissions of local callers.
        std::vector<CellName> triedCells; ///< Cells that refused the job or whose leader couldn't be reached.
        int overloadRefusals = 0; ///< Number of leaders that refused the job as overloaded.
        CellName cell; ///< Cell to which the call is sent; empty if none.
        InstanceName leader; ///< Instance to which the call was sent; empty if this one.
        bool isAwaitingAnswer = false; ///< Whether the call was sent and its answer is outstanding.
        bool mayBeOld = false; ///< Whether the caller of a best-effort job may have given up while this process was suspended.
        bool mayHaveRun = false; ///< Whether a former leader may have run the job; then only the next leader of the same cell may get it.
        bool isCellFromStore = false; ///< Whether `cell` was read from the store rather than taken from `cellOfJob`.
        bool isLookingUpCell = false; ///< Whether a read of the job's cell from the store is in flight.
        TimePoint deadline; ///< Latest time for the answer.
        TimePoint retryAt; ///< Time of the next attempt, if no answer is outstanding.
    };

    /** Another instance, as described by its row in the store. */
    struct Member {
        InstanceRecord record; ///< Decoded row.
        RowVersion version; ///< Version of the row.
        TimePoint changedAt; ///< Time when this instance last read a changed version of the row.
        bool isLeaving = false; ///< Whether the instance has announced that it is shutting down.
        TimePoint linkNeededUntil; ///< Earliest time at which the link to the instance may be closed.
    };

    /** Endpoints of a failure domain without a layout. */
    struct EndpointCount {
        std::size_t count = 0; ///< Registered endpoints of the domain.
        TimePoint changedAt; ///< Time when `count` last changed.
    };

    /** Free room of the endpoints of a cell, as its leader last answered. */
    struct CellRooms {
        RoomByEndpoint rooms; ///< Less what was handed over since.
        std::optional<TimePoint> askedAt; ///< Time of the last question.
        std::optional<TimePoint> answeredAt; ///< Time of the last answer.
    };

    /** A cell that this instance claims, leads or releases; the entry exists from claim() until its leader emits LeadEnded. */
    struct LedCell {
        std::unique_ptr<CellLeader> leader; ///< Created by claim().
        bool isAdvertised = false; ///< Whether an advert has been scheduled since the lead was confirmed.
        bool isRoomAdvertised = false; ///< Whether one has been scheduled since an endpoint first listed its runs.
        TimePoint claimedAt; ///< Time when the claim started.
        std::uint64_t generation = 0; ///< Identifies the leader, so that answers for an earlier leader of the same cell are ignored.
    };

    // node.cpp: readiness.
    bool reachesLeader() const;
    void updateReadiness(TimePoint now);

    // node.cpp: calls.
    void submitToCell(CallId call, PendingCall &pending);
    void answerWithoutMemory(CallId call, const JobId &id, const JobSpec &spec);
    void withdraw(CallId call, const PendingCall &pending);
    void sendQuestion(CallId call, PendingCall &pending);
    Duration patienceOf(const PendingCall &pending) const; ///< @return How long the caller still waits.
    void resubmit(CallId call, PendingCall &pending);
    void scheduleRetry(PendingCall &pending);
    void detectSuspension(TimePoint now);
    void scheduleRetriesInCell(const CellName &cell, const InstanceName &formerLeader);
    void lookUpCell(CallId call, const JobId &id);
    void onSubmitAnswer(CallId call, SubmitAnswer answer);
    void onJobAnswer(CallId call, JobAnswer answer);
    void retryCalls(TimePoint now);
    void scheduleRetriesFor(const InstanceName &instance);
    void cacheCellOf(const JobId &id, const CellName &cell);

    // node_cells.cpp: leaders of cells on this instance.
    void requestEndpoints(TimePoint now);
    void runActions(const CellName &cell);
    void runAction(const CellName &cell, std::uint64_t generation, CellAction &&action);
    void readCellRows(const CellName &cell, std::uint64_t generation, std::shared_ptr<CellContent> content, std::size_t tableIndex,
                      const std::string &firstKey);
    /** @return Whether the configuration names a service. All are served while it names none, as before the first configuration. */
    bool isServiceNamed(const ServiceName &service) const;
    std::vector<EndpointRecord> endpointsOf(const CellName &cell) const;
    template<typename Callback>
    void withLeader(const CellName &cell, std::uint64_t generation, Callback callback);

    // node_transfers.cpp: transfer of stored jobs between cells.
    using EndpointsByCell = std::map<CellName, std::vector<const EndpointRecord *>>; ///< Valid until `endpoints` changes.
    void planTransfers(TimePoint now);
    EndpointsByCell endpointsByCell() const;
    bool awaitsRooms(TimePoint now, const CellName &source, const EndpointsByCell &byCell);
    void onRoomsAnswered(const CellName &cell, std::span<const EndpointRoom> rooms);
    std::optional<CellName> chooseTransferTarget(const CellName &source, const IdleJob &idle, const EndpointsByCell &byCell);
    void announceTransfers(const LinkTransfer &announcement);
    bool onTransfersAnnounced(const LinkTransfer &announcement); ///< @return Whether this instance leads the target.
    void confirmTransfers(const LinkTransferDone &confirmation);
    bool onTransfersConfirmed(const LinkTransferDone &confirmation); ///< @return Whether this instance leads the source.
    void sendToLeader(const CellName &cell, const LinkMessage &message);
    void readTransferredJob(const CellName &cell, std::uint64_t generation, const JobId &id);
    void readTransferredProgress(const CellName &cell, const JobId &id, TransferredRows rows,
                                 const std::function<void(TransferredRows)> &report);

    // node_evacuation.cpp: evacuated failure domains.
    void applyEvacuations(TimePoint now);
    std::optional<TimePoint> startLimitOf(const CellName &cell) const; ///< For CellLeader::setEvacuated().
    bool areAllDomainsEvacuated() const;

    // node_layout.cpp: division of failure domains into cells.
    bool areLayoutsComplete() const;
    void readLayouts();
    void onLayoutsRead(const ReadResult &result);
    void chooseLayouts(TimePoint now);
    void storeLayout(const DomainLayout &layout);

    // node_leads.cpp: choice of leaders.
    void planLeads(TimePoint now);
    void claim(const CellName &cell);
    TimePoint lastSignOfLeader(const CellView &view) const; ///< @pre The cell is vacant.
    bool canReplace(const CellName &cell, const LeadRecord &lead) const;
    Duration callerSilence(CallId call) const; ///< For CellLeaderOptions::callerSilence.
    void applyStoredLead(const CellName &cell, const LeadEnded &lead);
    void releaseLeads(TimePoint now, std::span<const LeadCandidate> candidates);
    void advertise(TimePoint now);
    void applyAdvert(const InstanceName &from, const CellAdvert &advert);
    bool isMemberAlive(const Member &member) const;
    bool isCutOffFromPeers() const; ///< @return Whether no instance is heard, although several write their rows.
    std::vector<LeadCandidate> leadCandidates() const;

    // node_peers.cpp: membership and messages of other instances.
    void heartbeat(TimePoint now);
    void readMembers();
    void onMembersRead(const ReadResult &result);
    void updateLinks();
    bool needsLink(const InstanceName &name, const Member &member) const;
    void onRequest(LinkHandle connection, std::string_view bytes);
    void onReply(const InstanceName &peer, std::string_view bytes);
    void onSubmitRequest(LinkHandle connection, LinkSubmit &submit);
    void withdrawRemoteCall(CallId call);
    void onInboundLinkLost(LinkHandle connection);
    void onSubmitReply(const InstanceName &peer, LinkSubmitReply &reply);
    void onPeerLost(const InstanceName &peer, bool wasRefused);

    // node.cpp
    void log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning = false) const;
    void callLater(Duration delay, std::function<void()> task);

    NodeOptions options;
    NodePorts ports; ///< Adapters.
    NodeLinks links; ///< Links to other instances.
    LeadershipLimits limits;
    FleetConfig fleetConfig; ///< Configuration in force.
    std::uint64_t advertisedConfigVersion = 0; ///< Newest configuration version that another instance has in force.
    std::map<FailureDomain, DomainEvacuation> evacuations; ///< Evacuated failure domains.
    RowVersion operatorTableVersion; ///< Version of the newest change of the operators' table that was applied here.
    bool areEvacuationsKnown = false; ///< Whether the operators' table was read.
    std::vector<EndpointRecord> endpoints; ///< Endpoints of all cells, as last set from the registry.
    bool areEndpointsKnown = false; ///< Whether the registry is followed and its first read has completed.
    TimePoint endpointsNeededUntil; ///< The registry is followed at least until this time, even if no cell is led.
    std::map<FailureDomain, DomainLayout> layouts; ///< Layouts of the failure domains, as far as known; they never change.
    std::map<FailureDomain, EndpointCount> endpointCounts; ///< Of domains for whose layout this instance is responsible.
    std::map<CellName, CellView> cells; ///< All cells of the domains in `layouts`.
    std::map<CellName, CellRooms> roomsOfCells; ///< Free room of other cells' endpoints, for transfers; asked for while jobs are idle.
    std::map<CellName, LedCell> ledCells; ///< Cells that this instance leads or is taking the lead of.
    std::map<InstanceName, Member> members; ///< Other instances.
    std::map<CallId, PendingCall> calls; ///< Calls that await an answer, by this node's call id.
    std::unordered_map<JobId, CellName> cellOfJob; ///< Cache of the cells of jobs that were submitted or looked up here.
    std::deque<JobId> cachedJobs; ///< Keys of `cellOfJob`, oldest first.
    std::uint64_t lastCall = 0; ///< Last call id assigned.
    std::uint64_t lastGeneration = 0; ///< Last generation assigned to a leader.
    std::map<LinkHandle, InstanceName> inboundPeers; ///< Instances by their inbound connection.
    TimePoint startedAt; ///< Time of construction.
    SuspensionWatch suspensionWatch; ///< Tells whether what this process reads may be old.
    MemoryMeter memory; ///< Tells whether there is memory for another job.
    TimePoint nextHeartbeatAt; ///< Time of the next write of this instance's row.
    TimePoint nextMemberReadAt; ///< Time of the next read of the instances' rows.
    TimePoint nextLayoutReadAt; ///< Time of the next read of the layouts, until they are complete.
    TimePoint nextAdvertAt; ///< Time of the next periodic advert.
    TimePoint nextPlanAt; ///< Time of the next planLeads().
    TimePoint membersReadAt; ///< Time of the last successful read of the instances' rows.
    bool isHeartbeatInFlight = false; ///< Whether a write of this instance's row is in flight.
    bool isMemberReadInFlight = false; ///< Whether a read of the instances' rows is in flight.
    bool isLayoutReadInFlight = false; ///< Whether a read of the layouts is in flight.
    bool areLayoutsRead = false; ///< Whether the layouts were read since this instance last stored one.
    bool areLinksDue = false; ///< Whether leads have changed since the last updateLinks().
    std::optional<TimePoint> reachesLeaderSince; ///< When the instance first reached the leader of a cell; unset before.
    bool hasKnownRoom = false; ///< Whether a cell with endpoints has been known since the start.
    bool isAdvertDue = false; ///< Whether a change must be advertised in the next tick.
    bool isLeaving = false; ///< Whether the process is shutting down.
    TimePoint storeReadableSince = TimePoint::max(); ///< First successful read of the instances' rows after a failed one; max() if none.
    std::multimap<TimePoint, std::function<void()>> delayedTasks; ///< Tasks by the time when they are due.
};

template<typename Callback>
void Node::withLeader(const CellName &cell, std::uint64_t generation, Callback callback)
{
    const auto found = this->ledCells.find(cell);
    if (found == this->ledCells.end() || found->second.generation != generation) {
        return;
    }
    callback(*found->second.leader);
    this->runActions(cell);
}

} // namespace Tanagertally::Cells
