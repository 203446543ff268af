#include "testbed.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

    constexpr std::size_t kReadSize = 65536;
    constexpr milliseconds kReadyInterval { 50 };

    std::string lowered(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return result;
    }

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int boundPort(int descriptor)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    int freePort()
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(0);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            std::perror("bind");
        const int port = boundPort(descriptor);
        close(descriptor);
        return port;
    }

    std::string bigEndian(std::uint64_t value, int size)
    {
        std::string bytes;
        for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            bytes += static_cast<char>(value >> shift & 0xff);
        return bytes;
    }

    std::uint64_t fromBigEndian(std::string_view bytes)
    {
        std::uint64_t value = 0;
        for (const char c : bytes)
            value = value << 8 | static_cast<unsigned char>(c);
        return value;
    }

    std::string base64(std::string_view bytes)
    {
        constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }

    std::string parameter(const std::string& target, const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (item.starts_with(name + '='))
                return item.substr(name.size() + 1);
            at = end;
        }
        return {};
    }

    std::size_t number(const std::string& text)
    {
        std::size_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string reply(int status, std::string_view body)
    {
        return formatMessage("HTTP/1.1 " + std::to_string(status) + " Answer", { { "Content-Type", "application/json" } }, body);
    }

} // namespace

Record::Record(const std::string& path)
    : m_start(Clock::now())
    , m_descriptor(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    close(m_descriptor);
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::write(const std::string& line)
{
    constexpr int kTimeWidth = 32;
    const std::lock_guard lock(m_mutex);
    std::string time(kTimeWidth, '\0');
    time.resize(static_cast<std::size_t>(std::max(0, std::snprintf(time.data(), time.size(), "%8.3f s  ", seconds()))));
    const auto text = time + line + '\n';
    if (::write(m_descriptor, text.data(), text.size()) < 0)
        std::perror("record.txt");
    std::fputs(text.c_str(), stdout);
}

std::string Message::field(std::string_view name) const
{
    for (const auto& [known, value] : fields) {
        if (lowered(known) == lowered(name))
            return value;
    }
    return {};
}

std::string Message::word(std::size_t index) const
{
    std::size_t start = 0;
    for (; index > 0; --index) {
        start = startLine.find(' ', start);
        if (start == std::string::npos)
            return {};
        ++start;
    }
    return startLine.substr(start, startLine.find(' ', start) - start);
}

int Message::status() const
{
    return static_cast<int>(number(word(1)));
}

std::string formatMessage(const std::string& startLine, const std::vector<std::pair<std::string, std::string>>& fields, std::string_view body)
{
    std::string text = startLine + "\r\n";
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(int port, const Options& options)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof options.receiveBuffer);
    if (options.segment > 0)
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
    const auto address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string Connection::receive(std::size_t most, Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
    pollfd input { m_descriptor, POLLIN, 0 };
    if (left <= 0 || poll(&input, 1, static_cast<int>(left)) <= 0)
        return {};
    std::string bytes(most, '\0');
    const auto count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    m_hasEnded = count <= 0;
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    return bytes;
}

bool Connection::fill(Clock::time_point deadline)
{
    const auto bytes = receive(kReadSize, deadline);
    m_input += bytes;
    return !bytes.empty();
}

std::optional<std::string> Connection::takeLine(Clock::time_point deadline)
{
    for (;;) {
        if (const auto end = m_input.find("\r\n"); end != std::string::npos) {
            auto line = m_input.substr(0, end);
            m_input.erase(0, end + 2);
            return line;
        }
        if (!fill(deadline))
            return std::nullopt;
    }
}

bool Connection::takeBody(std::size_t size, std::string& body, Clock::time_point deadline)
{
    while (m_input.size() < size) {
        if (!fill(deadline)) {
            m_partialBody = body.size() + m_input.size();
            return false;
        }
    }
    body += m_input.substr(0, size);
    m_input.erase(0, size);
    m_partialBody = body.size();
    return true;
}

std::optional<Message> Connection::readMessage(Clock::time_point deadline)
{
    constexpr int kHexadecimal = 16;
    m_partialBody = 0;
    Message message;
    const auto start = takeLine(deadline);
    if (!start)
        return std::nullopt;
    message.startLine = *start;
    for (;;) {
        const auto line = takeLine(deadline);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        const auto colon = line->find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const auto value = line->find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line->substr(0, colon), value == std::string::npos ? std::string() : line->substr(value));
    }
    if (lowered(message.field("Transfer-Encoding")) != "chunked")
        return takeBody(number(message.field("Content-Length")), message.body, deadline) ? std::optional(message) : std::nullopt;
    for (;;) {
        const auto line = takeLine(deadline);
        if (!line)
            return std::nullopt;
        std::size_t size = 0;
        std::from_chars(line->data(), line->data() + line->size(), size, kHexadecimal);
        if (!takeBody(size, message.body, deadline) || !takeLine(deadline))
            return std::nullopt;
        if (size == 0)
            return message;
    }
}

