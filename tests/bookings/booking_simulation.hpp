#pragma once

#include "hornbeamgate/bookings/booking_partition.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamgate::test {

/// Bug that is injected to verify that the simulation detects it.
enum class InjectedBookingBug : std::uint8_t {
    None,
    KeyPositionIgnored,
    UnknownOutcomeReleased,
    ClaimsExpire,
    WriterIdReusedAfterRestart,
    CallsBeforeReading,
    FingerprintIgnored,
    ReportsNotRunAfterCall,
    EraIgnored,
};

/// Random step of the simulation: its kind, the agent or item that it affects, and a value that selects its details.
struct SimulationStep {
    std::uint32_t kind = 0;
    std::uint32_t target = 0;
    std::uint32_t choice = 0;
};

/// Simulates agents, a log that loses acknowledgements, trims records and may come back from older copies, and a service that records its executions.
/// Deterministic: all choices come from the steps. Invariants are checked on every reply and every service call;
/// violation() describes the first violated one.
class BookingSimulation {
public:
    explicit BookingSimulation(InjectedBookingBug bug, bool doesLogReturn = false);

    void apply(const SimulationStep& step);
    /// Ends all faults, sends a request with a new key to every agent and checks that each one gets a result
    /// unless the agent is overloaded.
    void recoverAndCheckProgress();
    const std::optional<std::string>& violation() const { return m_violation; }
    std::size_t runs() const { return m_runs.size(); }

private:
    struct Operation {
        std::size_t agent = 0;
        std::uint64_t incarnation = 0;
        BookingAction action;
    };

    struct Agent {
        std::optional<BookingPartition> partition;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::deque<BookingEvent> inbox;
    };

    struct Key {
        BookingId id;
        LogOffset position;
    };

    struct Request {
        BookingId booking;
        RequestFingerprint fingerprint;
        std::optional<BookingAnswer> answer;
    };

    struct Run {
        RequestFingerprint fingerprint;
        ServiceResult result;
    };

    void start(std::size_t agent);
    void request(std::size_t agent, const Key& key, std::uint32_t choice);
    void deliver(std::size_t agent, const BookingEvent& event);
    void dispatch(std::size_t agent, const BookingEvent& event);
    void perform(std::size_t operation, std::uint32_t choice);
    void perform(const Operation& operation, const AppendRecord& append, std::uint32_t choice);
    void perform(const Operation& operation, const ReadLog& read, std::uint32_t choice);
    void perform(const Operation& operation, const CallService& call, std::uint32_t choice);
    LogOffset append(const Bytes& data);
    /// Lets the log lose up to `most` of its newest records.
    void returnFromCopy(std::size_t most);
    LogOffset position(std::size_t offset) const;
    ServiceResult runService(const CallService& call);
    void callServiceForIntents(const Operation& operation, const AppendRecord& append);
    void expireClaim(std::uint32_t which);
    void checkReply(const BookingReply& reply);
    void fail(const std::string& what);
    Key makeKey(LogOffset position);

    InjectedBookingBug m_bug;
    bool m_doesLogReturn;
    std::uint64_t m_returns = 0;
    std::vector<Agent> m_agents;
    std::vector<Operation> m_operations;
    std::vector<Bytes> m_log;
    std::size_t m_firstOffset = 0;
    std::vector<Bytes> m_lateAppends;
    std::vector<Key> m_keys;
    std::size_t m_keysMade = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::map<BookingId, Run> m_runs;
    std::set<std::uint64_t> m_requestsRun;
    std::set<BookingId> m_bookingsWithIntent; // bookings with an entry that was sent to the log
    bool m_outage = false;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::optional<std::string> m_violation;
};

} // namespace hornbeamgate::test
