#include "hornbeamgate/routing/engine_admission.hpp"

#include "routing/router_fixture.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <set>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace {

const EngineIdentified kEngine { Incarnation(1), { { ModelId("m"), WeightsVersion(1) } } };

EngineAdmission makeAdmission(std::size_t queueItems = 8)
{
    EngineAdmissionOptions options;
    options.costs.decodeSlots = 4;
    options.queue.maxItems = queueItems;
    options.index.popularityEntries = 64;
    auto admission = EngineAdmission::create(options).value();
    admission.handle(kEngine, kStart);
    return admission;
}

AdmissionRequest makeAdmissionRequest(std::uint64_t ticket, std::uint64_t document = 1, const std::string& workspace = "a")
{
    AdmissionRequest request;
    request.ticket = QueueTicket(ticket);
    request.expectation = { Incarnation(1), ModelId("m"), WeightsVersion(1) };
    request.workspace = WorkspaceId(workspace);
    request.blocks = chain(document, 4);
    request.promptBytes = 4 * kBytesPerBlock;
    request.acceptBefore = kStart + seconds(100);
    request.firstTokenDeadline = kStart + seconds(100);
    return request;
}

} // namespace

TEST_CASE("options under which no request could run are rejected [routing]")
{
    EngineAdmissionOptions noPrefill;
    noPrefill.maxPrefills = 0;
    EngineAdmissionOptions noQueue;
    noQueue.queue.maxItems = 0;
    EngineAdmissionOptions noIndex;
    noIndex.index.maxBlocks = 0;
    for (const auto& options : { noPrefill, noQueue, noIndex })
        CHECK_FALSE(EngineAdmission::create(options));
}

TEST_CASE("a request for another incarnation, model or version is refused without running [routing]")
{
    auto admission = makeAdmission();
    auto old = makeAdmissionRequest(1);
    old.expectation.incarnation = Incarnation(0);
    auto weights = makeAdmissionRequest(2);
    weights.expectation.weights = WeightsVersion(2);
    auto model = makeAdmissionRequest(3);
    model.expectation.model = ModelId("n");
    for (const auto& request : { old, weights, model })
        CHECK(admission.admit(request, kStart).error().reason == AdmissionRefusalReason::Mismatch);
    CHECK(admission.waiting() == 0);
}

TEST_CASE("blocks of admitted requests count as cached before their cache events arrive [routing]")
{
    auto admission = makeAdmission();
    CHECK(admission.admit(makeAdmissionRequest(1), kStart)->hitBlocks == 0);
    CHECK(admission.admit(makeAdmissionRequest(2), kStart)->hitBlocks == 4);
    CHECK(admission.admit(makeAdmissionRequest(3, 2), kStart)->hitBlocks == 0);
    admission.finished(QueueTicket(3), kStart);
    CHECK(admission.admit(makeAdmissionRequest(4, 2), kStart)->hitBlocks == 0);
    CHECK(admission.startNext(kStart)->ticket == QueueTicket(1));
    admission.firstTokenSeen(QueueTicket(1), kStart);
    admission.finished(QueueTicket(1), kStart);
    admission.finished(QueueTicket(2), kStart);
    CHECK(admission.admit(makeAdmissionRequest(5), kStart)->hitBlocks == 4);
}

TEST_CASE("a request that would start too late is refused with the queued work [routing]")
{
    auto admission = makeAdmission();
    CHECK(admission.admit(makeAdmissionRequest(1), kStart));
    CHECK(admission.startNext(kStart));
    auto urgent = makeAdmissionRequest(2, 2);
    urgent.acceptBefore = kStart + milliseconds(200);
    const auto refused = admission.admit(urgent, kStart);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason == AdmissionRefusalReason::TooLate);
    CHECK(refused.error().queuedWork == milliseconds(170));
    urgent.acceptBefore = kStart + seconds(1);
    urgent.firstTokenDeadline = kStart + milliseconds(200);
    CHECK(admission.admit(urgent, kStart).error().reason == AdmissionRefusalReason::TooLate);
}

