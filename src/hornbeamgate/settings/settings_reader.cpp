#include "hornbeamgate/settings/settings_reader.hpp"

#include "hornbeamgate/base/json_document.hpp"

#include <nlohmann/json.hpp>

#include <gio/gio.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    const json kEmptyObject = json::object();

    struct Scope {
        const json* object;
        std::string path;
        std::set<std::string, std::less<>> read;
    };

} // namespace

struct SettingsReader::State {
    json root;
    std::vector<Scope> scopes;
    std::vector<SettingsFault> faults;
    std::set<std::string> knownKeys;

    Scope& scope() { return scopes.back(); }

    void recordKnownKey(std::string_view key) { knownKeys.insert(scope().path + '/' + std::string(key)); }

    const json* find(std::string_view key)
    {
        recordKnownKey(key);
        scope().read.emplace(key);
        const auto found = scope().object->find(key);
        return found == scope().object->end() ? nullptr : &*found;
    }

    void addFault(std::string_view key, std::string detail)
    {
        faults.push_back({ scope().path + '/' + std::string(key), std::move(detail) });
    }

    void reportUnknownKeys(const Scope& closed)
    {
        for (const auto& [key, value] : closed.object->items()) {
            if (!closed.read.contains(key))
                faults.push_back({ closed.path + '/' + key, "unknown key" });
        }
    }
};

Result<SocketAddress, std::string> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(std::string("must have the form ip:port"));
    SocketAddress address;
    address.ip = std::string(text.substr(0, colon));
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size())
        return failure(std::string("port must be a number from 0 to 65535"));
    GInetAddress* parsed = g_inet_address_new_from_string(address.ip.c_str());
    if (!parsed)
        return failure(std::string("host must be a numeric IP address, not a host name"));
    g_object_unref(parsed);
    return address;
}

Result<SettingsReader, SettingsFault> SettingsReader::create(std::string_view text)
{
    auto document = parseJson(text, JsonComments::Ignored);
    if (!document)
        return failure(SettingsFault { "/", document.error().detail });
    auto state = std::make_unique<State>();
    state->root = std::move(*document);
    if (!state->root.is_object())
        return failure(SettingsFault { "/", "must be a JSON object" });
    state->scopes.push_back({ &state->root, "", {} });
    return SettingsReader(std::move(state));
}

SettingsReader::SettingsReader(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

SettingsReader::~SettingsReader() = default;
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;

void SettingsReader::enter(std::string_view key)
{
    const json* value = m_state->find(key);
    if (value && !value->is_object()) {
        m_state->addFault(key, "must be an object");
        value = nullptr;
    }
    auto path = m_state->scope().path + '/' + std::string(key);
    m_state->scopes.push_back({ value ? value : &kEmptyObject, std::move(path), {} });
}

void SettingsReader::leave()
{
    m_state->reportUnknownKeys(m_state->scope());
    m_state->scopes.pop_back();
}

bool SettingsReader::has(std::string_view key) const
{
    m_state->recordKnownKey(key);
    return m_state->scope().object->contains(key);
}

std::string SettingsReader::text(std::string_view key)
{
    const json* value = m_state->find(key);
    if (!value) {
        m_state->addFault(key, "is missing");
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        m_state->addFault(key, "must be a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string SettingsReader::text(std::string_view key, std::string_view fallback)
{
    return has(key) ? text(key) : std::string(fallback);
}

std::string SettingsReader::choice(std::string_view key, const std::vector<std::string>& choices)
{
    auto value = text(key);
    if (std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    std::string listed;
    for (const auto& option : choices)
        listed += (listed.empty() ? "" : ", ") + option;
    if (!value.empty())
        m_state->addFault(key, "must be one of: " + listed);
    return choices.front();
}

bool SettingsReader::flag(std::string_view key, bool fallback)
{
    const json* value = m_state->find(key);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        m_state->addFault(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::int64_t SettingsReader::number(std::string_view key, NumberRange range, std::int64_t fallback)
{
    const json* value = m_state->find(key);
    if (!value)
        return fallback;
    if (!value->is_number_integer() || value->get<std::int64_t>() < range.min || value->get<std::int64_t>() > range.max) {
        m_state->addFault(key, "must be an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max));
        return fallback;
    }
    return value->get<std::int64_t>();
}

double SettingsReader::fraction(std::string_view key, double fallback)
{
    const auto* value = m_state->find(key);
    if (!value)
        return fallback;
    if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > 1) {
        m_state->addFault(key, "must be a number from 0 to 1");
        return fallback;
    }
    return value->get<double>();
}

Duration SettingsReader::milliseconds(std::string_view key, NumberRange range, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(number(key, range, fallback.count()));
}

SocketAddress SettingsReader::address(std::string_view key)
{
    const auto value = text(key);
    if (value.empty())
        return {};
    auto parsed = parseSocketAddress(value);
    if (!parsed) {
        m_state->addFault(key, parsed.error());
        return {};
    }
    return *parsed;
}

std::vector<std::string> SettingsReader::texts(std::string_view key)
{
    const json* value = m_state->find(key);
    if (!value)
        return {};
    const auto isText = [](const json& item) { return item.is_string(); };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isText)) {
        m_state->addFault(key, "must be an array of strings");
        return {};
    }
    return value->get<std::vector<std::string>>();
}

void SettingsReader::addFault(std::string_view key, std::string detail)
{
    m_state->addFault(key, std::move(detail));
}

std::vector<std::string> SettingsReader::knownKeys() const
{
    return { m_state->knownKeys.begin(), m_state->knownKeys.end() };
}

std::vector<SettingsFault> SettingsReader::finish()
{
    m_state->reportUnknownKeys(m_state->scopes.front());
    return std::move(m_state->faults);
}

} // namespace hornbeamgate
