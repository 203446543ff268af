#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace hornbeamgate::loadgen {

/// Shape of the prompts: each shares `levels` nested prefixes with others of its workspace.
struct PromptOptions {
    std::size_t levels = 3;
    std::size_t bytesPerLevel = 8000;
    std::size_t branches = 4; ///< different continuations at each level
    std::size_t workspaces = 1;
};

struct Prompt {
    std::size_t workspace = 0;
    std::string text;
};

/// Makes prompts with shared nested prefixes, a few of them hot. Equal seeds give equal prompts.
class PromptSource {
public:
    PromptSource(PromptOptions options, std::uint64_t seed);

    Prompt next();

private:
    std::size_t skewedBranch();

    PromptOptions m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_count = 0;
};

} // namespace hornbeamgate::loadgen
