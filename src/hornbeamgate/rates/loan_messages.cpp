#include "hornbeamgate/rates/loan_messages.hpp"

#include "hornbeamgate/rates/internal/field_reader.hpp"

#include <limits>

namespace hornbeamgate {

namespace {

    using internal::FieldReader;
    using nlohmann::json;

    constexpr std::uint64_t kMaxUnits = 1'000'000'000'000;
    constexpr std::uint64_t kMaxMilliseconds = 86'400'000;
    constexpr std::uint64_t kMaxShareIndex = 255;
    constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();

    enum class MessageKind : std::uint8_t { Request,
        Reply,
        Closures,
        ShardHomesRequest,
        ShardHomesReply };
    constexpr std::uint64_t kLastMessageKind = 4;
    constexpr std::uint64_t kMaxShardNumber = 65'535;
    constexpr std::size_t kMaxHomes = 65'536;

    std::uint64_t toUnsigned(std::int64_t units)
    {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(units, 0));
    }

    std::uint64_t toUnsigned(std::chrono::milliseconds span)
    {
        return std::min(toUnsigned(std::int64_t { span.count() }), kMaxMilliseconds);
    }

    void append(json& array, const Amounts& amounts)
    {
        array.push_back(toUnsigned(amounts.requests));
        array.push_back(toUnsigned(amounts.tokens));
    }

    void append(json& array, const LoanId& id)
    {
        array.push_back(id.lender.value());
        array.push_back(id.number);
    }

    json toJson(const std::vector<LoanClosure>& closures)
    {
        json array = json::array();
        for (const auto& closure : closures) {
            json item = json::array();
            append(item, closure.id);
            item.push_back(closure.workspace.value());
            item.push_back(closure.share);
            append(item, closure.returned);
            item.push_back(toUnsigned(closure.unsettledTokens));
            array.push_back(std::move(item));
        }
        return array;
    }

    json toJson(const LoanRequest& request)
    {
        json array { MessageKind::Request, request.borrower.value(), request.sequence, request.workspace.value(),
            request.share, request.purpose };
        append(array, request.minimum);
        append(array, request.wanted);
        array.push_back(toJson(request.closures));
        return array;
    }

    json toJson(const LoanReply& reply)
    {
        json array { MessageKind::Reply, reply.sequence, reply.status };
        append(array, reply.id);
        append(array, reply.amount);
        array.push_back(toUnsigned(reply.lifetime));
        array.push_back(toUnsigned(reply.retryAfter));
        return array;
    }

    json toJson(const LoanClosures& message)
    {
        return { MessageKind::Closures, message.borrower.value(), toJson(message.closures) };
    }

    json toJson(const ShardHomesRequest& request)
    {
        return json::array({ MessageKind::ShardHomesRequest, request.from.value() });
    }

    json toJson(const ShardHomesReply& reply)
    {
        json array = json::array({ MessageKind::ShardHomesReply });
        for (const auto& home : reply.homes)
            array.push_back({ home.shard.region.value(), home.shard.number, home.host.value() });
        return array;
    }

    Amounts readAmounts(FieldReader& reader)
    {
        const auto requests = static_cast<std::int64_t>(reader.number(kMaxUnits));
        const auto tokens = static_cast<std::int64_t>(reader.number(kMaxUnits));
        return { requests, tokens };
    }

    LoanId readLoanId(FieldReader& reader)
    {
        const Incarnation lender(reader.number(kMaxNumber));
        return { lender, reader.number(kMaxNumber) };
    }

    std::chrono::milliseconds readSpan(FieldReader& reader)
    {
        return std::chrono::milliseconds(reader.number(kMaxMilliseconds));
    }

