/** Jobs that the tests submit, and checks of what came of them. */
#pragma once

#include "process_fixture.h"

#include <string>

namespace Tanagertally::ProcessTests {

inline const FleetSize SmallFleet{4, 2, 8, {}}; ///< e1 and e3 are in dc1, e2 and e4 in dc2.

/** What a job is made of. */
struct JobShape {
    std::string key; ///< Its key.
    std::string kind = "confirm"; ///< Kind of all its tasks; "lookup" is idempotent, "confirm" is not.
    std::string mode = "wait"; ///< "wait" or "later".
    std::size_t tasks = 1; ///< Number of tasks.
    double runTimeMs = 20; ///< Run time of each task at the endpoint.
};

/** @return The body of a submission; each task has a payload of its own. */
nlohmann::json makeJob(const JobShape &shape);

/** Check that an answer is complete and that each entry is the echo of its own task. */
void checkCompleteAnswer(const HttpAnswer &answer, const nlohmann::json &job);

/**
 * Check that an answer or refusal is true: it is whole, a task that ran was started, and one that did not run never was.
 * @param fleet Where starts are counted.
 * @param answer The answer.
 * @param job The job.
 */
void checkFailedAnswer(const ProcessFleet &fleet, const HttpAnswer &answer, const nlohmann::json &job);

/** @return Starts of each task of a job under a key that needs no percent-encoding. */
std::vector<std::uint64_t> startsOfTasks(const ProcessFleet &fleet, const nlohmann::json &job);

/** @return Whether a reply holds an answer: complete or failed. */
bool isJobAnswer(const HttpAnswer &answer);

/**
 * Fetch a job that was accepted until it has an answer.
 * Checks that no reply before says that the job is unknown or has not run.
 */
HttpAnswer fetchAnswer(const Daemon &daemon, const std::string &key);

/** @return The rows that an instance answers to a query. */
nlohmann::json askRows(const Daemon &daemon, const std::string &text);

} // namespace Tanagertally::ProcessTests
