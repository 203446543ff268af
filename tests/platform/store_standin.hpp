#pragma once

#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace hornbeamgate::gateway::testing {

/// Stand-in for the platform's store that can fall silent: calls that it holds or receives meanwhile are never answered.
///
/// It reads the records of `keyed.*` topics, holds reads until a record is appended, and rejects all other calls. A store
/// with an era states it in all answers, lists its records, takes appends and can come back from an older copy.
class StoreStandIn {
public:
    explicit StoreStandIn(std::optional<std::uint64_t> era = std::nullopt)
        : m_era(era)
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
        answerHeldCalls();
    }

    /// Comes back from a copy that was made when each topic in `ends` had at most that many records.
    void returnFromCopy(const std::map<std::string, std::size_t>& ends)
    {
        for (const auto& [topic, end] : ends) {
            auto& records = m_topics[topic];
            records.resize(std::min(end, records.size()));
        }
        m_era = m_era.value() + 1;
        answerHeldCalls();
    }

    /// Returns the newest value of a key, empty if it was removed, or nothing if the store has no record of it.
    std::optional<std::string> newest(const std::string& topic, const std::string& key)
    {
        std::optional<std::string> value;
        for (const auto& record : m_topics[topic]) {
            if (record.key == key)
                value = record.value;
        }
        return value;
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

    /// Returns whether a read of `topic` waits for a record.
    bool isReadHeld(const std::string& topic) const
    {
        return std::any_of(m_held.begin(), m_held.end(), [&topic](const auto* call) { return call->topic() == topic; });
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
            , m_body(std::move(message.body))
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

        std::string topic() const { return parameter("topic"); }

        void answerIfReady()
        {
            auto& records = m_store.m_topics[parameter("topic")];
            if (m_target.starts_with("/hornbeamgate/log-newest")) {
                answer(200, m_store.m_era ? listing(records) : R"({"items":[],"has-more":false,"end-offset":0})");
                return;
            }
            if (m_store.m_era && m_target.starts_with("/hornbeamgate/log-append")) {
                append(records);
                return;
            }
            if (!isRead()) {
                answer(503, {});
                return;
            }
            const std::size_t from = number("from");
            if (m_store.m_era && from > records.size()) {
                answer(410, R"({"first-offset":0})");
                return;
            }
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
            HttpFields fields;
            if (m_store.m_era)
                fields.add("Store-Era", std::to_string(*m_store.m_era));
            m_connection.answer(status, std::move(fields), body);
        }
        static std::string listing(const std::vector<Record>& records)
        {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < records.size(); ++i)
                newest[records[i].key] = i;
            std::string items;
            for (const auto& [key, offset] : newest) {
                const auto& value = records[offset].value;
                gchar* encoded = g_base64_encode(reinterpret_cast<const guchar*>(value.data()), value.size());
                items += (items.empty() ? "" : ",") + (R"({"key":")" + key) + R"(","value":")" + encoded + R"(","offset":)" + std::to_string(offset) + '}';
                g_free(encoded);
            }
            return R"({"items":[)" + items + R"(],"has-more":false,"end-offset":)" + std::to_string(records.size()) + '}';
        }
        /// Appends the single keyed record in the body.
        void append(std::vector<Record>& records)
        {
            if (!parameter("at").empty() && number("at") != records.size()) {
                answer(412, R"({"end-offset":)" + std::to_string(records.size()) + '}');
                return;
            }
            constexpr std::size_t kKeyAt = 5;
            const std::size_t keySize = static_cast<unsigned char>(m_body.at(kKeyAt - 1));
            records.push_back({ m_body.substr(kKeyAt, keySize), m_body.substr(kKeyAt + keySize) });
            auto& store = m_store;
            answer(200, R"({"offset":)" + std::to_string(records.size() - 1) + R"(,"end-offset":)" + std::to_string(records.size()) + '}');
            store.answerHeldCalls();
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
        std::string m_body;
    };

    void answerHeldCalls()
    {
        const auto held = m_held;
        for (auto* call : held) {
            if (m_held.contains(call))
                call->answerIfReady();
        }
    }

    std::optional<std::uint64_t> m_era;
    bool m_isSilent = false;
    std::map<std::string, std::vector<Record>> m_topics;
    std::map<std::string, int> m_reads;
    std::set<Call*> m_held;
    std::unique_ptr<HttpAcceptor> m_acceptor;
};

} // namespace hornbeamgate::gateway::testing
