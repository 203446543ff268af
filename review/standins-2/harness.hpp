#pragma once

// Stand-ins of the platform's store, of engines and of clients, for the review's scripts.
//
// Everything speaks HTTP/1.1 on loopback addresses, with one thread for each connection, so that a stand-in can break off
// or delay an answer at any byte.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lowerCase(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// Writes lines with the time since the start of the script, in milliseconds.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << now() << ' ' << text << std::endl;
    }
    long now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count(); }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

struct Message {
    std::string first; ///< request or status line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool isComplete = false;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(lowerCase(name));
        return found == fields.end() ? std::string() : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto start = first.find(' ') + 1;
        return first.substr(start, first.find(' ', start) - start);
    }
    int status() const { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }
};

/// A connected socket.
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Waits for more bytes; false at the end of the connection or at the deadline.
    bool receive(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd ready { m_descriptor, POLLIN, 0 };
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0)
            return false;
        char buffer[65536];
        const auto count = recv(m_descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            m_hasEnded = true;
            return false;
        }
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    /// Reads one message; nothing if the connection ended before its head.
    std::optional<Message> read(Clock::time_point deadline)
    {
        std::size_t headEnd = 0;
        while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        Message message;
        std::istringstream head(m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, message.first);
        if (!message.first.empty() && message.first.back() == '\r')
            message.first.pop_back();
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            message.fields[lowerCase(line.substr(0, colon))] = value;
        }
        readBody(message, deadline);
        return message;
    }

    bool hasEnded() const { return m_hasEnded; }
    int descriptor() const { return m_descriptor; }

    /// Ends the connection with a reset, as the crash of its process with unread data does.
    void reset()
    {
        const linger now { 1, 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown(m_descriptor, SHUT_RDWR);
    }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

private:
    void readBody(Message& message, Clock::time_point deadline)
    {
        if (lowerCase(message.field("Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::size_t lineEnd = 0;
                while ((lineEnd = m_input.find("\r\n")) == std::string::npos) {
                    if (!receive(deadline))
                        return;
                }
                const auto size = std::strtoul(m_input.c_str(), nullptr, 16);
                while (m_input.size() < lineEnd + 2 + size + 2) {
                    if (!receive(deadline)) {
                        if (m_input.size() > lineEnd + 2)
                            message.body += m_input.substr(lineEnd + 2, size);
                        return;
                    }
                }
                message.body += m_input.substr(lineEnd + 2, size);
                m_input.erase(0, lineEnd + 2 + size + 2);
                if (size == 0) {
                    message.isComplete = true;
                    return;
                }
            }
        }
        const auto length = message.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
        while (m_input.size() < size) {
            if (!receive(deadline))
                return;
        }
        message.body = m_input.substr(0, size);
        m_input.erase(0, size);
        message.isComplete = true;
    }

    int m_descriptor;
    std::string m_input;
    bool m_hasEnded = false;
};

/// Accepts connections on a free port and answers each in its own thread.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Message&)>; ///< returns false to end the connection

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(m_listener, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// While down, open connections are reset and new ones at once, as the kernel does for a process that is gone.
    void setDown(bool isDown)
    {
        const std::lock_guard lock(m_mutex);
        m_isDown = isDown;
        if (!isDown)
            return;
        for (auto* connection : m_open)
            connection->reset();
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([this, accepted] { serve(accepted); }).detach();
        }
    }

    void serve(int accepted)
    {
        Connection connection(accepted);
        {
            const std::lock_guard lock(m_mutex);
            if (m_isDown) {
                connection.reset();
                return;
            }
            m_open.insert(&connection);
        }
        for (;;) {
            const auto message = connection.read(Clock::now() + std::chrono::seconds(120));
            if (!message || !message->isComplete || !m_handler(connection, *message))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(&connection);
    }

    Handler m_handler;
    int m_listener;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<Connection*> m_open;
    bool m_isDown = false;
};

inline std::string httpAnswer(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string base64(const std::string& text)
{
    constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = i; j < i + 3; ++j)
            bits = bits << 8U | (j < text.size() ? static_cast<unsigned char>(text[j]) : 0U);
        for (const unsigned shift : { 18U, 12U, 6U, 0U })
            encoded += kDigits[bits >> shift & 63U];
    }
    // The digits that stand for no octet are padding.
    const auto missing = (3 - text.size() % 3) % 3;
    encoded.replace(encoded.size() - missing, missing, missing, '=');
    return encoded;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(value >> shift & 0xff);
    return text;
}

