#include "hornbeamgate/runtime/agent/cache_event_poller.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::testing;

// Guards against engines whose answers exhaust the memory of an agent.
TEST_CASE("cache events that would take many times their size as a document are rejected before they take it [runtime]")
{
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const auto& body : amplifyingTexts(2 * kMegabyte)) {
        CAPTURE(body.substr(0, 16));
        CHECK(succeedsWithin(32 * kMegabyte, [&] { return !parseCacheEvents(body); }));
    }
}
