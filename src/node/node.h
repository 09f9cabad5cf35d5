/** One instance of the fleet: takes callers' calls, brings them to the leaders of cells, and leads cells itself. */
#pragma once

#include "node/cell_directory.h"
#include "node/leadership.h"
#include "node/node_ports.h"

#include <deque>
#include <unordered_map>

namespace Tanagertally::Cells {

/** Set-up of a node. */
struct NodeOptions {
    InstanceRecord self; ///< This instance.
    std::vector<FailureDomain> domains; ///< All failure domains; each is a cell.
    LeaseTerms lease; ///< Bounds of the leases of endpoints.
    Duration callReserve = std::chrono::milliseconds(100); ///< A call is answered so long before its deadline, as unknown if need be.
};

/**
 * One instance. All methods are called on one thread; none blocks.
 */
class Node
{
public:
    /** Make a node; connect its links next. */
    Node(NodeOptions options, NodePorts ports);

    /** Set the links to other instances. @pre Called once, before tick(). */
    void connect(NodeLinks links);

    /** @return What the links have to call. */
    NodeLinkHandlers linkHandlers();

    /** @return First message on each peer link. */
    static std::string helloOf(const InstanceRecord &self);

    /** Take over the configuration; one that isn't newer is ignored. @return Whether it is in force now. */
    bool setConfig(FleetConfig config);

    /** @return The configuration in force; version 0 if none. */
    const FleetConfig &config() const;

    /** Take over the endpoints of the registry. */
    void setEndpoints(std::vector<EndpointRecord> records);

    /** @return Whether the registry has to be followed, as this instance leads cells or is about to. */
    bool needsEndpoints() const;

    /** Forget the endpoints, as the registry is no longer followed. @pre !needsEndpoints() */
    void forgetEndpoints();

    /** Hand in a job for a caller; an answer follows. @pre findSpecFault() is empty. */
    void submit(CallId call, JobId id, JobSpec spec, JobTerms terms, TimePoint deadline);

    /** Ask about a job, or cancel it, for a caller; an answer follows. */
    void ask(CallId call, JobId id, JobQuestion question, TimePoint deadline);

    /** Forget a caller's call whose caller is gone. */
    void forget(CallId call);

    /** @return Accepted jobs of a queue of which no task has started, over all cells; nothing if a cell can't be asked. */
    std::optional<std::uint64_t> pendingJobs(const QueueName &queue) const;

    /** @return Whether this instance leads a cell, or is about to. */
    bool leadsCells() const;

    /** Log that a submission was refused before it came to the node. */
    void logRefusal(const JobId &id, std::string_view reason) const;

    /** @return The time as the node sees it. */
    TimePoint now() const;

    /** @return Whether callers are welcome. */
    bool isReady() const;

    /** Begin a planned stop: give up all leads; calls go on being answered. */
    void leave();

    /** Answer all calls that are still open as unknown, and stop what runs for them, as the process ends. */
    void abandonCalls();

    /** @return Whether nothing is left to do before the process may end. */
    bool isIdle() const;

    /** Do what is due. To be called every 20 ms or so. */
    void tick();

private:
    /** A call that awaits an answer: of a caller here, or of another instance. */
    struct PendingCall {
        enum class Kind : std::uint8_t {
            Submission, ///< A caller's submission.
            Question, ///< A caller's question or cancelling.
            RemoteSubmission, ///< Another instance's submission.
            RemoteQuestion, ///< Another instance's cancelling.
        };
        Kind kind = Kind::Submission; ///< Which of them.
        CallId origin; ///< The caller's call, or the other instance's.
        LinkHandle connection = 0; ///< Connection of the other instance.
        InstanceName asker; ///< The other instance.
        JobId id; ///< The job.
        JobQuestion question = JobQuestion::State; ///< What is asked.
        std::shared_ptr<const std::pair<JobSpec, JobTerms>> job; ///< What is submitted.
        std::vector<CellName> triedCells; ///< Cells that refused it.
        CellName cell; ///< Cell that is being asked; empty if none.
        InstanceName leader; ///< Instance that is being asked; empty if this one.
        bool isAsking = false; ///< Whether an answer is awaited.
        bool wasOffered = false; ///< Whether a leader that is gone may have run it: only the cell's next leader may get it.
        bool isCellRead = false; ///< Whether the store told the cell, and not this instance's memory.
        bool isReadingId = false; ///< Whether the store is being asked which cell has the job.
        TimePoint deadline; ///< When to answer at the latest.
        TimePoint retryAt; ///< When to try again.
    };

    /** Another instance as its row in the store tells. */
    struct Member {
        InstanceRecord record; ///< The row.
        RowVersion version; ///< Version of the row.
        TimePoint changedAt; ///< When a change of it was noticed last.
        bool isLeaving = false; ///< Whether it says that it is shutting down.
    };