/// The platform's metadata store: a log with keyed topics and groups, as PROTOCOL.md tells.
class Store {
public:
    /// With an era, the store states it in all answers and can come back from an older copy.
    explicit Store(Record& record, std::optional<int> era = std::nullopt)
        : m_record(record)
        , m_era(era)
        , m_server([this](Connection& connection, const Message& message) { return handle(connection, message); })
    {
    }

    std::string address() const { return m_server.address(); }

    /// Appends a keyed record; an empty value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        add(topic, bigEndian(key.size(), 1) + key + value);
    }

    void setDown(bool isDown) { m_server.setDown(isDown); }

    /// Takes all records of another store at the same offsets.
    void copyFrom(Store& other)
    {
        const std::scoped_lock lock(m_mutex, other.m_mutex);
        m_topics = other.m_topics;
        m_times = other.m_times;
    }

    /// The next append to `topic` gets no answer, and is carried out later if its condition still holds.
    void loseNextAppend(const std::string& topic)
    {
        const std::lock_guard lock(m_mutex);
        m_losingTopic = topic;
    }
    /// Offset at which the lost append is to be made, once it has come.
    std::optional<std::size_t> lostAppend()
    {
        const std::lock_guard lock(m_mutex);
        return m_lost ? std::optional(std::strtoul(parameter(m_lost->first, "at").c_str(), nullptr, 10)) : std::nullopt;
    }
    /// Carries the lost append out if its condition holds.
    bool carryOutLostAppend()
    {
        std::string target;
        std::string body;
        {
            const std::lock_guard lock(m_mutex);
            target = m_lost->first;
            body = m_lost->second;
        }
        return append(target, body).starts_with("HTTP/1.1 200");
    }
    /// When the record at `offset` was appended.
    Clock::time_point appendedAt(const std::string& topic, std::size_t offset)
    {
        const std::lock_guard lock(m_mutex);
        return m_times[topic].at(offset);
    }
    /// Comes back from a copy that was made at `time`.
    void returnFromCopy(Clock::time_point time)
    {
        const std::lock_guard lock(m_mutex);
        for (auto& [topic, times] : m_times) {
            while (!times.empty() && times.back() > time) {
                times.pop_back();
                m_topics[topic].pop_back();
            }
        }
        m_era = m_era.value() + 1;
        m_changed.notify_all();
    }

