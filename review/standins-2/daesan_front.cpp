// Surroundings of one front machine of the Daesan deployment: the platform's store, engines and clients, all on loopback.
//
//   daesan_front SCENARIO DIRECTORY TROUBLE
//
// Writes DIRECTORY/local.json, the gateway's settings, waits for DIRECTORY/gateway.pid, plays the scenario and writes
// DIRECTORY/record.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
/// memory-mb of a front machine of Daesan.
constexpr std::size_t kMachineKilobytes = 110UL * 1024;
constexpr int kEngines = 18; ///< of the model service
constexpr int kApplications = 3; ///< engines of the dispatch application

/// Event loop with sockets and timers.
class Loop {
public:
    Loop()
        : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    {
    }

    void watch(int descriptor, std::uint32_t events, std::function<void(std::uint32_t)> call)
    {
        epoll_event event {};
        event.events = events;
        event.data.fd = descriptor;
        const bool isKnown = m_calls.contains(descriptor);
        if (call)
            m_calls[descriptor] = std::make_shared<std::function<void(std::uint32_t)>>(std::move(call));
        epoll_ctl(m_epoll, isKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
    }

    void forget(int descriptor)
    {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
        m_calls.erase(descriptor);
    }

    void after(milliseconds delay, std::function<void()> call) { m_timers.emplace(Clock::now() + delay, std::move(call)); }

    void runUntil(const std::function<bool()>& isDone, milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        while (!isDone() && Clock::now() < end)
            step();
    }

private:
    void step()
    {
        constexpr int kMaxEvents = 256;
        constexpr int kWait = 5;
        std::array<epoll_event, kMaxEvents> events {};
        const int count = epoll_wait(m_epoll, events.data(), kMaxEvents, kWait);
        for (int i = 0; i < count; ++i) {
            const auto& event = events.at(static_cast<std::size_t>(i));
            const auto found = m_calls.find(event.data.fd);
            if (found == m_calls.end())
                continue;
            const auto call = found->second;
            (*call)(event.events);
        }
        while (!m_timers.empty() && m_timers.begin()->first <= Clock::now()) {
            const auto call = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            call();
        }
    }

    int m_epoll;
    std::map<int, std::shared_ptr<std::function<void(std::uint32_t)>>> m_calls;
    std::multimap<Clock::time_point, std::function<void()>> m_timers;
};

/// One side of a TCP connection. Lives as long as someone holds it or it is open.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    using Received = std::function<void(Connection&)>;

    static std::shared_ptr<Connection> open(Loop& loop, int descriptor, Received received)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::shared_ptr<Connection>(new Connection(loop, descriptor, std::move(received)));
        loop.watch(descriptor, EPOLLIN | EPOLLOUT, [connection](std::uint32_t events) { connection->onReady(events); });
        return connection;
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    static std::shared_ptr<Connection> connect(Loop& loop, int port, Received received)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            std::cerr << "connect: " << std::strerror(errno) << '\n';
        return open(loop, descriptor, std::move(received));
    }

    void send(std::string_view octets)
    {
        m_unsent += octets;
        flush();
    }
    std::size_t unsent() const { return m_unsent.size(); }
    std::string& input() { return m_input; }
    bool isClosed() const { return m_descriptor < 0; }
    bool hasEnded() const { return m_hasEnded; }

    void close()
    {
        if (m_descriptor < 0)
            return;
        const int descriptor = std::exchange(m_descriptor, -1);
        ::close(descriptor);
        m_loop.forget(descriptor);
    }

private:
    Connection(Loop& loop, int descriptor, Received received)
        : m_loop(loop)
        , m_descriptor(descriptor)
        , m_received(std::move(received))
    {
    }

    void onReady(std::uint32_t events)
    {
        const auto self = shared_from_this();
        if (events & EPOLLOUT)
            flush();
        if (isClosed() || !(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
            return;
        std::array<char, 65536> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count > 0)
            m_input.append(buffer.data(), static_cast<std::size_t>(count));
        else
            m_hasEnded = true;
        m_received(*this);
        if (m_hasEnded)
            close();
    }

    void flush()
    {
        if (isClosed())
            return;
        if (!m_unsent.empty()) {
            const auto count = ::send(m_descriptor, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
            if (count > 0)
                m_unsent.erase(0, static_cast<std::size_t>(count));
        }
        m_loop.watch(m_descriptor, m_unsent.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT, {});
    }

    Loop& m_loop;
    int m_descriptor;
    Received m_received;
    std::string m_input;
    std::string m_unsent;
    bool m_hasEnded = false;
};

int listenOnLoopback()
{
    constexpr int kBacklog = 4096;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(descriptor, kBacklog) != 0) {
        std::cerr << "listen: " << std::strerror(errno) << '\n';
        std::exit(kNotRun);
    }
    return descriptor;
}

int portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string parameter(const std::string& name) const
    {
        auto at = target.find(name + '=');
        if (at == std::string::npos)
            return {};
        at += name.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }
    std::size_t number(const std::string& name) const { return std::strtoul(parameter(name).c_str(), nullptr, 10); }
};

