/** A small deployment on loopback: entry processes of the deploy file, stand-ins of the store and the workers, and clients. */
#pragma once

#include "child_process.h"
#include "http_call.h"
#include "platform/tests/standins/fault_proxy.h"
#include "process_tools.h"
#include "worker.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <fstream>
#include <future>
#include <mutex>
#include <thread>

namespace Tanagertally::Review {

/** The deployment. */
struct FleetPlan {
    std::vector<std::string> zones; ///< All zones.
    std::size_t entriesPerZone = 2; ///< Entry processes in each zone.
    std::vector<WorkerPlan> workers; ///< The workers.
    Json routes; ///< The routes of the configuration.
    bool hasLinkProxies = false; ///< Whether the entries reach each other through proxies, so that one can be cut off.
};

/** One step of a job. */
struct StepPlan {
    std::uint32_t count = 1; ///< Number of tasks.
    std::int64_t cpu = 1000; ///< Demand of each task.
    std::chrono::milliseconds work{}; ///< Run time, which is also the estimate.
    std::string requirements; ///< Label that the worker must have; empty for any.
};

/** A job; each step comes after the one before. */
struct JobPlan {
    std::string id; ///< 16 hexadecimal digits.
    std::string prefix; ///< Prefix of its route.
    std::vector<StepPlan> steps; ///< Its steps.
    bool isBestEffort = false; ///< Whether it needn't be stored, so that the POST is answered when it has ended.

    /** @return Body of the POST. */
    std::string body() const;
};

/** What an accepted job looks like from outside. */
struct JobView {
    std::string state; ///< Last state that a GET told; empty if none did.
    unsigned status = 0; ///< Status of that GET.
    std::size_t running = 0; ///< Number of its tasks that run on workers that are up.
};

/** An entry process. */
struct Entry {
    std::string name; ///< Name of the node.
    std::string zone; ///< Its zone.
    std::string frontend; ///< Address for clients.
    std::string ready; ///< Address for probes.
    std::string peerPort; ///< Internal port.
    std::filesystem::path settings; ///< Its settings file.
    std::filesystem::path log; ///< What it writes.
    std::unique_ptr<ProcessTests::ChildProcess> process; ///< The process.
};

/** The fleet. Thread safety: used from one thread. */
class Fleet
{
public:
    /** Starts everything and waits until all entries are ready. Throws std::runtime_error if one doesn't become ready. */
    Fleet(const FleetPlan &fleetPlan, const std::filesystem::path &recordFile);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Writes a line with the time into the record. Thread safety: any thread. */
    void record(const std::string &line);

    /**
     * Hands a job in as a client does: again after 1.3 s at the next entry without an answer, and after 502, 504, 429 or 503.
     * @param entry Number of the entry that gets the first attempt.
     * @return Whether it was accepted within `patience`.
     */
    bool submit(const JobPlan &job, std::size_t entry, std::chrono::milliseconds patience = std::chrono::seconds(10));

    /** Hands a job in once. @return The answer. Thread safety: any thread. */
    ProcessTests::HttpAnswer post(const JobPlan &job, std::size_t entry);

    /**
     * Opens a way for a client to an entry that holdTraffic() of it holds up.
     * @return Its address.
     */
    std::string openClientProxy(std::size_t entry);

    /** Makes a job known to the workers. Thread safety: any thread. */
    void announce(const JobPlan &job);

    /** Holds up all that goes to and from an entry over its links to other entries, or lets it through. */
    void holdLinks(std::size_t entry, bool isHeld);

    /** The same for the last client proxy. */
    void holdClient(bool isHeld);

    /** @return A request of a client for a job. */
    ProcessTests::HttpCall request(const JobPlan &job, std::size_t entry, const std::string &method) const;

    /** @return Number of the entry that leads the cell of a zone; nothing if none does. */
    std::optional<std::size_t> leaderOf(const std::string &zone);

    /** @return What a GET at an entry tells of a job, and how many of its tasks run. */
    JobView look(const JobPlan &job, std::size_t entry);

    /** Calls a function on the thread of the stand-ins. @return Its result. */
    template<typename Use>
    auto with(Use use)
    {
        std::packaged_task<decltype(use())()> task(use);
        auto result = task.get_future();
        boost::asio::post(this->io, [&task] { task(); });
        return result.get();
    }

    /**
     * Checks the bound of the rule LOST for jobs of which one task's turn has come, `finish_s` after the end of the traffic: for 3 s on end
     * the job has nothing running, there is capacity for the task twice over, and under half of the service's capacity is in use.
     * @param fits Whether a worker may run the task.
     * @return Ids of the jobs for which the rule is broken.
     */
    std::vector<std::string> findStranded(const std::vector<JobPlan> &jobs, std::int64_t cpu,
                                          const std::function<bool(const Worker &)> &fits);

    std::vector<Entry> entries; ///< The entry processes.
    std::vector<std::unique_ptr<Worker>> workers; ///< The workers; used on the thread of the stand-ins.
    std::unique_ptr<Platform::Test::StoreStandin> store; ///< The store; used on the thread of the stand-ins.

private:
    void createEntries();
    void writeSettings(const Entry &entry, std::size_t number);
    void translate(std::size_t reader, Cells::Row &row) const;
    std::optional<TaskCost> costOf(const std::string &task);

    FleetPlan plan;
    ProcessTests::TemporaryFolder folder;
    std::mutex recordMutex; ///< Guards `recordStream`.
    std::ofstream recordStream;
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
    std::mutex jobsMutex; ///< Guards `jobs`.
    std::map<std::string, JobPlan> jobs; ///< Jobs that were sent.
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    boost::asio::steady_timer timer;
    std::vector<std::vector<std::unique_ptr<Platform::Test::FaultProxy>>> linkProxies; ///< By connecting and accepting entry.
    std::unique_ptr<Platform::Test::FaultProxy> clientProxy; ///< The last one that was opened.
    bool isStopping = false; ///< On the thread of the stand-ins.
    std::thread thread;
};

/** @return A route as the operator writes it. */
Json route(const std::string &name, const std::string &prefix, int maxAttempts, std::chrono::milliseconds target, double stretch);

/** @return Whether the environment asks for the disruption; TROUBLE=0 leaves it out. */
bool isTroubleOn();

/** @return An id of 16 hexadecimal digits. */
std::string jobId(std::uint64_t kind, std::uint64_t number);

} // namespace Tanagertally::Review
