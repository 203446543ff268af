#include "prompt_source.hpp"

#include <algorithm>

namespace hornbeamgate::loadgen {

namespace {

    /// Fills one level with text that names its path, so that equal paths give equal text.
    void appendLevel(std::string& text, const std::string& path, std::size_t bytes)
    {
        const std::size_t end = text.size() + bytes;
        while (text.size() < end)
            text += "well " + path + " level unchanged; ";
        text.resize(end);
    }

} // namespace

PromptSource::PromptSource(PromptOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

Prompt PromptSource::next()
{
    Prompt prompt;
    prompt.workspace = m_random() % m_options.workspaces;
    std::string path = std::to_string(prompt.workspace);
    for (std::size_t level = 0; level < m_options.levels; ++level) {
        path += "/" + std::to_string(skewedBranch());
        appendLevel(prompt.text, path, m_options.bytesPerLevel);
    }
    prompt.text += "Question " + std::to_string(m_count++) + ": which haul is next?";
    return prompt;
}

std::size_t PromptSource::skewedBranch()
{
    const std::size_t first = m_random() % m_options.branches;
    const std::size_t second = m_random() % m_options.branches;
    return std::min(first, second);
}

} // namespace hornbeamgate::loadgen
