#include "hornbeamgate/streams/endpoint_status.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"
#include "hornbeamgate/streams/sse_parser.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;

TEST_CASE("run messages are unchanged by encoding and decoding [streams][codec]")
{
    const RunMessage messages[] = {
        RunAccepted { Incarnation(7), 3, 2, 1 },
        RunPiece { 42, std::string("{\"text\":\"\0\"}", 12) },
        RunCompleted { 43 },
        ServiceResponse { 201, "text/plain", "booked", true },
        RunFailed { RunError::EngineChanged, true, "restarted" },
    };
    for (const auto& message : messages) {
        const auto decoded = decodeRunMessage(encodeRunMessage(message));
        REQUIRE(decoded);
        CHECK(*decoded == message);
    }
}

TEST_CASE("run orders and endpoint statuses are unchanged by encoding and decoding [streams][codec]")
{
    RunOrder order;
    order.id = { Incarnation(5), RequestId(6) };
    order.kind = RunKind::ServiceCall;
    order.workspace = WorkspaceId("postojna");
    order.prefixBlocks = { 1, ~std::uint64_t { 0 } };
    order.idempotent = false;
    order.idempotencyKey = "k";
    order.body = { 0, 255 };
    const auto decoded = decodeRunOrder(encodeRunOrder(order));
    REQUIRE(decoded);
    CHECK(decoded->id == order.id);
    CHECK(decoded->prefixBlocks == order.prefixBlocks);
    CHECK(decoded->idempotencyKey == "k");
    CHECK_FALSE(decoded->idempotent);
    CHECK(decoded->body == order.body);

    const EndpointStatus status { EndpointId("eng-1"), ServiceId(), Incarnation(3), EndpointState::Leaving, 4, 5, { { ModelId("m"), WeightsVersion(2) } } };
    const auto decodedStatus = decodeEndpointStatus(encodeEndpointStatus(status));
    REQUIRE(decodedStatus);
    CHECK(*decodedStatus == status);
}

TEST_CASE("decoders do not crash on arbitrary or corrupted bytes and reject truncated messages [streams][codec]")
{
    CHECK(rc::check([](const Bytes& noise, std::uint8_t position, std::uint8_t value) {
        static_cast<void>(decodeRunMessage(noise));
        static_cast<void>(decodeRunOrder(noise));
        static_cast<void>(decodeEndpointStatus(noise));
        auto order = encodeRunOrder(RunOrder());
        order[position % order.size()] = value;
        static_cast<void>(decodeRunOrder(order));
        auto message = encodeRunMessage(RunFailed { RunError::NoEndpoint, false, "text" });
        message[position % message.size()] = value;
        static_cast<void>(decodeRunMessage(message));
        message.pop_back();
        RC_ASSERT(!decodeRunMessage(message));
    }));
}

TEST_CASE("SseParser yields the same events for every chunk size and rejects an overlong line [streams][sse]")
{
    const std::string text = ": note\r\nid: 0\r\ndata: {\"a\":1}\r\n\r\nid: 1\ndata: x\ndata: y\n\nevent: z\n\ndata:[DONE]\n\n";
    const std::vector<SseEvent> expected { { 0, "{\"a\":1}" }, { 1, "x\ny" }, { std::nullopt, "[DONE]" } };
    for (std::size_t chunkSize = 1; chunkSize <= text.size(); ++chunkSize) {
        SseParser reader;
        std::vector<SseEvent> events;
        for (std::size_t at = 0; at < text.size(); at += chunkSize) {
            const auto some = reader.feed(std::string_view(text).substr(at, chunkSize));
            REQUIRE(some);
            events.insert(events.end(), some->begin(), some->end());
        }
        CHECK(events == expected);
    }
    SseParser reader;
    CHECK_FALSE(reader.feed(std::string(std::size_t { 5 } * 1024 * 1024, 'x')));
}

TEST_CASE("SseParser gives up an event whose lines do not end [streams][sse]")
{
    SseParser reader;
    const std::string lines = "data: " + std::string(65536, 'x') + '\n';
    std::size_t fed = 0;
    constexpr std::size_t kFarTooMuch = 67108864;
    while (fed < kFarTooMuch && reader.feed(lines))
        fed += lines.size();
    CHECK(fed < kFarTooMuch);
}
