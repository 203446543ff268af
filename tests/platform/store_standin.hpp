#pragma once

#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <charconv>
#include <set>

namespace hornbeamgate::gateway::testing {

/// Stand-in for the platform's store that can fall silent: calls that it holds or receives meanwhile are never answered.
///
/// It lists and reads the records of `keyed.*` topics, holds reads until a record is appended, and rejects all other calls.
class StoreStandIn {
public:
    StoreStandIn()
    {
        auto created = HttpAcceptor::create({ "127.0.0.1", 0 },
            { [this](HttpServerConnection& connection, HttpRequestMessage message) { return std::make_unique<Call>(*this, connection, std::move(message)); }, {}, {} });
        REQUIRE(created);
        m_acceptor = std::move(*created);
    }

    const SocketAddress& address() const { return m_acceptor->address(); }

    /// Appends a record and answers the calls that wait for it.
    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        m_topics[topic].push_back({ key, value });
        const auto held = m_held;
        for (auto* call : held)
            call->answerIfReady();
    }

    /// Gives up the calls in progress and ignores further ones.
    void fallSilent()
    {
        m_isSilent = true;
        m_held.clear();
    }
    void answerAgain() { m_isSilent = false; }

    /// Number of reads of `topic` that have been received.
    int reads(const std::string& topic) const
    {
        const auto found = m_reads.find(topic);
        return found == m_reads.end() ? 0 : found->second;
    }

private:
    struct Record {
        std::string key;
        std::string value;
    };

    class Call : public HttpRequestHandler {
    public:
        Call(StoreStandIn& store, HttpServerConnection& connection, HttpRequestMessage message)
            : m_store(store)
            , m_connection(connection)
            , m_target(std::move(message.head.target))
        {
        }
        ~Call() override { m_store.m_held.erase(this); }

        void start() override
        {
            if (isRead())
                ++m_store.m_reads[parameter("topic")];
            if (m_store.m_isSilent)
                return;
            m_store.m_held.insert(this);
            answerIfReady();
        }
        void clientDisconnected() override { }

        void answerIfReady()
        {
            auto& records = m_store.m_topics[parameter("topic")];
            if (m_target.starts_with("/hornbeamgate/log-newest")) {
                answer(200, R"({"items":[],"has-more":false,"end-offset":0})");
                return;
            }
            if (!isRead()) {
                answer(503, {});
                return;
            }
            const std::size_t from = number("from");
            if (from >= records.size() && number("wait-timeout-ms") > 0)
                return;
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < records.size(); ++i) {
                const auto& [key, value] = records[i];
                body += bigEndian(1 + key.size() + value.size(), 4);
                body += bigEndian(key.size(), 1);
                body += key;
                body += value;
            }
            answer(200, body);
        }

    private:
        bool isRead() const { return m_target.starts_with("/hornbeamgate/log-read"); }
        void answer(int status, std::string_view body)
        {
            m_store.m_held.erase(this);
            m_connection.answer(status, {}, body);
        }
        std::string parameter(const std::string& name) const
        {
            auto at = m_target.find(name + '=');
            if (at == std::string::npos)
                return {};
            at += name.size() + 1;
            return m_target.substr(at, m_target.find('&', at) - at);
        }
        std::size_t number(const std::string& name) const
        {
            const auto text = parameter(name);
            std::size_t value = 0;
            std::from_chars(text.data(), text.data() + text.size(), value);
            return value;
        }
        static std::string bigEndian(std::uint64_t value, int size)
        {
            std::string bytes;
            for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
                bytes += static_cast<char>(value >> shift & 0xff);
            return bytes;
        }

        StoreStandIn& m_store;
        HttpServerConnection& m_connection;
        std::string m_target;
    };

    bool m_isSilent = false;
    std::map<std::string, std::vector<Record>> m_topics;
    std::map<std::string, int> m_reads;
    std::set<Call*> m_held;
    std::unique_ptr<HttpAcceptor> m_acceptor;
};

} // namespace hornbeamgate::gateway::testing