private:
    bool handle(Connection& connection, const Message& message)
    {
        auto text = answer(message);
        if (text.empty()) {
            // A connection on which an answer is lost returns nothing further.
            std::this_thread::sleep_for(std::chrono::seconds(20));
            return false;
        }
        const std::lock_guard lock(m_mutex);
        if (m_era)
            text.insert(text.find("\r\n") + 2, "Store-Era: " + std::to_string(*m_era) + "\r\n");
        return connection.send(text);
    }

    void add(const std::string& topic, const std::string& record)
    {
        m_topics[topic].push_back(record);
        m_times[topic].push_back(Clock::now());
        m_changed.notify_all();
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + '=') == 0) {
                const auto start = at + 2 + name.size();
                return target.substr(start, target.find('&', start) - start);
            }
        }
        return {};
    }
    static std::string jsonText(const std::string& body, const std::string& name)
    {
        const auto at = body.find('"' + name + "\":\"");
        if (at == std::string::npos)
            return {};
        const auto start = at + name.size() + 4;
        return body.substr(start, body.find('"', start) - start);
    }
    static long jsonNumber(const std::string& body, const std::string& name)
    {
        const auto at = body.find('"' + name + "\":");
        return at == std::string::npos ? 0 : std::atol(body.c_str() + at + name.size() + 3);
    }

    std::string answer(const Message& message)
    {
        const auto target = message.target();
        const auto path = target.substr(0, target.find('?'));
        if (path == "/hornbeamgate/log-append")
            return append(target, message.body);
        if (path == "/hornbeamgate/log-read")
            return read(target);
        if (path == "/hornbeamgate/log-newest")
            return newest(target);
        if (path == "/hornbeamgate/log-join")
            return join(message.body);
        if (path == "/hornbeamgate/log-leave")
            return leave(message.body);
        return httpAnswer(404, {});
    }

    static std::string printable(const std::string& text)
    {
        std::string shown;
        for (const char c : text)
            shown += c >= ' ' && c <= '~' ? c : '.';
        return shown;
    }

    std::string append(const std::string& target, const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        const auto topic = parameter(target, "topic");
        auto& records = m_topics[topic];
        if (!m_losingTopic.empty() && topic == m_losingTopic) {
            m_losingTopic.clear();
            m_lost = { target, body };
            m_record.line("store: an append to " + topic + " at " + parameter(target, "at") + " gets no answer: " + printable(body));
            return {};
        }
        const auto at = parameter(target, "at");
        if (!at.empty() && std::strtoul(at.c_str(), nullptr, 10) != records.size())
            return httpAnswer(412, "{\"end-offset\":" + std::to_string(records.size()) + '}', "Content-Type: application/json\r\n");
        const auto offset = records.size();
        for (std::size_t i = 0; i + 4 <= body.size();) {
            std::size_t length = 0;
            for (int byte = 0; byte < 4; ++byte)
                length = length << 8 | static_cast<unsigned char>(body[i + static_cast<std::size_t>(byte)]);
            add(topic, body.substr(i + 4, length));
            i += 4 + length;
        }
        if (topic == "keyed.orders")
            m_record.line("store: " + topic + " ends at " + std::to_string(records.size()) + " with " + printable(body));
        return httpAnswer(200, "{\"offset\":" + std::to_string(offset) + ",\"end-offset\":" + std::to_string(records.size()) + '}', "Content-Type: application/json\r\n");
    }

    std::string read(const std::string& target)
    {
        std::unique_lock lock(m_mutex);
        auto& records = m_topics[parameter(target, "topic")];
        const std::size_t from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
        const auto wait = std::strtol(parameter(target, "wait-timeout-ms").c_str(), nullptr, 10);
        const auto era = m_era;
        m_changed.wait_for(lock, milliseconds(wait), [&] { return records.size() > from || m_era != era; });
        if (from > records.size())
            return httpAnswer(410, R"({"first-offset":0})", "Content-Type: application/json\r\n");
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (auto i = from; i < records.size(); ++i)
            body += bigEndian(records[i].size(), 4) + records[i];
        return httpAnswer(200, body);
    }

    std::string newest(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        const auto& records = m_topics[parameter(target, "topic")];
        std::map<std::string, std::pair<std::size_t, std::string>> values;
        for (std::size_t i = 0; i < records.size(); ++i) {
            const auto size = static_cast<unsigned char>(records[i].at(0));
            const auto key = records[i].substr(1, size);
            if (records[i].size() > 1U + size)
                values[key] = { i, records[i].substr(1U + size) };
            else
                values.erase(key);
        }
        std::string items;
        for (const auto& [key, value] : values)
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key + "\",\"value\":\"" + base64(value.second) + "\",\"offset\":" + std::to_string(value.first) + '}');
        return httpAnswer(200, "{\"items\":[" + items + "],\"has-more\":false,\"end-offset\":" + std::to_string(records.size()) + '}', "Content-Type: application/json\r\n");
    }

    struct Group {
        long generation = 0;
        std::string owner;
        std::map<std::string, Clock::time_point> members; ///< with the end of each membership
    };

    void expire(Group& group)
    {
        std::erase_if(group.members, [&group](const auto& member) { return member.second <= Clock::now() && (group.generation += 1) > 0; });
        if (group.members.contains(group.owner))
            return;
        group.owner = group.members.empty() ? std::string() : group.members.begin()->first;
        ++group.generation;
    }

    std::string join(const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        auto& group = m_groups[jsonText(body, "group")];
        const auto member = jsonText(body, "member");
        expire(group);
        if (!group.members.contains(member))
            ++group.generation;
        const auto before = group.owner;
        group.members[member] = Clock::now() + milliseconds(jsonNumber(body, "ttl-ms"));
        expire(group);
        if (group.owner != before)
            m_record.line("store: the partition belongs to " + group.owner + " in generation " + std::to_string(group.generation));
        const auto topicsAt = body.find("\"topics\":[\"");
        const auto topic = topicsAt == std::string::npos ? std::string() : body.substr(topicsAt + 11, body.find('"', topicsAt + 11) - topicsAt - 11);
        const auto parts = group.owner == member ? "[[\"" + topic + "\",0,0]]" : "[]";
        return httpAnswer(200, "{\"generation\":" + std::to_string(group.generation) + ",\"ttl-ms\":" + std::to_string(jsonNumber(body, "ttl-ms")) + ",\"parts\":" + parts + '}', "Content-Type: application/json\r\n");
    }

    std::string leave(const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        auto& group = m_groups[jsonText(body, "group")];
        if (group.members.erase(jsonText(body, "member")) > 0)
            ++group.generation;
        expire(group);
        return httpAnswer(200, "{}", "Content-Type: application/json\r\n");
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    std::map<std::string, std::vector<Clock::time_point>> m_times; ///< of the records
    std::map<std::string, Group> m_groups;
    std::optional<int> m_era;
    std::string m_losingTopic;
    std::optional<std::pair<std::string, std::string>> m_lost; ///< target and body of the lost append
    Server m_server;
};

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/// An engine that registers itself and writes its entry at each heartbeat.
class Engine {
public:
    using Run = std::function<bool(Engine&, Connection&, const Message&)>;

