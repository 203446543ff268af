#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hornbeamgate {

/// Builds the single JSON response for a caller that did not request streaming from the chunks that the engine streams.
class CompletionAssembler {
public:
    explicit CompletionAssembler(RunKind kind);
    ~CompletionAssembler();
    CompletionAssembler(CompletionAssembler&&) noexcept;
    CompletionAssembler& operator=(CompletionAssembler&&) noexcept;

    /// Adds the data of one event; fails if it is not a completion chunk.
    Result<void, CodecError> add(std::string_view data);

    /// Returns the complete response as JSON.
    std::string finish() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
