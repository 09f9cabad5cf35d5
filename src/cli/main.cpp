#include "cli/cli.h"

#include <iostream>
#include <unistd.h>

int main(int argc, char **argv)
{
    using namespace Tanagertally;
    std::ios::sync_with_stdio(false);
    const bool isInteractive = isatty(STDERR_FILENO) == 1;
    const std::span<const char *const> arguments(argv, static_cast<std::size_t>(argc));
    const ExitCode code = runCli(arguments, std::cin, Terminal{std::cout, std::cerr, isInteractive});
    return static_cast<int>(code);
}