    bool readClosures(FieldReader& reader, std::vector<LoanClosure>& closures)
    {
        for (const auto& item : reader.array(kMaxLoanClosures)) {
            FieldReader fields(item);
            LoanClosure closure;
            closure.id = readLoanId(fields);
            closure.workspace = WorkspaceId(fields.name());
            closure.share = static_cast<std::uint32_t>(fields.number(kMaxShareIndex));
            closure.returned = readAmounts(fields);
            closure.unsettledTokens = static_cast<std::int64_t>(fields.number(kMaxUnits));
            if (!fields.finished())
                return false;
            closures.push_back(std::move(closure));
        }
        return reader.finished();
    }

    std::optional<LoanMessage> readRequest(FieldReader& reader)
    {
        LoanRequest request;
        request.borrower = HostId(reader.name());
        request.sequence = reader.number(kMaxNumber);
        request.workspace = WorkspaceId(reader.name());
        request.share = static_cast<std::uint32_t>(reader.number(kMaxShareIndex));
        request.purpose = static_cast<LoanPurpose>(reader.number(static_cast<std::uint64_t>(LoanPurpose::Transfer)));
        request.minimum = readAmounts(reader);
        request.wanted = readAmounts(reader);
        if (!readClosures(reader, request.closures) || !request.wanted.covers(request.minimum))
            return std::nullopt;
        return request;
    }

    std::optional<LoanMessage> readReply(FieldReader& reader)
    {
        LoanReply reply;
        reply.sequence = reader.number(kMaxNumber);
        reply.status = static_cast<LoanStatus>(reader.number(static_cast<std::uint64_t>(LoanStatus::NotHome)));
        reply.id = readLoanId(reader);
        reply.amount = readAmounts(reader);
        reply.lifetime = readSpan(reader);
        reply.retryAfter = readSpan(reader);
        if (!reader.finished())
            return std::nullopt;
        return reply;
    }

    std::optional<LoanMessage> readClosuresMessage(FieldReader& reader)
    {
        LoanClosures message;
        message.borrower = HostId(reader.name());
        if (!readClosures(reader, message.closures))
            return std::nullopt;
        return message;
    }

    std::optional<LoanMessage> readHomesRequest(FieldReader& reader)
    {
        ShardHomesRequest request { HostId(reader.name()) };
        if (!reader.finished())
            return std::nullopt;
        return request;
    }

    std::optional<LoanMessage> readHomesReply(FieldReader& reader)
    {
        ShardHomesReply reply;
        while (reader.ok() && !reader.finished() && reply.homes.size() < kMaxHomes) {
            FieldReader fields(reader.array(3));
            ShardHome home;
            home.shard.region = RegionId(fields.name());
            home.shard.number = static_cast<std::uint32_t>(fields.number(kMaxShardNumber));
            home.host = HostId(fields.name());
            if (!fields.finished())
                return std::nullopt;
            reply.homes.push_back(std::move(home));
        }
        if (!reader.finished())
            return std::nullopt;
        return reply;
    }

    std::optional<LoanMessage> readMessage(FieldReader& reader)
    {
        const auto kind = static_cast<MessageKind>(reader.number(kLastMessageKind));
        if (!reader.ok())
            return std::nullopt;
        if (kind == MessageKind::Request)
            return readRequest(reader);
        if (kind == MessageKind::Reply)
            return readReply(reader);
        if (kind == MessageKind::ShardHomesRequest)
            return readHomesRequest(reader);
        if (kind == MessageKind::ShardHomesReply)
            return readHomesReply(reader);
        return readClosuresMessage(reader);
    }

} // namespace

Bytes encodeLoanMessage(const LoanMessage& message)
{
    return toCbor(std::visit([](const auto& alternative) { return toJson(alternative); }, message));
}

Result<LoanMessage, CodecError> decodeLoanMessage(BytesView bytes)
{
    const auto value = fromCbor(bytes);
    if (!value)
        return failure(value.error());
    FieldReader reader(*value);
    auto message = readMessage(reader);
    if (!message)
        return failure(CodecError { "invalid message of the budget protocol" });
    return *std::move(message);
}

} // namespace hornbeamgate