void Connection::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
    , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int kBacklog = 256;
    const auto address = loopback(0);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(m_descriptor, kBacklog) != 0)
        std::perror("listen");
    m_port = boundPort(m_descriptor);
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (m_isStopping.exchange(true))
        return;
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_acceptor.join();
    close(m_descriptor);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& connection : m_connections)
            connection->shutDown();
    }
    for (auto& thread : m_threads)
        thread.join();
}

void Server::accept()
{
    while (!m_isStopping) {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] {
            m_handler(*connection);
            connection->shutDown();
        });
    }
}

Store::Store()
    : m_server([this](Connection& connection) { serve(connection); })
{
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({ key, value });
    m_changed.notify_all();
}

void Store::serve(Connection& connection)
{
    constexpr std::chrono::hours kIdle { 1 };
    while (const auto request = connection.readMessage(Clock::now() + kIdle)) {
        if (!connection.send(answer(*request)))
            return;
    }
}

std::string Store::answer(const Message& request)
{
    const auto target = request.word(1);
    const auto topic = parameter(target, "topic");
    if (target.starts_with("/hornbeamgate/log-newest"))
        return newest(topic);
    if (target.starts_with("/hornbeamgate/log-read"))
        return read(topic, number(parameter(target, "from")), milliseconds(number(parameter(target, "wait-timeout-ms"))));
    if (target.starts_with("/hornbeamgate/log-append"))
        return append(topic, request.body, parameter(target, "at"));
    if (target.starts_with("/hornbeamgate/log-join"))
        return join(request.body);
    if (target.starts_with("/hornbeamgate/log-leave"))
        return leave(request.body);
    return reply(404, "{}");
}

std::string Store::newest(const std::string& topic)
{
    const std::lock_guard lock(m_mutex);
    const auto& records = m_topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < records.size(); ++i)
        last[records[i].key] = i;
    json items = json::array();
    for (const auto& [key, offset] : last) {
        if (!records[offset].value.empty())
            items.push_back({ { "key", key }, { "value", base64(records[offset].value) }, { "offset", offset } });
    }
    return reply(200, json({ { "items", items }, { "has-more", false }, { "end-offset", records.size() } }).dump());
}

std::string Store::read(const std::string& topic, std::size_t from, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto& records = m_topics[topic];
    m_changed.wait_for(lock, wait, [&] { return from < records.size(); });
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const auto& [key, value] = records[i];
        body.append(bigEndian(1 + key.size() + value.size(), 4)).append(bigEndian(key.size(), 1)).append(key).append(value);
    }
    return formatMessage("HTTP/1.1 200 OK", {}, body);
}

std::string Store::append(const std::string& topic, const std::string& records, const std::string& at)
{
    const std::lock_guard lock(m_mutex);
    auto& known = m_topics[topic];
    if (!at.empty() && number(at) != known.size())
        return reply(412, json({ { "end-offset", known.size() } }).dump());
    const auto first = known.size();
    for (std::size_t i = 0; i + 5 <= records.size();) {
        const auto length = static_cast<std::size_t>(fromBigEndian(records.substr(i, 4)));
        const auto keySize = static_cast<unsigned char>(records[i + 4]);
        known.push_back({ records.substr(i + 5, keySize), records.substr(i + 5 + keySize, length - 1 - keySize) });
        i += 4 + length;
    }
    m_changed.notify_all();
    return reply(200, json({ { "offset", first }, { "end-offset", known.size() } }).dump());
}

