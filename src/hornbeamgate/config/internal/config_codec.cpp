#include "hornbeamgate/config/internal/config_codec.hpp"

#include "hornbeamgate/config/rule_line.hpp"

namespace hornbeamgate::internal {

nlohmann::json encodeDelta(const RuleDelta& delta)
{
    return nlohmann::json::array({ delta.put, delta.removed });
}

RuleDelta decodeDelta(CborReader& reader)
{
    CborReader fields(reader.array(2));
    RuleDelta delta;
    delta.put = fields.texts(kMaxDocumentLines, kMaxRuleLineBytes);
    delta.removed = fields.texts(kMaxDocumentLines, kMaxRuleLineBytes);
    if (!fields.isComplete())
        reader.fail();
    return delta;
}

nlohmann::json encodeChange(const AcceptedChange& change)
{
    return nlohmann::json::array({ change.version.value(), change.id.value(), change.author });
}

AcceptedChange decodeChange(CborReader& reader)
{
    CborReader fields(reader.array(3));
    AcceptedChange change;
    change.version = ConfigVersion(fields.number());
    change.id = ProposalId(fields.text(kMaxProposalIdBytes));
    change.author = fields.text(kMaxAuthorBytes);
    if (!fields.isComplete())
        reader.fail();
    return change;
}

nlohmann::json encodeConfig(const AcceptedConfig& config)
{
    auto recent = nlohmann::json::array();
    for (const auto& change : config.recent)
        recent.push_back(encodeChange(change));
    return nlohmann::json::array({ config.version.value(), config.position.value(), config.digest, config.document.lines(), std::move(recent) });
}

AcceptedConfig decodeConfig(CborReader& reader)
{
    CborReader fields(reader.array(5));
    AcceptedConfig config;
    config.version = ConfigVersion(fields.number());
    config.position = LogOffset(fields.number());
    config.digest = fields.number();
    auto document = RuleDocument::fromLines(fields.texts(kMaxDocumentLines, kMaxRuleLineBytes));
    const auto& recent = fields.array(kMaxRecentChanges);
    CborReader changes(recent);
    while (changes.ok() && config.recent.size() < recent.size())
        config.recent.push_back(decodeChange(changes));
    const bool isValid = document && changes.isComplete() && fields.isComplete() && document->digest(config.version) == config.digest;
    if (!isValid) {
        reader.fail();
        return {};
    }
    config.document = std::move(*document);
    return config;
}

} // namespace hornbeamgate::internal
