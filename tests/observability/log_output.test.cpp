#include "hornbeamgate/observability/log.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace hornbeamgate;

namespace {

/// Pipe in place of standard output while it lives.
class CapturedOutput {
public:
    CapturedOutput()
        : m_before(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe(m_pipe.data()) == 0);
        dup2(m_pipe[1], STDOUT_FILENO);
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }
    ~CapturedOutput()
    {
        dup2(m_before, STDOUT_FILENO);
        close(m_before);
        close(m_pipe[0]);
        close(m_pipe[1]);
    }
    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;

    std::string readAll()
    {
        std::string text;
        std::array<char, 4096> buffer {};
        for (ssize_t count = 0; (count = read(m_pipe[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    int m_before;
    std::array<int, 2> m_pipe {};
};

} // namespace

TEST_CASE("a reader that takes nothing never holds up the process [observability]")
{
    startLogging("test", LogLevel::Info);
    CapturedOutput output;
    const std::string filler(2000, 'x');
    const auto began = std::chrono::steady_clock::now();
    // Five seconds of the bound would fill any pipe.
    for (int i = 0; i < 1000; ++i)
        logEvent(LogEvent::RequestRefused, { { "request", "r" + std::to_string(i) }, { "filler", filler } });
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(5));
    const auto text = output.readAll();
    CHECK(text.find("event=request_refused request=r0 ") != std::string::npos);
    CHECK(text.find("process=test") != std::string::npos);
}