    /** A cell that this instance leads or is about to lead. */
    struct LedCell {
        std::unique_ptr<CellLeader> leader; ///< Its leader.
        bool isKnown = false; ///< Whether the others were told that it leads.
        TimePoint claimedAt; ///< When it began to take the lead.
        std::uint64_t generation = 0; ///< Tells answers for an earlier leader of the same cell apart.
    };

    // node.cpp: calls.
    void offer(CallId call, PendingCall &pending);
    void withdraw(CallId call, const PendingCall &pending);
    void askLeader(CallId call, PendingCall &pending);
    void offerAgain(CallId call, PendingCall &pending);
    void noteMoved(PendingCall &pending);
    void moveCallsFrom(const CellName &cell, const InstanceName &formerLeader);
    void readId(CallId call, const JobId &id);
    void onSubmitAnswer(CallId call, SubmitAnswer answer);
    void onJobAnswer(CallId call, JobAnswer answer);
    void retryCalls(TimePoint now);
    void failCallsTo(const InstanceName &instance);
    void noteCellOf(const JobId &id, const CellName &cell);

    // node_cells.cpp: leaders that run here.
    void wantEndpoints(TimePoint now);
    void runActions(const CellName &cell);
    void runAction(const CellName &cell, std::uint64_t generation, CellAction &&action);
    void readCell(const CellName &cell, std::uint64_t generation, std::shared_ptr<CellContent> content, std::size_t table,
                  const std::string &from);
    std::vector<EndpointRecord> endpointsOf(const CellName &cell) const;
    template<typename Use>
    void withLeader(const CellName &cell, std::uint64_t generation, Use use);

    // node_leads.cpp: who leads.
    void planLeads(TimePoint now);
    void claim(const CellName &cell);
    bool mayReplace(const CellName &cell, const LeadRecord &lead) const;
    void noteLeaderInStore(const CellName &cell, const LeadEnded &lead);
    void giveWay(TimePoint now, std::span<const LeadCandidate> able);
    void advertise(TimePoint now);
    void noteAdvert(const InstanceName &from, const CellAdvert &advert);
    bool isMemberAlive(const Member &member) const;
    std::vector<LeadCandidate> candidates() const;

    // node_peers.cpp: the other instances.
    void heartbeat(TimePoint now);
    void readMembers();
    void onMembersRead(const ReadResult &result);
    void onAsked(LinkHandle connection, std::string_view bytes);
    void onReplied(const InstanceName &peer, std::string_view bytes);
    void onSubmitAsked(LinkHandle connection, LinkSubmit &submit);
    void withdrawCall(CallId call);
    void onAskerLost(LinkHandle connection);
    void onSubmitReplied(const InstanceName &peer, LinkSubmitReply &reply);
    void onPeerLost(const InstanceName &peer, bool wasRefused);

    // node.cpp
    void log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning = false) const;
    void callLater(Duration delay, std::function<void()> task);

    NodeOptions options; ///< Set-up.
    NodePorts ports; ///< Adapters.
    NodeLinks links; ///< Links to other instances.
    LeadershipLimits limits; ///< When leaders count as lost.
    FleetConfig fleetConfig; ///< In force.
    std::vector<EndpointRecord> endpoints; ///< As the registry lists them.
    bool areEndpointsKnown = false; ///< Whether the registry was read and is followed.
    TimePoint endpointsWantedUntil; ///< Until when the registry is needed without a lead.
    std::map<CellName, CellView> cells; ///< All cells.
    std::map<CellName, LedCell> led; ///< Cells that this instance leads.
    std::map<InstanceName, Member> members; ///< Other instances.
    std::map<CallId, PendingCall> calls; ///< Calls that await an answer.
    std::unordered_map<JobId, CellName> cellOfJob; ///< Cells of jobs that were handed in here.
    std::deque<JobId> rememberedJobs; ///< Keys of `cellOfJob`, oldest first.
    std::uint64_t lastCall = 0; ///< Last number given to a call.
    std::uint64_t lastGeneration = 0; ///< Last number given to a leader.
    std::map<LinkHandle, InstanceName> askers; ///< Instances by the connections that they opened.
    TimePoint startedAt; ///< When the node was made.
    TimePoint nextHeartbeatAt; ///< When to write the instance's row again.
    TimePoint nextMemberReadAt; ///< When to read the instances' rows again.
    TimePoint nextAdvertAt; ///< When to tell the others again.
    TimePoint nextPlanAt; ///< When to look at the leads again.
    TimePoint membersReadAt; ///< When the instances' rows were read last.
    bool isHeartbeatInFlight = false; ///< Whether the instance's row is being written.
    bool isMemberReadInFlight = false; ///< Whether the instances' rows are being read.
    bool isAdvertDue = false; ///< Whether something changed that the others should know at once.
    bool isLeaving = false; ///< Whether the process is shutting down.
    TimePoint storeGoodSince = TimePoint::max(); ///< Since when the instances' rows have been read without a failure.
    std::multimap<TimePoint, std::function<void()>> delayed; ///< What is to be done later.
};

} // namespace Tanagertally::Cells