TEST_CASE("the engine gets at most one request without a first token and no more requests than decode slots [routing]")
{
    auto admission = makeAdmission();
    for (std::uint64_t ticket = 1; ticket <= 6; ++ticket)
        CHECK(admission.admit(makeAdmissionRequest(ticket), kStart));
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
        CHECK(admission.startNext(kStart)->ticket == QueueTicket(ticket));
        CHECK_FALSE(admission.startNext(kStart));
        admission.firstTokenSeen(QueueTicket(ticket), kStart);
    }
    CHECK_FALSE(admission.startNext(kStart));
    admission.finished(QueueTicket(2), kStart);
    CHECK(admission.startNext(kStart)->ticket == QueueTicket(5));
}

TEST_CASE("a new incarnation returns the waiting requests and discards the running ones [routing]")
{
    auto admission = makeAdmission();
    CHECK(admission.admit(makeAdmissionRequest(1), kStart));
    CHECK(admission.admit(makeAdmissionRequest(2), kStart));
    CHECK(admission.startNext(kStart));
    auto restarted = kEngine;
    restarted.incarnation = Incarnation(2);
    CHECK(admission.handle(restarted, kStart) == std::vector { QueueTicket(2) });
    CHECK(admission.load(kStart).queuedWork == Duration::zero());
    CHECK(admission.running() == 0);
    auto request = makeAdmissionRequest(3);
    request.expectation.incarnation = Incarnation(2);
    CHECK(admission.admit(request, kStart)->hitBlocks == 0);
}

TEST_CASE("new weights on the same incarnation cause requests for the old ones to be refused immediately [routing]")
{
    auto admission = makeAdmission();
    auto rolled = kEngine;
    rolled.models[0].weights = WeightsVersion(2);
    admission.handle(rolled, kStart);
    CHECK(admission.admit(makeAdmissionRequest(1), kStart).error().reason == AdmissionRefusalReason::Mismatch);
}

TEST_CASE("every admitted request starts, is displaced, expires or is cancelled exactly once [routing]")
{
    CHECK(rc::check([] {
        auto admission = makeAdmission();
        std::set<QueueTicket> waiting;
        std::set<QueueTicket> running;
        auto now = kStart;
        std::uint64_t ticket = 0;
        const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(150, rc::gen::inRange<std::uint32_t>(0, 1U << 20));
        for (const auto code : codes) {
            now += milliseconds(code / 64 % 50);
            if (code % 8 < 3) {
                auto request = makeAdmissionRequest(++ticket, code / 8 % 3, std::string(1, static_cast<char>('a' + code / 32 % 3)));
                request.firstTokenDeadline = now + milliseconds(code / 128 % 900);
                if (const auto admitted = admission.admit(request, now)) {
                    RC_ASSERT(waiting.insert(request.ticket).second);
                    for (const auto displaced : admitted->displaced)
                        RC_ASSERT(waiting.erase(displaced) == 1U);
                }
            } else if (code % 8 < 5) {
                if (const auto started = admission.startNext(now)) {
                    RC_ASSERT(waiting.erase(started->ticket) == 1U);
                    RC_ASSERT(running.insert(started->ticket).second);
                }
            } else if (code % 8 == 5) {
                admission.firstTokenSeen(QueueTicket(1 + code / 8 % (ticket + 1)), now);
            } else if (code % 8 == 6) {
                const QueueTicket any(1 + code / 8 % (ticket + 1));
                admission.finished(any, now);
                waiting.erase(any);
                running.erase(any);
            } else {
                for (const auto expired : admission.removeExpired(now))
                    RC_ASSERT(waiting.erase(expired) == 1U);
            }
            RC_ASSERT(admission.waiting() == waiting.size());
            RC_ASSERT(admission.running() == running.size());
            RC_ASSERT(running.size() <= 4U);
        }
        for (const auto left : waiting)
            admission.finished(left, now);
        for (const auto left : running)
            admission.finished(left, now);
        RC_ASSERT(admission.load(now).queuedWork == Duration::zero());
        RC_ASSERT(admission.dump(now)["queue"]["items"] == 0);
    }));
}
