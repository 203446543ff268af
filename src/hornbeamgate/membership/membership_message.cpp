#include "hornbeamgate/membership/membership_message.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint64_t kFormatVersion = 1;
    constexpr std::size_t kMaxNameLength = 255;
    constexpr std::size_t kHeaderFieldCount = 10;
    constexpr std::size_t kShortUpdateFieldCount = 6;
    constexpr std::size_t kFullUpdateFieldCount = 10;
    constexpr std::size_t kNumericFieldsBound = 24; // bound for the encoded numbers and length prefixes of an update
    constexpr std::uint64_t kJoining = 1;
    constexpr std::uint64_t kBusy = 2;
    constexpr std::uint64_t kHeardRecently = 4;

    CodecError malformed(const char* what)
    {
        return CodecError { std::string("membership message: ") + what };
    }

    Json encode(const MemberUpdate& update)
    {
        const auto& status = update.status;
        auto json = Json::array({ update.host.value(), status.incarnation.value(), status.revision,
            static_cast<std::uint8_t>(status.state), status.loadRevision, status.load });
        if (update.identity) {
            json.push_back(update.identity->address);
            json.push_back(static_cast<std::uint8_t>(update.identity->role));
            json.push_back(update.identity->dataCenter.value());
            json.push_back(update.identity->endpoint.value());
        }
        return json;
    }

    bool isNumber(const Json& json, std::uint64_t max)
    {
        return json.is_number_unsigned() && json.get<std::uint64_t>() <= max;
    }

    bool isNumber(const Json& json)
    {
        return json.is_number_unsigned();
    }

    bool isName(const Json& json)
    {
        return json.is_string() && json.get_ref<const std::string&>().size() <= kMaxNameLength;
    }

    bool isUpdate(const Json& json)
    {
        if (!json.is_array() || (json.size() != kShortUpdateFieldCount && json.size() != kFullUpdateFieldCount))
            return false;
        const bool status = isName(json[0]) && !json[0].get_ref<const std::string&>().empty() && isNumber(json[1])
            && isNumber(json[2]) && isNumber(json[3], static_cast<std::uint64_t>(MemberState::Dead))
            && isNumber(json[4]) && isNumber(json[5], 255);
        if (!status || json.size() == kShortUpdateFieldCount)
            return status;
        return isName(json[6]) && isNumber(json[7], static_cast<std::uint64_t>(MemberRole::Agent)) && isName(json[8])
            && isName(json[9]);
    }

    MemberUpdate decodeUpdate(const Json& json)
    {
        MemberUpdate update;
        update.host = HostId(json[0].get<std::string>());
        update.status.incarnation = Incarnation(json[1].get<std::uint64_t>());
        update.status.revision = json[2].get<std::uint64_t>();
        update.status.state = static_cast<MemberState>(json[3].get<std::uint8_t>());
        update.status.loadRevision = json[4].get<std::uint64_t>();
        update.status.load = json[5].get<std::uint8_t>();
        if (json.size() == kFullUpdateFieldCount) {
            update.identity = MemberIdentity { json[6].get<std::string>(),
                static_cast<MemberRole>(json[7].get<std::uint8_t>()), DataCenterId(json[8].get<std::string>()),
                EndpointId(json[9].get<std::string>()) };
        }
        return update;
    }

    bool isHeartbeat(const Json& json)
    {
        return json.is_array() && json.size() == 2 && isName(json[0]) && isNumber(json[1]);
    }

    bool isHeader(const Json& json)
    {
        if (!json.is_array() || json.size() != kHeaderFieldCount)
            return false;
        return isNumber(json[0]) && isName(json[1]) && isNumber(json[2]) && isNumber(json[3]) && isNumber(json[4])
            && isNumber(json[5]) && isNumber(json[6]) && isName(json[7]) && json[8].is_array() && json[9].is_array();
    }

} // namespace

Bytes encodeMembershipMessage(const MembershipMessage& message)
{
    const std::uint64_t flags = (message.joining ? kJoining : 0) | (message.busy ? kBusy : 0)
        | (message.heardRecently ? kHeardRecently : 0) | (kFormatVersion << 8);
    Json updates = Json::array();
    for (const auto& update : message.updates)
        updates.push_back(encode(update));
    Json heartbeats = Json::array();
    for (const auto& heartbeat : message.heartbeats)
        heartbeats.push_back(Json::array({ heartbeat.dataCenter.value(), heartbeat.heartbeat }));
    return toCbor(Json::array({ flags, message.from.value(), message.incarnation.value(), message.stateHash,
        message.upToChange, message.acknowledged, message.acknowledgedIncarnation.value(), message.subject.value(),
        std::move(updates), std::move(heartbeats) }));
}

Result<MembershipMessage, CodecError> decodeMembershipMessage(BytesView bytes)
{
    if (bytes.size() > kMaxMembershipMessageBytes)
        return failure(malformed("exceeds the maximum size"));
    const auto decoded = fromCbor(bytes);
    if (!decoded)
        return failure(decoded.error());
    const auto& json = *decoded;
    if (!isHeader(json))
        return failure(malformed("invalid header"));
    const auto flags = json[0].get<std::uint64_t>();
    if (flags >> 8 != kFormatVersion)
        return failure(malformed("unsupported format version"));
    MembershipMessage message;
    message.joining = (flags & kJoining) != 0;
    message.busy = (flags & kBusy) != 0;
    message.heardRecently = (flags & kHeardRecently) != 0;
    message.from = HostId(json[1].get<std::string>());
    message.incarnation = Incarnation(json[2].get<std::uint64_t>());
    message.stateHash = json[3].get<std::uint64_t>();
    message.upToChange = json[4].get<std::uint64_t>();
    message.acknowledged = json[5].get<std::uint64_t>();
    message.acknowledgedIncarnation = Incarnation(json[6].get<std::uint64_t>());
    message.subject = HostId(json[7].get<std::string>());
    if (message.from.empty())
        return failure(malformed("empty sender"));
    for (const auto& update : json[8]) {
        if (!isUpdate(update))
            return failure(malformed("invalid member update"));
        message.updates.push_back(decodeUpdate(update));
    }
    for (const auto& heartbeat : json[9]) {
        if (!isHeartbeat(heartbeat))
            return failure(malformed("invalid data centre heartbeat"));
        message.heartbeats.push_back(
            { DataCenterId(heartbeat[0].get<std::string>()), heartbeat[1].get<std::uint64_t>() });
    }
    return message;
}

std::size_t encodedSizeBound(const MemberUpdate& update)
{
    const auto size = kNumericFieldsBound + update.host.value().size();
    if (!update.identity)
        return size;
    return size + update.identity->address.size() + update.identity->dataCenter.value().size()
        + update.identity->endpoint.value().size();
}

} // namespace hornbeamgate
