#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the platform, engines and clients, which run as threads of a case's program, and the gateway daemon, which
/// runs as a separate process. All sockets are on the loopback interface.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes timestamped lines to record.txt in the folder of the case.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    void write(const std::string& line);
    double seconds() const;

private:
    std::mutex m_mutex;
    Clock::time_point m_start;
    int m_descriptor;
};

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const;
    /// Method, target and status are words of the start line.
    std::string word(std::size_t index) const;
    int status() const;
};

/// Formats a message with a Content-Length.
std::string formatMessage(const std::string& startLine, const std::vector<std::pair<std::string, std::string>>& fields, std::string_view body);

/// One TCP connection with blocking calls. Reads give up at a deadline.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    struct Options {
        int receiveBuffer = 0; ///< 0: the system's default
        int segment = 0; ///< largest segment; 0: the system's default
    };
    static std::unique_ptr<Connection> open(int port, const Options& options);
    static std::unique_ptr<Connection> open(int port) { return open(port, Options {}); }

    bool send(std::string_view bytes);
    /// Reads at most `most` bytes; returns an empty string at the end of the connection, after an error or at the deadline.
    std::string receive(std::size_t most, Clock::time_point deadline);
    /// Reads a complete message with a length or in chunks. Returns nothing if the connection ends before or at the deadline.
    std::optional<Message> readMessage(Clock::time_point deadline);
    /// Bytes of the body that was being read when the last `readMessage` failed.
    std::size_t partialBody() const { return m_partialBody; }
    bool hasEnded() const { return m_hasEnded; }
    void shutDown();

private:
    bool fill(Clock::time_point deadline);
    std::optional<std::string> takeLine(Clock::time_point deadline);
    bool takeBody(std::size_t size, std::string& body, Clock::time_point deadline);

    int m_descriptor;
    std::string m_input;
    std::size_t m_partialBody = 0;
    bool m_hasEnded = false;
};

/// Accepts connections and handles each one in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;
    explicit Server(Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void stop();

private:
    void accept();

    Handler m_handler;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// The platform's metadata store: keyed topics with long polls, conditional appends and one group with one partition.
class Store {
public:
    Store();
    void put(const std::string& topic, const std::string& key, const std::string& value);
    std::string address() const { return m_server.address(); }
    int port() const { return m_server.port(); }

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Member {
        Clock::time_point until;
    };

    void serve(Connection& connection);
    std::string answer(const Message& request);
    std::string newest(const std::string& topic);
    std::string read(const std::string& topic, std::size_t from, milliseconds wait);
    std::string append(const std::string& topic, const std::string& records, const std::string& at);
    std::string join(const std::string& body);
    std::string leave(const std::string& body);
    void expireMembers();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
    std::map<std::string, Member> m_members;
    std::string m_holder;
    std::uint64_t m_generation = 0;
    Server m_server;
};

/// Registration of an engine in the store, renewed at each heartbeat as the pages describe it.
struct EngineEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "postojna";
    int slots = 16;
    std::string model; ///< empty for an application
    std::uint64_t weights = 1;
    std::uint64_t born = 1'780'000'000'000;

    std::string text(std::uint64_t sequence) const;
};

/// One gateway daemon, started with the command of the deploy file.
class Gateway {
public:
    /// `program` is the word of the deploy file's `run` before `--settings`.
    Gateway(const std::string& program, const std::string& folder, const std::string& host, const std::string& storeAddress);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Waits until the daemon reports itself ready.
    bool waitUntilReady(milliseconds limit);
    bool isReady() const;
    int port() const { return m_callers; }
    void signal(int number) const;
    /// Waits for the end of the process; returns false at the limit.
    bool waitForEnd(milliseconds limit);
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_callers = 0;
    int m_readiness = 0;
};

/// Whether the disruption of the case is played.
bool hasTrouble();
/// Path of the deploy file's program, relative to the root of the repository.
std::string gatewayProgram();
void pause(milliseconds time);

} // namespace review
