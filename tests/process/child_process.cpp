#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Tanagertally::ProcessTests {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(5);
constexpr auto LongestRun = std::chrono::seconds(30);
constexpr int SignalExitBase = 128;

/** @return The texts as the null-terminated array that the system takes. */
std::vector<char *> toPointers(const std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    for (const std::string &text : texts) {
        pointers.push_back(const_cast<char *>(text.c_str()));
    }
    pointers.push_back(nullptr);
    return pointers;
}

pid_t spawn(const ChildCommand &command)
{
    const std::vector<char *> arguments = toPointers(command.arguments);
    std::vector<std::string> variables = command.environment;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.emplace_back(*variable);
    }
    const std::vector<char *> environment = toPointers(variables);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, command.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket would keep its port and its connections open after this process has closed them.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, arguments[0], &files, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        throw std::runtime_error("can't start " + command.arguments[0]);
    }
    return pid;
}

} // namespace

ChildProcess::ChildProcess(ChildCommand toStart)
    : command(std::move(toStart))
    , pid(spawn(this->command))
{
}

ChildProcess::~ChildProcess()
{
    this->signal(SIGKILL);
    this->waitForExit(LongestRun);
}

void ChildProcess::signal(int number)
{
    if (this->isRunning()) {
        kill(this->pid, number);
    }
}

void ChildProcess::poll()
{
    int status = 0;
    if (this->exitCode || waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return;
    }
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    this->poll();
    while (!this->exitCode && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(PollInterval);
        this->poll();
    }
    return this->exitCode;
}

bool ChildProcess::isRunning()
{
    this->poll();
    return !this->exitCode;
}

std::string ChildProcess::output() const
{
    std::ostringstream text;
    text << std::ifstream(this->command.output).rdbuf();
    return text.str();
}

std::size_t ChildProcess::peakMemoryBytes() const
{
    constexpr std::string_view Field = "VmHWM:";
    constexpr std::size_t Kibibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(Field)) {
            return std::stoul(line.substr(Field.size())) * Kibibyte;
        }
    }
    return 0;
}

std::size_t ChildProcess::openSocketCount() const
{
    std::size_t count = 0;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(this->pid) + "/fd", error)) {
        const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
        count += target.starts_with("socket:") || target.starts_with("pipe:") ? 1 : 0;
    }
    return count;
}

int runToExit(ChildCommand command)
{
    ChildProcess process(std::move(command));
    const std::optional<int> code = process.waitForExit(LongestRun);
    if (!code) {
        throw std::runtime_error("the process doesn't end");
    }
    return *code;
}

} // namespace Tanagertally::ProcessTests
