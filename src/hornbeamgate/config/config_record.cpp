#include "hornbeamgate/config/config_record.hpp"

#include "hornbeamgate/config/internal/config_codec.hpp"

namespace hornbeamgate {
namespace {

    using namespace internal;

    enum class RecordKind : std::uint64_t { Proposal = 1,
        Checkpoint = 2 };

    nlohmann::json encode(const ConfigProposal& proposal)
    {
        auto fields = nlohmann::json::array({ static_cast<std::uint64_t>(RecordKind::Proposal), proposal.id.value(), proposal.base.value(),
            proposal.author, encodeDelta(proposal.delta), proposal.digest });
        if (proposal.era > StoreEra())
            fields.push_back(proposal.era.value());
        return fields;
    }

    nlohmann::json encode(const ConfigCheckpoint& checkpoint)
    {
        return nlohmann::json::array({ static_cast<std::uint64_t>(RecordKind::Checkpoint), encodeConfig(checkpoint.config) });
    }

    ConfigRecord decodeProposal(CborReader& reader)
    {
        ConfigProposal proposal;
        proposal.id = ProposalId(reader.text(kMaxProposalIdBytes));
        proposal.base = ConfigVersion(reader.number());
        proposal.author = reader.text(kMaxAuthorBytes);
        proposal.delta = decodeDelta(reader);
        proposal.digest = reader.number();
        if (!reader.isComplete())
            proposal.era = storeEra(reader.number());
        return proposal;
    }

    ConfigRecord decodeByKind(CborReader& reader)
    {
        switch (static_cast<RecordKind>(reader.number())) {
        case RecordKind::Proposal:
            return decodeProposal(reader);
        case RecordKind::Checkpoint:
            return ConfigCheckpoint { decodeConfig(reader) };
        }
        reader.fail();
        return ConfigProposal {};
    }

} // namespace

Bytes encodeConfigRecord(const ConfigRecord& record)
{
    return toCbor(std::visit([](const auto& value) { return encode(value); }, record));
}

Result<ConfigRecord, CodecError> decodeConfigRecord(BytesView data)
{
    const auto item = fromCbor(data);
    if (!item)
        return failure(item.error());
    CborReader reader(*item);
    auto record = decodeByKind(reader);
    if (!reader.isComplete())
        return failure(CodecError { "malformed configuration record" });
    return record;
}

} // namespace hornbeamgate
