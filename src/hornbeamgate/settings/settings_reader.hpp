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

/// Error in a settings file. `path` locates the setting, for example `/callers/port`.
struct SettingsFault {
    std::string path;
    std::string detail;
};

/// Parses `ip:port`. The host must be a numeric IP address; host names are rejected.
Result<SocketAddress, std::string> parseSocketAddress(std::string_view text);

/// Inclusive range of an integer in a settings file.
struct NumberRange {
    std::int64_t min = 0;
    std::int64_t max = INT64_MAX;
};

/// Reads typed values from JSON with comments. Faults are collected so that all of them are reported at once. Keys that
/// are never read are reported as faults, too.
class SettingsReader {
public:
    static Result<SettingsReader, SettingsFault> create(std::string_view text);
    ~SettingsReader();
    SettingsReader(SettingsReader&&) noexcept;
    SettingsReader& operator=(SettingsReader&&) = delete;
    SettingsReader(const SettingsReader&) = delete;
    SettingsReader& operator=(const SettingsReader&) = delete;

    /// Enters the object at `key`. Reads are relative to it until the matching call of leave().
    void enter(std::string_view key);
    void leave();

    bool has(std::string_view key) const;
    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);
    /// Reads one of `choices`. Any other value is a fault and yields the first choice.
    std::string choice(std::string_view key, const std::vector<std::string>& choices);
    bool flag(std::string_view key, bool fallback);
    std::int64_t number(std::string_view key, NumberRange range, std::int64_t fallback);
    /// Reads a number from 0 to 1.
    double fraction(std::string_view key, double fallback);
    Duration milliseconds(std::string_view key, NumberRange range, std::chrono::milliseconds fallback);
    SocketAddress address(std::string_view key);
    std::vector<std::string> texts(std::string_view key);

    void addFault(std::string_view key, std::string detail);

    /// Sorted paths of all keys that were queried, which are the keys that a settings file may contain.
    std::vector<std::string> knownKeys() const;

    /// Returns all faults, including the unknown keys of every object that was entered.
    std::vector<SettingsFault> finish();

private:
    struct State;
    explicit SettingsReader(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
