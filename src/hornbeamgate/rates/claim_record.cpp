#include "hornbeamgate/rates/claim_record.hpp"

#include "hornbeamgate/rates/internal/field_reader.hpp"

#include <limits>

namespace hornbeamgate {

namespace {

    using internal::FieldReader;
    using nlohmann::json;

    constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t kMaxLifetimeSeconds = 86'400;
    constexpr std::uint64_t kMaxShardNumber = 65'535;
    constexpr std::uint64_t kMaxShareIndex = 255;
    constexpr std::uint64_t kMaxUnits = 1'000'000'000'000;
    constexpr std::size_t kMaxShards = 65'536;
    constexpr std::size_t kMaxAccounts = 65'536;

    std::uint64_t toUnsigned(std::int64_t units)
    {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(units, 0));
    }

    Amounts readAmounts(FieldReader& reader)
    {
        const auto requests = static_cast<std::int64_t>(reader.number(kMaxUnits));
        return { requests, static_cast<std::int64_t>(reader.number(kMaxUnits)) };
    }

    bool readShards(FieldReader& reader, std::vector<std::uint32_t>& shards)
    {
        const auto& numbers = reader.array(kMaxShards);
        FieldReader fields(numbers);
        for (std::size_t i = 0; i < numbers.size(); ++i)
            shards.push_back(static_cast<std::uint32_t>(fields.number(kMaxShardNumber)));
        return fields.finished();
    }

    bool readAccounts(FieldReader& reader, std::vector<ReleasedAccount>& accounts)
    {
        for (const auto& item : reader.array(kMaxAccounts)) {
            FieldReader fields(item);
            ReleasedAccount account;
            account.workspace = WorkspaceId(fields.name());
            account.share = static_cast<std::uint32_t>(fields.number(kMaxShareIndex));
            account.level = readAmounts(fields);
            account.lent = readAmounts(fields);
            if (!fields.finished())
                return false;
            accounts.push_back(std::move(account));
        }
        return reader.finished();
    }

} // namespace

Bytes encodeClaimRecord(const ClaimRecord& record)
{
    json accounts = json::array();
    for (const auto& account : record.accounts) {
        accounts.push_back({ account.workspace.value(), account.share, toUnsigned(account.level.requests),
            toUnsigned(account.level.tokens), toUnsigned(account.lent.requests), toUnsigned(account.lent.tokens) });
    }
    const auto lifetime = toUnsigned(std::int64_t { record.lifetime.count() });
    const json array { record.holder.host.value(), record.holder.address, record.holder.incarnation.value(),
        record.sequence, record.region.value(), record.kind, record.readTo.value(), lifetime, record.shards,
        std::move(accounts) };
    return toCbor(array);
}

Result<ClaimRecord, CodecError> decodeClaimRecord(BytesView bytes)
{
    const auto value = fromCbor(bytes);
    if (!value)
        return failure(value.error());
    FieldReader reader(*value);
    ClaimRecord record;
    record.holder.host = HostId(reader.name());
    record.holder.address = reader.name();
    record.holder.incarnation = Incarnation(reader.number(kMaxNumber));
    record.sequence = reader.number(kMaxNumber);
    record.region = RegionId(reader.name());
    record.kind = static_cast<ClaimKind>(reader.number(static_cast<std::uint64_t>(ClaimKind::Release)));
    record.readTo = LogOffset(reader.number(kMaxNumber));
    record.lifetime = std::chrono::seconds(reader.number(kMaxLifetimeSeconds));
    if (!readShards(reader, record.shards) || !readAccounts(reader, record.accounts))
        return failure(CodecError { "invalid claim record" });
    return record;
}

} // namespace hornbeamgate
