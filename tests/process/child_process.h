/** A process that a test starts, signals and waits for; it never outlives its object. */
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Tanagertally::ProcessTests {

/** What to start and where its output goes. */
struct ChildCommand {
    std::vector<std::string> arguments; ///< The program and its arguments.
    std::filesystem::path output; ///< File for standard output and error.
    std::vector<std::string> environment = {}; ///< "NAME=value" beside what this process has.
};

/**
 * A child process.
 * Thread safety: one thread at a time.
 */
class ChildProcess
{
public:
    /**
     * Start a process. It inherits no file or socket of this process but the output file.
     * @param command What to start.
     * Throws std::runtime_error if it can't be started.
     */
    explicit ChildProcess(ChildCommand command);

    /** Kill the process if it still runs, and wait for it. */
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Send a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT; no effect if the process has ended. */
    void signal(int number);

    /**
     * Wait for the end.
     * @param timeout Longest wait.
     * @return Its exit code, 128 plus the signal that killed it, or nothing if it still runs.
     */
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

    /** @return Whether the process still runs. */
    bool isRunning();

    /** @return What it has written so far. */
    std::string output() const;

    /** @return Largest resident size so far in bytes; 0 if the process has ended. */
    std::size_t peakMemoryBytes() const;

    /** @return Number of its open sockets and pipes; 0 if the process has ended. */
    std::size_t openSocketCount() const;

private:
    /** Take note of the end, if it has come. */
    void poll();

    ChildCommand command; ///< What was started.
    pid_t pid = -1; ///< Its number.
    std::optional<int> exitCode; ///< Set once it has ended.
};

/** Run a process to its end. @return Its exit code; throws std::runtime_error if it runs for more than 30 s. */
int runToExit(ChildCommand command);

} // namespace Tanagertally::ProcessTests
