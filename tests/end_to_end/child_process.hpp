#pragma once

#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::testing {

/// Longest wait for something that must happen; only a hang reaches it.
constexpr std::chrono::seconds kHangLimit { 20 };

/// Runs the test's main loop until `done` is true; false when the hang limit passed before.
template <typename Predicate>
bool waitFor(Predicate done)
{
    constexpr gulong kPauseMicroseconds = 1000;
    const auto limit = MonotonicClock::now() + kHangLimit;
    while (!done()) {
        if (MonotonicClock::now() > limit)
            return false;
        if (!g_main_context_iteration(nullptr, FALSE))
            g_usleep(kPauseMicroseconds);
    }
    return true;
}

/// Folder that is removed with everything in it at the end of the test.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    /// Writes `content` to the file `name` and returns its path.
    std::string write(const std::string& name, const std::string& content) const;
    std::string path(const std::string& name) const { return m_path / name; }

private:
    std::filesystem::path m_path;
};

/// Program that a test started. It is killed at the end of the test if it still runs.
class ChildProcess {
public:
    /// Starts `arguments`; the output goes to `outputPath`.
    ChildProcess(const std::vector<std::string>& arguments, std::string outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    std::string output() const;

    /// Waits for a line `listening=...` that holds `name` and returns the address in it.
    SocketAddress listeningAddress(const std::string& name) const;

    void signal(int number);
    void kill();
    bool running() const;
    /// Process id as text; empty after the process has ended.
    std::string identifier() const;

    /// Waits for the end and returns the exit code, or nothing when a signal ended the process or it did not end.
    std::optional<int> waitForExit();

private:
    std::string m_outputPath;
    GObjectPtr<GSubprocess> m_process;
    bool m_ended = false;
};

} // namespace hornbeamgate::testing