void Store::expireMembers()
{
    std::erase_if(m_members, [](const auto& member) { return member.second.until <= Clock::now(); });
    if (!m_holder.empty() && !m_members.contains(m_holder)) {
        m_holder = m_members.empty() ? std::string() : m_members.begin()->first;
        ++m_generation;
    }
}

std::string Store::join(const std::string& body)
{
    const auto call = json::parse(body);
    const auto member = call.at("member").get<std::string>();
    const std::lock_guard lock(m_mutex);
    expireMembers();
    const bool isNew = !m_members.contains(member);
    m_members[member] = { Clock::now() + milliseconds(call.at("ttl-ms").get<int>()) };
    if (isNew)
        ++m_generation;
    if (m_holder.empty())
        m_holder = member;
    json parts = json::array();
    if (m_holder == member)
        parts.push_back(json::array({ call.at("topics").at(0), 0, 0 }));
    return reply(200, json({ { "generation", m_generation }, { "ttl-ms", call.at("ttl-ms") }, { "parts", parts } }).dump());
}

std::string Store::leave(const std::string& body)
{
    const std::lock_guard lock(m_mutex);
    m_members.erase(json::parse(body).at("member").get<std::string>());
    expireMembers();
    return reply(200, "{}");
}

std::string EngineEntry::text(std::uint64_t sequence) const
{
    json entry { { "service", service }, { "address", address }, { "zone", zone }, { "version", "v1" }, { "slots", slots }, { "state", "ready" },
        { "cold-remaining-ms", 0 }, { "sequence", sequence }, { "born", born } };
    if (!model.empty()) {
        entry["stage"] = "both";
        entry["models"] = json::array({ { { "name", model }, { "version", weights }, { "adapters", json::array() } } });
    }
    return entry.dump();
}

Gateway::Gateway(const std::string& program, const std::string& folder, const std::string& host, const std::string& storeAddress)
    : m_callers(freePort())
    , m_readiness(freePort())
{
    const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    // Filled in from deploy/gateway.json with the bounds of the site that the claim names.
    const json settings { { "host", host }, { "data_center", "postojna" }, { "region", "notranjska" }, { "callers", local(m_callers) },
        { "readiness", local(m_readiness) }, { "peers", local(freePort()) }, { "admin", local(freePort()) }, { "store", storeAddress },
        { "data_centers", json::array({ "postojna notranjska", "sezana primorska", "cerknica notranjska" }) }, { "retry_ratio", 0.2 },
        { "retry_slack", 56 }, { "retry_window_ms", 10000 }, { "stop_grace_ms", 8000 }, { "config_bound_ms", 3000 }, { "leaving_bound_ms", 3000 },
        { "rate_window_ms", 8000 }, { "weights_bound_ms", 10000 }, { "least_membership_ms", 1000 }, { "duty_lease_ms", 3000 } };
    const auto path = folder + '/' + host + ".json";
    std::ofstream(path) << settings.dump(2) << '\n';
    const auto log = folder + '/' + host + ".log";
    m_pid = fork();
    if (m_pid != 0)
        return;
    // The daemon must not outlive this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "--settings", path.c_str(), static_cast<char*>(nullptr));
    _exit(127);
}

Gateway::~Gateway()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

bool Gateway::isReady() const
{
    const auto connection = Connection::open(m_readiness);
    if (!connection || !connection->send("GET /hornbeamgate/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
        return false;
    const auto answer = connection->readMessage(Clock::now() + std::chrono::seconds(1));
    return answer && answer->status() == 200;
}

bool Gateway::waitUntilReady(milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (isReady())
            return true;
        pause(kReadyInterval);
    }
    return false;
}

void Gateway::signal(int number) const
{
    kill(m_pid, number);
}

bool Gateway::waitForEnd(milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        pause(milliseconds(5));
    }
    return false;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

std::string gatewayProgram()
{
    return "target/platform/hornbeamgate-gateway";
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace review