    Engine(Store& store, std::string id, std::string service, std::string model, Run run, int slots = 16)
        : m_store(&store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_model(std::move(model))
        , m_run(std::move(run))
        , m_slots(slots)
        , m_server([this](Connection& connection, const Message& message) { return answer(connection, message); })
    {
        std::thread([this] {
            for (;;) {
                if (!m_isDown)
                    beat();
                std::this_thread::sleep_for(milliseconds(1200));
            }
        }).detach();
    }

    const std::string& id() const { return m_id; }
    long version() const { return m_version; }
    void setVersion(long version)
    {
        m_version = version;
        beat();
    }
    std::uint64_t born() const { return m_born; }
    Clock::time_point lastBeat() const { return m_lastBeat; }
    const std::string& service() const { return m_service; }
    std::string address() const { return m_server.address(); }
    /// Writes its entries to another store from now on.
    void moveTo(Store& store)
    {
        m_store = &store;
        beat();
    }

    /// Ends the process; it is back after `pause` under the same id, and knows nothing of before.
    void crash(milliseconds pause)
    {
        if (m_isDown.exchange(true))
            return;
        m_server.setDown(true);
        std::thread([this, pause] {
            std::this_thread::sleep_for(pause);
            m_born = unixMilliseconds();
            m_sequence = 0;
            m_server.setDown(false);
            m_isDown = false;
            beat();
        }).detach();
    }
    bool isDown() const { return m_isDown; }

private:
    bool answer(Connection& connection, const Message& message)
    {
        const auto expected = message.field("X-Hornbeamgate-Expect-Instance");
        const auto echo = "X-Hornbeamgate-Request-Id: " + message.field("X-Hornbeamgate-Request-Id") + "\r\n";
        if (!expected.empty() && expected != m_id)
            return connection.send(httpAnswer(421, {}, echo + "X-Hornbeamgate-Not-Executed: 1\r\nX-Hornbeamgate-Instance-Id: " + m_id + "\r\n"));
        return m_run(*this, connection, message);
    }

    void beat()
    {
        const std::lock_guard lock(m_mutex);
        const auto models = m_model.empty() ? std::string() : ",\"stage\":\"both\",\"models\":[{\"name\":\"" + m_model + "\",\"version\":" + std::to_string(m_version) + ",\"adapters\":[]}]";
        m_lastBeat = Clock::now();
        m_store.load()->put("keyed.servers", m_id, "{\"service\":\"" + m_service + "\",\"address\":\"" + m_server.address() + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots) + ",\"state\":\"ready\",\"cold-remaining-ms\":0" + models + ",\"sequence\":" + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + '}');
    }

    std::atomic<Store*> m_store;
    std::string m_id;
    std::string m_service;
    std::string m_model;
    Run m_run;
    int m_slots;
    std::mutex m_mutex;
    std::atomic<long> m_version { 1 };
    std::atomic<std::uint64_t> m_born { unixMilliseconds() };
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<bool> m_isDown { false };
    std::atomic<Clock::time_point> m_lastBeat {};
    Server m_server;
};

inline int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

/// A gateway daemon, started with the command of the deploy file and settings from its template.
class Gateway {
public:
    struct Options {
        long lease = 3000;
        long retrySlack = 56;
        long grace = 8; ///< seconds from SIGTERM to SIGKILL
        long memory = 260; ///< megabytes
    };

