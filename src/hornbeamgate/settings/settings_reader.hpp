#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// One fault in a settings file, named by its path such as `/callers/port`.
struct SettingsFault {
    std::string path;
    std::string detail;
};

/// Parses `ip:port`; the IP must be a number, never a name.
Result<SocketAddress, std::string> parseSocketAddress(std::string_view text);

/// Limits for a whole number in a settings file.
struct NumberRange {
    std::int64_t min = 0;
    std::int64_t max = INT64_MAX;
};

/// Reads typed values out of JSON with comments. Faults are collected, so that one run names all of them; keys that
/// nobody asked for are faults too.
class SettingsReader {
public:
    static Result<SettingsReader, SettingsFault> create(std::string_view text);
    ~SettingsReader();
    SettingsReader(SettingsReader&&) noexcept;
    SettingsReader& operator=(SettingsReader&&) = delete;
    SettingsReader(const SettingsReader&) = delete;
    SettingsReader& operator=(const SettingsReader&) = delete;

    /// Enters the object at `key`; reads until the matching `leave` are relative to it.
    void enter(std::string_view key);
    void leave();

    bool has(std::string_view key) const;
    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);
    /// One of `choices`; anything else is a fault and gives the first choice.
    std::string choice(std::string_view key, const std::vector<std::string>& choices);
    bool flag(std::string_view key, bool fallback);
    std::int64_t number(std::string_view key, NumberRange range, std::int64_t fallback);
    /// Number from 0 to 1.
    double fraction(std::string_view key, double fallback);
    Duration milliseconds(std::string_view key, NumberRange range, std::chrono::milliseconds fallback);
    SocketAddress address(std::string_view key);
    std::vector<std::string> texts(std::string_view key);

    void addFault(std::string_view key, std::string detail);

    /// Paths of all keys that were asked for, sorted; what a settings file may hold.
    std::vector<std::string> knownKeys() const;

    /// All faults found so far, with the unread keys of every object that was entered.
    std::vector<SettingsFault> finish();

private:
    struct State;
    explicit SettingsReader(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