/// Takes a whole request with a Content-Length from the input, if there is one.
std::optional<Request> takeRequest(std::string& input)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    Request request;
    std::istringstream head(input.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream(line) >> request.method >> request.target;
    while (std::getline(head, line)) {
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto value = line.substr(line.find_first_not_of(' ', colon + 1));
        if (value.ends_with('\r'))
            value.pop_back();
        request.fields[name] = value;
    }
    const auto size = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
    if (input.size() < end + 4 + size)
        return std::nullopt;
    request.body = input.substr(end + 4, size);
    input.erase(0, end + 4 + size);
    return request;
}

std::string answerText(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a free port of loopback and passes each whole request on.
class Server {
public:
    using Handler = std::function<void(const std::shared_ptr<Connection>&, const Request&)>;

    Server(Loop& loop, Handler handler)
        : m_loop(loop)
        , m_handler(std::move(handler))
        , m_descriptor(listenOnLoopback())
    {
        m_loop.watch(m_descriptor, EPOLLIN, [this](std::uint32_t) { accept(); });
    }

    int port() const { return portOf(m_descriptor); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
    void accept()
    {
        for (;;) {
            const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            Connection::open(m_loop, descriptor, [this](Connection& connection) {
                while (auto request = takeRequest(connection.input()))
                    m_handler(connection.shared_from_this(), *request);
            });
        }
    }

    Loop& m_loop;
    Handler m_handler;
    int m_descriptor;
};

std::string bigEndian(std::uint64_t value, int size)
{
    constexpr int kBits = 8;
    std::string bytes;
    for (int shift = (size - 1) * kBits; shift >= 0; shift -= kBits)
        bytes += static_cast<char>(value >> shift & 0xffU);
    return bytes;
}

std::string base64(const std::string& octets)
{
    constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < octets.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < octets.size() ? static_cast<unsigned char>(octets[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= octets.size() ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

/// The platform's store: topics with one partition, and a group with one member.
class Store {
public:
    explicit Store(Loop& loop)
        : m_loop(loop)
        , m_server(loop, [this](const auto& connection, const Request& request) { handle(connection, request); })
    {
    }

    std::string address() const { return m_server.address(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        m_topics[topic].push_back({ key, value });
        const auto held = std::exchange(m_held, {});
        for (const auto& [connection, request] : held)
            read(connection, request);
    }

private:
    struct Record {
        std::string key;
        std::string value;
    };

    void handle(const std::shared_ptr<Connection>& connection, const Request& request)
    {
        const auto path = request.target.substr(0, request.target.find('?'));
        if (path == "/hornbeamgate/log-newest")
            connection->send(answerText(200, {}, listing(m_topics[request.parameter("topic")])));
        else if (path == "/hornbeamgate/log-read")
            read(connection, request);
        else if (path == "/hornbeamgate/log-append")
            append(connection, request);
        else if (path == "/hornbeamgate/log-join")
            connection->send(answerText(200, {}, R"({"generation":1,"parts":[["weights-duty",0,0]]})"));
        else
            connection->send(answerText(200, {}, "{}"));
    }

    static std::string listing(const std::vector<Record>& records)
    {
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < records.size(); ++i)
            newest[records[i].key] = i;
        std::string items;
        for (const auto& [key, offset] : newest) {
            if (!records[offset].value.empty())
                items += (items.empty() ? "" : ",") + (R"({"key":")" + key) + R"(","value":")" + base64(records[offset].value) + R"(","offset":)" + std::to_string(offset) + '}';
        }
        return R"({"items":[)" + items + R"(],"has-more":false,"end-offset":)" + std::to_string(records.size()) + '}';
    }

    void read(const std::shared_ptr<Connection>& connection, const Request& request)
    {
        const auto& records = m_topics[request.parameter("topic")];
        const auto from = request.number("from");
        const auto wait = request.number("wait-timeout-ms");
        if (from >= records.size() && wait > 0) {
            auto later = request;
            later.target = request.target.substr(0, request.target.find("&wait-timeout-ms"));
            m_held.emplace_back(connection, later);
            m_loop.after(milliseconds(wait), [this, connection, later] {
                const auto found = std::find_if(m_held.begin(), m_held.end(), [&](const auto& held) { return held.first == connection; });
                if (found == m_held.end())
                    return;
                m_held.erase(found);
                read(connection, later);
            });
            return;
        }
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < records.size(); ++i)
            body += bigEndian(1 + records[i].key.size() + records[i].value.size(), 4) + bigEndian(records[i].key.size(), 1) + records[i].key + records[i].value;
        connection->send(answerText(200, {}, body));
    }

    void append(const std::shared_ptr<Connection>& connection, const Request& request)
    {
        const auto topic = request.parameter("topic");
        const auto offset = m_topics[topic].size();
        if (!request.parameter("at").empty() && request.number("at") != offset) {
            connection->send(answerText(412, {}, R"({"end-offset":)" + std::to_string(offset) + '}'));
            return;
        }
        constexpr std::size_t kKeyAt = 5;
        const std::size_t keySize = static_cast<unsigned char>(request.body.at(kKeyAt - 1));
        put(topic, request.body.substr(kKeyAt, keySize), request.body.substr(kKeyAt + keySize));
        connection->send(answerText(200, {}, R"({"offset":)" + std::to_string(offset) + R"(,"end-offset":)" + std::to_string(offset + 1) + '}'));
    }

    Loop& m_loop;
    std::map<std::string, std::vector<Record>> m_topics;
    std::vector<std::pair<std::shared_ptr<Connection>, Request>> m_held;
    Server m_server;
};

/// One request of a client over a connection that may be kept.
class Client {
public:
    Client(Loop& loop, int port)
        : m_loop(loop)
        , m_port(port)
    {
    }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() { close(); }

    void send(const std::string& request)
    {
        m_status = 0;
        m_hasAnswer = false;
        m_isComplete = false;
        if (!m_connection || m_connection->isClosed())
            m_connection = Connection::connect(m_loop, m_port, [this](Connection& connection) { onReceived(connection); });
        m_connection->send(request);
    }

    /// 0 while there is no answer, and if the connection ended without one.
    int status() const { return m_status; }
    bool hasAnswer() const { return m_hasAnswer; }
    bool isComplete() const { return m_isComplete; }
    bool isKept() const { return m_connection && !m_connection->isClosed(); }
    void close()
    {
        if (m_connection)
            m_connection->close();
    }

private:
    void onReceived(Connection& connection)
    {
        auto& input = connection.input();
        const auto end = input.find("\r\n\r\n");
        if (end != std::string::npos) {
            m_status = std::atoi(input.c_str() + std::string_view("HTTP/1.1 ").size());
            const auto length = input.find("Content-Length: ");
            if (length < end) {
                const auto size = std::strtoul(input.c_str() + length + std::string_view("Content-Length: ").size(), nullptr, 10);
                m_hasAnswer = input.size() >= end + 4 + size;
            } else
                m_hasAnswer = input.ends_with("0\r\n\r\n");
            m_isComplete = m_hasAnswer;
            const auto closing = input.find("Connection: close");
            if (m_hasAnswer && closing < end)
                connection.close();
            if (m_hasAnswer)
                input.clear();
        }
        if (connection.hasEnded())
            m_hasAnswer = true;
    }

    Loop& m_loop;
    int m_port;
    std::shared_ptr<Connection> m_connection;
    int m_status = 0;
    bool m_hasAnswer = false;
    bool m_isComplete = false;
};

std::string clientRequest(const std::string& path, const std::string& id, const std::string& key, std::size_t bodySize)
{
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: feed.example\r\nX-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Deadline-Ms: 10000\r\n";
    if (!key.empty())
        text += "Authorization: Bearer " + key + "\r\n";
    return text + "Content-Length: " + std::to_string(bodySize) + "\r\n\r\n" + std::string(bodySize, 'b');
}

/// What the platform sees of the process.
struct Memory {
    std::size_t total = 0; ///< VmRSS, in KB
    std::size_t anonymous = 0; ///< RssAnon, in KB: without the pages of the program and its libraries
};

std::optional<Memory> memoryOf(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    Memory memory;
    bool isFound = false;
    std::string name;
    while (status >> name) {
        if (name == "VmRSS:") {
            status >> memory.total;
            isFound = true;
        } else if (name == "RssAnon:")
            status >> memory.anonymous;
    }
    return isFound ? std::optional(memory) : std::nullopt;
}

/// Everything around the gateway, and the record of what happened.
class World {
public:
    World(std::string directory, bool hasTrouble)
        : m_directory(std::move(directory))
        , m_hasTrouble(hasTrouble)
        , m_record(m_directory + "/record.txt")
    {
        for (int i = 0; i < kEngines; ++i)
            m_engines.push_back(std::make_unique<Server>(m_loop, [this, i](const auto& connection, const Request& request) { onEngineRequest(i, connection, request); }));
        for (int i = 0; i < kApplications; ++i)
            m_applications.push_back(std::make_unique<Server>(m_loop, [this](const auto& connection, const Request& request) { m_onBooking(connection, request); }));
    }

    int run(const std::string& scenario)
    {
        if (!start())
            return kNotRun;
        int result = kNotRun;
        const std::map<std::string, int (World::*)()> scenarios {
            { "unreadable-report", &World::playUnreadableReport },
            { "endless-reports", &World::playEndlessReports },
            { "endless-heads", &World::playEndlessHeads },
            { "last-tenant", &World::playLastTenant },
            { "entry-with-unreadable-key", &World::playUnreadableKey },
        };
        if (const auto found = scenarios.find(scenario); found != scenarios.end())
            result = (this->*found->second)();
        note("result " + std::to_string(result));
        return result;
    }

private:
    using EngineHandler = std::function<void(int, const std::shared_ptr<Connection>&, const Request&)>;

    void note(const std::string& line)
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count();
        m_record << ms << " ms  " << line << std::endl;
    }

    void onEngineRequest(int engine, const std::shared_ptr<Connection>& connection, const Request& request)
    {
        if (request.target == "/hornbeamgate/report")
            m_onReport(engine, connection, request);
        else if (request.target == "/hornbeamgate/order") {
            m_weights[engine] = 2;
            connection->send(answerText(202, {}, "{}"));
        } else
            m_onRequest(engine, connection, request);
    }

    void sendReport(int engine, const std::shared_ptr<Connection>& connection)
    {
        connection->send(answerText(200, "Content-Type: application/json\r\n",
            R"({"stage":"both","models":[{"name":"m","version":)" + std::to_string(m_weights.contains(engine) ? 2 : 1)
                + R"(,"adapters":[]}],"busy":false,"sequence":)" + std::to_string(m_weights.contains(engine) ? 1 : 0)
                + R"(,"waiting":0,"running":0,"kv-used":0,"kv-total":142878,"handles":0})"));
    }

    static std::string signedFields(const Request& request)
    {
        return "X-Hornbeamgate-Request-Id: " + request.field("x-hornbeamgate-request-id") + "\r\nX-Hornbeamgate-Server-Signature: 3e1b.07\r\n";
    }

    static void serve(const std::shared_ptr<Connection>& connection, const Request& request)
    {
        connection->send(answerText(200, signedFields(request), "done"));
    }

    static std::string entry(const std::string& service, const Server& server, std::size_t number, int slots, const std::string& models)
    {
        constexpr std::array<std::string_view, 3> kZones { "gimje-a", "gimhae-a", "naju-b" };
        return R"({"service":")" + service + R"(","address":")" + server.address() + R"(","zone":")" + std::string(kZones.at(number % kZones.size())) + R"(","version":"v1","slots":)"
            + std::to_string(slots) + R"(,"state":"ready","cold-remaining-ms":0,"stage":"both","models":)" + models + R"(,"sequence":4,"born":1700000000000})";
    }

    static std::string config(int version, const std::string& tenants, std::size_t maxBody)
    {
        const auto route = [](const std::string& name, const std::string& service, const std::string& kind, bool isPublic) {
            return R"({"name":")" + name + R"(","host":"feed.example","path-prefix":"/)" + name + R"(/","kind":")" + kind
                + R"(","timeout-ms":10000,"target-latency-ms":1200,"priority":1,"service":")" + service + R"(","max-attempts":1,"public":)" + (isPublic ? "true" : "false") + R"(,"sticky":true,"resumable":false,"target-gap-ms":400})";
        };
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("query", "rota-llm", "streaming", true) + ',' + route("plan", "rota-llm", "streaming", true) + ',' + route("book", "feed-app", "unsafe", false)
            + R"(],"services":[{"name":"rota-llm","health-path":"/health","max-connections":360,"protocol":"h1","tls":false},{"name":"feed-app","health-path":"/health","max-connections":96,"protocol":"h1","tls":false}],)"
            + R"("limits":{"max-header-bytes":16384,"max-body-bytes":)" + std::to_string(maxBody) + R"(,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":)" + tenants + '}';
    }

    static std::string tenant()
    {
        return R"({"name":"gimje","api-keys":["key-gimje"],"priority":1,"unit":"tokens","uncached-tokens":200,"isolated":false,"rate-per-s":297162,"burst":297162})";
    }

    /// Writes the settings as deploy/gateway.json renders them, and waits until the gateway is ready.
    bool start()
    {
        constexpr std::size_t kMaxBody = 4194304;
        for (std::size_t i = 0; i < m_engines.size(); ++i)
            m_store.put("keyed.servers", "i-" + std::to_string(i), entry("rota-llm", *m_engines[i], i, 64, R"([{"name":"m","version":1,"adapters":[]}])"));
        for (std::size_t i = 0; i < m_applications.size(); ++i)
            m_store.put("keyed.servers", "a-" + std::to_string(i), entry("feed-app", *m_applications[i], i, 6, "[]"));
        m_store.put("keyed.op", "version/m", R"({"model":"m","version":1})");
        m_store.put("keyed.op", "config", config(1, '[' + tenant() + ']', kMaxBody));
        std::array<int, 4> descriptors {};
        for (auto& descriptor : descriptors)
            descriptor = listenOnLoopback();
        for (std::size_t i = 0; i < descriptors.size(); ++i) {
            m_ports.at(i) = portOf(descriptors.at(i));
            ::close(descriptors.at(i));
        }
        const auto address = [this](std::size_t i) { return "\"127.0.0.1:" + std::to_string(m_ports.at(i)) + '"'; };
        const auto file = m_directory + "/local.json";
        std::ofstream(file + ".new") << R"({"host":"front-gimje-a-1","data_center":"gimje-a","region":"honam","callers":)" << address(0) << R"(,"readiness":)" << address(1)
                                     << R"(,"peers":)" << address(2) << R"(,"admin":)" << address(3) << R"(,"store":")" << m_store.address()
                                     << R"(","data_centers":["gimje-a honam","naju-b honam","gimhae-a yeongnam"],)"
                                     << R"("contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"],)"
                                     << R"("retry_ratio":0.2,"retry_slack":52,"retry_window_ms":10000,"stop_grace_ms":8000,"config_bound_ms":3000,"leaving_bound_ms":3000,)"
                                     << R"("rate_window_ms":8000,"weights_bound_ms":12000,"least_membership_ms":1000,"memory_mb":110,"file_descriptors":4100,"duty_lease_ms":3000})";
        std::rename((file + ".new").c_str(), file.c_str());
        m_loop.runUntil([this] { return std::ifstream(m_directory + "/gateway.pid") >> m_pid && m_pid > 0; }, milliseconds(10000));
        if (m_pid == 0 || !waitForReady()) {
            note("the gateway did not become ready");
            return false;
        }
        note("the gateway is ready");
        // The gateway takes over the leadership of the weights 1.5 s after its start, and reads endpoints every 0.5 s.
        m_loop.runUntil([] { return false; }, milliseconds(3000));
        return true;
    }

    bool waitForReady()
    {
        Client probe(m_loop, m_ports.at(1));
        const auto end = Clock::now() + milliseconds(10000);
        while (Clock::now() < end) {
            probe.send("GET /hornbeamgate/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            m_loop.runUntil([&probe] { return probe.hasAnswer(); }, milliseconds(500));
            if (probe.status() == 200)
                return true;
            probe.close();
            m_loop.runUntil([] { return false; }, milliseconds(100));
        }
        return false;
    }

    bool isGatewayRunning() const { return kill(m_pid, 0) == 0 && memoryOf(m_pid).has_value(); }

    /// Samples the memory until `isDone`. As on the platform, a process over the memory of its machine is killed.
    void watchMemory(const std::function<bool()>& isDone, milliseconds limit)
    {
        Memory peak;
        bool isWithin = true;
        auto nextNote = Clock::now();
        m_loop.runUntil([&] {
            const auto memory = memoryOf(m_pid);
            if (!memory)
                return true;
            peak.total = std::max(peak.total, memory->total);
            peak.anonymous = std::max(peak.anonymous, memory->anonymous);
            if (Clock::now() >= nextNote) {
                note("memory " + std::to_string(memory->total) + " KB, of it anonymous " + std::to_string(memory->anonymous) + " KB");
                nextNote = Clock::now() + milliseconds(500);
            }
            if (isWithin && memory->anonymous > kMachineKilobytes) {
                isWithin = false;
                note("over the machine's " + std::to_string(kMachineKilobytes) + " KB: the platform kills the process");
                kill(m_pid, SIGKILL);
            }
            return isDone() || !isWithin;
        },
            limit);
        note("peak " + std::to_string(peak.total) + " KB, of it anonymous " + std::to_string(peak.anonymous) + " KB; the machine has " + std::to_string(kMachineKilobytes) + " KB");
    }

    void noteAnswers(const std::vector<std::unique_ptr<Client>>& clients)
    {
        std::map<std::string, int> counts;
        for (const auto& client : clients) {
            if (!client->hasAnswer())
                ++counts["no answer yet"];
            else if (!client->isComplete())
                ++counts[client->status() == 0 ? "the connection ended without an answer" : "the connection ended within the answer"];
            else
                ++counts["status " + std::to_string(client->status())];
        }
        for (const auto& [what, count] : counts)
            note("clients: " + std::to_string(count) + " x " + what);
    }

    /// Sends octets until the peer closes, as far as the peer reads.
    void sendWithoutEnd(const std::shared_ptr<Connection>& connection, std::size_t size, milliseconds interval)
    {
        if (connection->isClosed())
            return;
        if (connection->unsent() == 0)
            connection->send(std::string(size, 'x'));
        m_loop.after(interval, [this, connection, size, interval] { sendWithoutEnd(connection, size, interval); });
    }

    /// Clients that book again and again over connections that they keep. The application takes `work` for each booking.
    class Bookings {
    public:
        Bookings(World& world, int clients, std::size_t bodySize, milliseconds work)
            : m_world(world)
            , m_bodySize(bodySize)
        {
            world.m_onBooking = [this, work](const std::shared_ptr<Connection>& connection, const Request& request) {
                m_passedOn.insert(request.field("x-hornbeamgate-request-id"));
                m_world.m_loop.after(work, [connection, request] { serve(connection, request); });
            };
            for (int i = 0; i < clients; ++i) {
                m_clients.push_back(std::make_unique<Client>(world.m_loop, world.m_ports[0]));
                m_ids.emplace_back();
                m_answersOnConnection.push_back(0);
                // The clients are at different points of their bookings.
                m_waitUntil.push_back(Clock::now() + work * i / clients);
            }
        }

        /// Sends the next booking of each client that has its answer.
        void proceed()
        {
            for (std::size_t i = 0; i < m_clients.size(); ++i) {
                auto& client = *m_clients[i];
                if ((!m_ids[i].empty() && !client.hasAnswer()) || Clock::now() < m_waitUntil[i])
                    continue;
                if (!m_ids[i].empty())
                    settle(i);
                if (!m_isOver && Clock::now() >= m_waitUntil[i]) {
                    m_ids[i] = "book-" + std::to_string(++m_sent);
                    client.send(clientRequest("/book/a", m_ids[i], "key-gimje", m_bodySize));
                }
            }
        }
        void stop() { m_isOver = true; }
        int answered() const
        {
            const auto found = m_statuses.find(200);
            return found == m_statuses.end() ? 0 : found->second;
        }
        /// Bookings that were passed on to the application from a kept connection that then ended without an answer.
        int lost() const { return m_lost; }
        std::string summary() const
        {
            std::string text = "bookings: " + std::to_string(m_sent) + " sent; answered";
            for (const auto& [status, count] : m_statuses)
                text += ' ' + std::to_string(status) + " x " + std::to_string(count) + ',';
            return text + " passed on from a kept connection that ended without an answer: " + std::to_string(m_lost);
        }

    private:
        void settle(std::size_t i)
        {
            const auto& client = *m_clients[i];
            if (client.isComplete()) {
                ++m_statuses[client.status()];
                if (client.status() != 200)
                    m_waitUntil[i] = Clock::now() + milliseconds(1000);
                m_answersOnConnection[i] = client.isKept() ? m_answersOnConnection[i] + 1 : 0;
            } else {
                m_lost += m_answersOnConnection[i] > 0 && m_passedOn.contains(m_ids[i]) ? 1 : 0;
                m_answersOnConnection[i] = 0;
            }
            m_ids[i].clear();
        }

        World& m_world;
        std::size_t m_bodySize;
        std::vector<std::unique_ptr<Client>> m_clients;
        std::vector<std::string> m_ids; ///< of the bookings that wait for their answers
        std::vector<int> m_answersOnConnection;
        std::vector<Clock::time_point> m_waitUntil; ///< clients honour the Retry-After of a refusal
        std::set<std::string> m_passedOn;
        int m_sent = 0;
        std::map<int, int> m_statuses;
        int m_lost = 0;
        bool m_isOver = false;
    };

    /// The rule allows three.
    static constexpr int kAllowedLosses = 3;

    /// Lets the bookings in progress end.
    void finish(Bookings& bookings)
    {
        bookings.stop();
        m_loop.runUntil([&bookings] { bookings.proceed(); return false; }, milliseconds(3000));
        note(bookings.summary());
    }

    /// Model engine that answers short queries at once and runs 64 plans at a time. A plan has 30 events; others wait.
    struct PlanEngine {
        int running = 0;
        int received = 0;
        std::deque<std::pair<std::shared_ptr<Connection>, Request>> waiting;
    };

    void startPlans(PlanEngine& engine)
    {
        constexpr int kSlots = 64;
        while (engine.running < kSlots && !engine.waiting.empty()) {
            const auto next = engine.waiting.front();
            engine.waiting.pop_front();
            ++engine.running;
            // The engine reads the prompt first.
            m_loop.after(milliseconds(1000), [this, &engine, next] {
                next.first->send("HTTP/1.1 200 OK\r\n" + signedFields(next.second) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                sendEvents(engine, next.first, 1);
            });
        }
    }

    void sendEvents(PlanEngine& engine, const std::shared_ptr<Connection>& connection, int number)
    {
        constexpr int kEvents = 30;
        if (connection->isClosed() || number > kEvents) {
            connection->send("0\r\n\r\n");
            --engine.running;
            startPlans(engine);
            return;
        }
        const auto event = "id: " + std::to_string(number) + "\ndata: " + std::string(60, 'e') + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n"
              << event << "\r\n";
        connection->send(chunk.str());
        m_loop.after(milliseconds(95), [this, &engine, connection, number] { sendEvents(engine, connection, number + 1); });
    }

    /// 1,900 clients send a short query each, and then one plan request of 17,000 octets over the same connection. Ten of 18 engines
    /// answer plans with a head without end.
    int playEndlessHeads()
    {
        constexpr std::size_t kBrokenEngines = 10;
        constexpr std::size_t kClients = 1900;
        constexpr std::size_t kQuerySize = 380;
        constexpr std::size_t kPlanSize = 17000;
        constexpr std::size_t kGroup = 50;
        std::vector<PlanEngine> engines(kEngines);
        std::map<std::string, std::size_t> passedOn; ///< engine of each plan
        m_onRequest = [&](int number, const std::shared_ptr<Connection>& connection, const Request& request) {
            if (request.target == "/query/a") {
                connection->send(answerText(200, signedFields(request) + "Content-Type: text/event-stream\r\n", "id: 1\ndata: short\n\n"));
                return;
            }
            const auto index = static_cast<std::size_t>(number);
            passedOn[request.field("x-hornbeamgate-request-id")] = index;
            ++engines[index].received;
            if (m_hasTrouble && index < kBrokenEngines) {
                m_loop.after(milliseconds(1000), [this, connection, request] {
                    connection->send("HTTP/1.1 200 OK\r\nX-Hornbeamgate-Request-Id: " + request.field("x-hornbeamgate-request-id") + "\r\nX-Filler: ");
                    sendWithoutEnd(connection, 1000, milliseconds(45));
                });
                return;
            }
            engines[index].waiting.emplace_back(connection, request);
            startPlans(engines[index]);
        };
        std::vector<std::unique_ptr<Client>> clients;
        const auto isAnswered = [](const auto& client) { return client->hasAnswer(); };
        const auto sendAll = [&](const std::string& path, std::size_t size) {
            for (std::size_t i = 0; i < clients.size(); ++i) {
                clients[i]->send(clientRequest(path + "/a", path.substr(1) + '-' + std::to_string(i), {}, size));
                if (i % kGroup == kGroup - 1)
                    m_loop.runUntil([] { return false; }, milliseconds(5));
            }
        };
        while (clients.size() < kClients)
            clients.push_back(std::make_unique<Client>(m_loop, m_ports[0]));
        sendAll("/query", kQuerySize);
        m_loop.runUntil([&] { return std::all_of(clients.begin(), clients.end(), isAnswered); }, milliseconds(5000));
        noteAnswers(clients);
        std::vector<bool> isKept;
        isKept.reserve(clients.size());
        for (const auto& client : clients)
            isKept.push_back(client->isKept() && client->status() == 200);
        sendAll("/plan", kPlanSize);
        note("sent " + std::to_string(kClients) + " plan requests of " + std::to_string(kPlanSize) + " octets");
        watchMemory([&] { return std::all_of(clients.begin(), clients.end(), isAnswered); }, milliseconds(14000));
        m_loop.runUntil([] { return false; }, milliseconds(500));
        noteAnswers(clients);
        for (std::size_t i = 0; i < engines.size(); ++i)
            note("engine " + std::to_string(i) + " received " + std::to_string(engines[i].received) + " plans");
        int lost = 0;
        for (std::size_t i = 0; i < clients.size(); ++i) {
            const auto passed = passedOn.find("plan-" + std::to_string(i));
            const bool isSound = passed != passedOn.end() && (!m_hasTrouble || passed->second >= kBrokenEngines);
            lost += isKept[i] && isSound && clients[i]->hasAnswer() && clients[i]->status() == 0 ? 1 : 0;
        }
        note("passed on to sound engines from kept connections that then ended without an answer: " + std::to_string(lost));
        if (passedOn.empty())
            return kNotRun;
        return lost > kAllowedLosses ? kBroken : kHeld;
    }

    /// New weights are named while twelve clients book with bodies of 4,000,000 octets; the configuration allows 4,194,304. Half of the model
    /// engines answer the question for their state with a body without end. Together with the bookings they stay within the 1,000
    /// Mbit/s of the machine's link.
    int playEndlessReports()
    {
        constexpr int kBrokenEngines = 9;
        constexpr int kClients = 12;
        constexpr std::size_t kBodySize = 4000000;
        constexpr std::size_t kPieceSize = 65536;
        int reports = 0;
        m_onReport = [&](int engine, const std::shared_ptr<Connection>& connection, const Request&) {
            ++reports;
            if (!m_hasTrouble || engine >= kBrokenEngines) {
                sendReport(engine, connection);
                return;
            }
            connection->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"stage\":\"");
            ++m_openReports;
            sendPaced(connection, kPieceSize, Clock::now());
        };
        Bookings bookings(*this, kClients, kBodySize, milliseconds(2500));
        m_loop.runUntil([&bookings] { bookings.proceed(); return false; }, milliseconds(4000));
        m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
        note("named version 2 of the weights");
        const auto end = Clock::now() + milliseconds(12000);
        watchMemory([&] { bookings.proceed(); return Clock::now() > end; }, milliseconds(13000));
        finish(bookings);
        note("engines were asked for their state " + std::to_string(reports) + " times, " + std::to_string(m_weights.size()) + " took the new weights");
        if (reports == 0 || bookings.answered() == 0)
            return kNotRun;
        return bookings.lost() > kAllowedLosses ? kBroken : kHeld;
    }

    /// New weights are named while ten clients book. One of the 18 model engines answers the question for its state with 2,000,000
    /// octets that are no report.
    int playUnreadableReport()
    {
        constexpr int kClients = 10;
        constexpr std::size_t kBodySize = 600;
        constexpr std::size_t kReportSize = 2000000;
        int unreadable = 0;
        m_onReport = [&](int engine, const std::shared_ptr<Connection>& connection, const Request&) {
            if (!m_hasTrouble || engine > 0) {
                sendReport(engine, connection);
                return;
            }
            ++unreadable;
            connection->send(answerText(200, "Content-Type: application/json\r\n", std::string(kReportSize, '[')));
        };
        Bookings bookings(*this, kClients, kBodySize, milliseconds(400));
        m_loop.runUntil([&bookings] { bookings.proceed(); return false; }, milliseconds(4000));
        m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
        note("named version 2 of the weights");
        const auto end = Clock::now() + milliseconds(8000);
        watchMemory([&] { bookings.proceed(); return Clock::now() > end; }, milliseconds(9000));
        finish(bookings);
        note("unreadable reports: " + std::to_string(unreadable) + "; engines with the new weights: " + std::to_string(m_weights.size()));
        if (bookings.answered() == 0 || (m_hasTrouble && unreadable == 0))
            return kNotRun;
        return bookings.lost() > kAllowedLosses ? kBroken : kHeld;
    }

    /// Sends pieces so that all engines together use 848 Mbit/s.
    void sendPaced(const std::shared_ptr<Connection>& connection, std::size_t size, Clock::time_point due)
    {
        constexpr double kBytesPerMs = 106000;
        constexpr std::size_t kMaxUnsentPieces = 128;
        if (connection->isClosed()) {
            --m_openReports;
            return;
        }
        if (connection->unsent() < kMaxUnsentPieces * size)
            connection->send(std::string(size, 'x'));
        const std::chrono::duration<double, std::milli> pause(static_cast<double>(size) * std::max(1, m_openReports) / kBytesPerMs);
        const auto next = due + std::chrono::duration_cast<Clock::duration>(pause);
        const auto wait = std::chrono::duration_cast<milliseconds>(next - Clock::now());
        m_loop.after(std::max(milliseconds(0), wait), [this, connection, size, next] { sendPaced(connection, size, next); });
    }

    int ask(Client& client, const std::string& request)
    {
        client.send(request);
        m_loop.runUntil([&client] { return client.hasAnswer(); }, milliseconds(5000));
        return client.status();
    }

    /// The operator takes away the only tenant, and with it the only key.
    int playLastTenant()
    {
        constexpr std::size_t kMaxBody = 4194304;
        std::vector<std::string> ran;
        m_onBooking = [&](const std::shared_ptr<Connection>& connection, const Request& request) {
            ran.push_back(request.field("x-hornbeamgate-request-id"));
            serve(connection, request);
        };
        Client client(m_loop, m_ports[0]);
        note("with its key: " + std::to_string(ask(client, clientRequest("/book/a", "held-key", "key-gimje", 10))));
        note("with a key that nobody holds: " + std::to_string(ask(client, clientRequest("/book/a", "no-key-before", "key-of-nobody", 10))));
        m_store.put("keyed.op", "config", config(2, m_hasTrouble ? std::string("[]") : '[' + tenant() + ']', kMaxBody));
        note(m_hasTrouble ? "version 2 is acknowledged: no tenant is left" : "version 2 is acknowledged: the tenant stays");
        // config-apply-ms is 3,000.
        m_loop.runUntil([] { return false; }, milliseconds(4000));
        constexpr int kRequests = 10;
        for (int i = 0; i < kRequests; ++i) {
            const auto id = "no-key-" + std::to_string(i);
            note(id + ": " + std::to_string(ask(client, clientRequest("/book/a", id, "key-of-nobody", 10))));
        }
        const auto broken = std::count_if(ran.begin(), ran.end(), [](const std::string& id) { return id.starts_with("no-key"); });
        note("engines ran " + std::to_string(ran.size()) + " requests, of them with a key that no configuration held: " + std::to_string(broken));
        if (std::find(ran.begin(), ran.end(), "held-key") == ran.end())
            return kNotRun;
        return broken == 0 ? kHeld : kBroken;
    }

    /// Another writer registers a server of its own under a key that is no text. Then new weights are named.
    int playUnreadableKey()
    {
        constexpr int kClients = 10;
        constexpr std::size_t kBodySize = 600;
        int asked = 0;
        const Server foreign(m_loop, [&](const auto& connection, const Request& request) {
            asked += request.target == "/hornbeamgate/report" ? 1 : 0;
            onEngineRequest(kEngines, connection, request);
        });
        m_store.put("keyed.servers", m_hasTrouble ? "i-\xff\xfe" : "i-ghost", entry("rota-llm", foreign, 0, 64, R"([{"name":"m","version":1,"adapters":[]}])"));
        note("another writer's entry is in the store");
        Bookings bookings(*this, kClients, kBodySize, milliseconds(400));
        m_loop.runUntil([&bookings] { bookings.proceed(); return false; }, milliseconds(4000));
        m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
        note("named version 2 of the weights");
        const auto end = Clock::now() + milliseconds(8000);
        watchMemory([&] { bookings.proceed(); return Clock::now() > end; }, milliseconds(9000));
        finish(bookings);
        note("the other writer's server was asked for its state " + std::to_string(asked) + " times; servers with the new weights: " + std::to_string(m_weights.size()));
        note(isGatewayRunning() ? "the process runs" : "the process has ended");
        if (bookings.answered() == 0 || asked == 0)
            return kNotRun;
        return bookings.lost() > kAllowedLosses ? kBroken : kHeld;
    }

    std::string m_directory;
    bool m_hasTrouble;
    std::ofstream m_record;
    Clock::time_point m_startedAt = Clock::now();
    Loop m_loop;
    Store m_store { m_loop };
    std::vector<std::unique_ptr<Server>> m_engines;
    std::map<int, int> m_weights; ///< engines that took new weights
    int m_openReports = 0;
    std::vector<std::unique_ptr<Server>> m_applications;
    EngineHandler m_onRequest = [](int, const std::shared_ptr<Connection>& connection, const Request& request) { serve(connection, request); };
    Server::Handler m_onBooking = [](const std::shared_ptr<Connection>& connection, const Request& request) { serve(connection, request); };
    EngineHandler m_onReport = [this](int engine, const std::shared_ptr<Connection>& connection, const Request&) { sendReport(engine, connection); };
    std::array<int, 4> m_ports {}; ///< callers, readiness, peers, admin
    int m_pid = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() != 3) {
        std::cerr << "usage: daesan_front SCENARIO DIRECTORY TROUBLE\n";
        return kNotRun;
    }
    // Connections refer to the loop, so nothing is destroyed in an order that would matter.
    auto* world = new World(arguments[1], arguments[2] != "0");
    std::_Exit(world->run(arguments[0]));
}