    Gateway(const std::string& program, const std::string& folder, const std::string& host, const std::string& store)
        : m_program(program)
        , m_settings(folder + '/' + host + ".json")
        , m_log(folder + '/' + host + ".log")
        , m_host(host)
        , m_store(store)
    {
        choosePorts();
    }
    ~Gateway() { stop(SIGKILL); }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    int port() const { return m_callers; }
    int adminPort() const { return m_admin; }
    const std::string& host() const { return m_host; }
    pid_t process() const { return m_process; }

    void setStore(const std::string& store) { m_store = store; }

    /// Replaces the settings file in one step.
    void writeSettings(const Options& options)
    {
        m_options = options;
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; };
        std::ofstream file(m_settings + ".new");
        file << "{\"host\":\"" << m_host << "\",\"data_center\":\"z1\",\"region\":\"r1\",\"callers\":" << at(m_callers) << ",\"readiness\":" << at(m_readiness)
             << ",\"peers\":" << at(m_peers) << ",\"admin\":" << at(m_admin) << ",\"store\":\"" << m_store << "\",\"data_centers\":[\"z1 r1\"],"
             << R"("contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"],)"
             << "\"retry_ratio\":0.2,\"retry_slack\":" << options.retrySlack << ",\"retry_window_ms\":10000,\"stop_grace_ms\":" << options.grace << "000,\"config_bound_ms\":3000,\"leaving_bound_ms\":3000,"
             << "\"rate_window_ms\":8000,\"weights_bound_ms\":10000,\"least_membership_ms\":1000,\"memory_mb\":" << options.memory << ",\"file_descriptors\":4100,\"duty_lease_ms\":" << options.lease << "}\n";
        file.close();
        std::rename((m_settings + ".new").c_str(), m_settings.c_str());
    }

    void start()
    {
        m_process = fork();
        if (m_process == 0) {
            // No daemon outlives the script.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (!std::freopen(m_log.c_str(), "a", stdout) || !std::freopen(m_log.c_str(), "a", stderr))
                _exit(2);
            execl(m_program.c_str(), m_program.c_str(), "--settings", m_settings.c_str(), nullptr);
            _exit(2);
        }
    }

    void signal(int number) const { kill(m_process, number); }

    void stop(int number)
    {
        if (m_process <= 0)
            return;
        kill(m_process, number);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    /// True while the process has not ended by itself.
    bool isRunning()
    {
        return m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == 0;
    }

    bool waitUntilReady()
    {
        for (int i = 0; i < 200; ++i) {
            // Another process may have taken one of the ports meanwhile.
            if (!isRunning()) {
                choosePorts();
                writeSettings(m_options);
                start();
            }
            if (auto connection = Connection::open(m_readiness)) {
                connection->send("GET /hornbeamgate/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                const auto answer = connection->read(Clock::now() + std::chrono::seconds(1));
                if (answer && answer->status() == 200)
                    return true;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

private:
    void choosePorts()
    {
        m_callers = freePort();
        m_readiness = freePort();
        m_peers = freePort();
        m_admin = freePort();
    }

    std::string m_program;
    std::string m_settings;
    std::string m_log;
    std::string m_host;
    std::string m_store;
    Options m_options;
    int m_callers = 0;
    int m_readiness = 0;
    int m_peers = 0;
    int m_admin = 0;
    pid_t m_process = 0;
};

/// Ends the daemons and this process. The threads of the stand-ins are left to the system.
[[noreturn]] inline void finish(int code, std::initializer_list<Gateway*> gateways)
{
    for (auto* gateway : gateways)
        gateway->stop(SIGKILL);
    _exit(code);
}

inline std::string routeText(const std::string& name, const std::string& service, const std::string& kind, long timeout, int attempts, bool isResumable)
{
    return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path-prefix\":\"/" + name + "/\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + std::to_string(timeout)
        + ",\"target-latency-ms\":800,\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + std::to_string(attempts) + ",\"public\":false,\"sticky\":"
        + (kind == "streaming" ? "true" : "false") + ",\"resumable\":" + (isResumable ? "true" : "false") + (kind == "streaming" ? ",\"target-gap-ms\":400}" : "}");
}

inline std::string configText(const std::string& routes, const std::string& services)
{
    return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"uncached-tokens\":200,\"isolated\":false,\"rate-per-s\":100000000,\"burst\":100000000}]}";
}

inline bool isOrder(const Message& message) { return message.target() == "/hornbeamgate/order"; }
inline bool isReport(const Message& message) { return message.target() == "/hornbeamgate/report"; }

} // namespace review
