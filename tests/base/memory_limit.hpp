#pragma once

#include <doctest/doctest.h>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <functional>
#include <new>

namespace hornbeamgate::testing {

/// Returns whether `call` returns true in a process that may take `bytes` of memory besides what this one has.
inline bool succeedsWithin(std::size_t bytes, const std::function<bool()>& call)
{
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages;
    REQUIRE(pages > 0);
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        const rlim_t limit = pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) + bytes;
        const rlimit addressSpace { limit, limit };
        bool isSuccess = setrlimit(RLIMIT_AS, &addressSpace) == 0;
        try {
            isSuccess = isSuccess && call();
        } catch (const std::bad_alloc&) {
            isSuccess = false;
        }
        _exit(isSuccess ? 0 : 1);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

} // namespace hornbeamgate::testing
