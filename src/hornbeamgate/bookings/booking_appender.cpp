#include "hornbeamgate/bookings/booking_appender.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kEntryOverheadBytes = 48; // estimated encoded size of an entry without a result

    std::size_t estimateEncodedSize(const BookingEntry& entry)
    {
        const auto* answered = std::get_if<ResultEntry>(&entry);
        if (answered == nullptr)
            return kEntryOverheadBytes;
        return kEntryOverheadBytes + answered->result.body.size() + answered->result.contentType.size();
    }

    AppendTicket ticketOf(const AppendEvent& event)
    {
        return std::visit([](const auto& outcome) { return outcome.ticket; }, event);
    }

} // namespace

BookingAppender::BookingAppender(BookingAppenderOptions options, std::string stream, WriterId writer)
    : m_options(options)
    , m_stream(std::move(stream))
    , m_writer(writer)
{
}

void BookingAppender::add(BookingEntry entry)
{
    m_queue.push_back(std::move(entry));
}

std::optional<AppendRecord> BookingAppender::poll(MonotonicTime now)
{
    if (m_pendingTicket || m_queue.empty() || now < m_nextAppendAt)
        return std::nullopt;
    std::size_t size = 0;
    while (!m_queue.empty()) {
        size += estimateEncodedSize(m_queue.front());
        if (size > m_options.maxRecordBytes && !m_inFlight.empty())
            break;
        m_inFlight.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_pendingTicket = m_nextTicket;
    m_nextTicket = m_nextTicket.next();
    m_nextAppendAt = now + m_options.minInterval;
    return AppendRecord { *m_pendingTicket, m_stream, encodeBookingRecord({ m_writer, m_inFlight }) };
}

std::vector<BookingEntry> BookingAppender::handle(const AppendEvent& event, MonotonicTime now)
{
    if (!m_pendingTicket || ticketOf(event) != *m_pendingTicket)
        return {};
    m_pendingTicket.reset();
    if (std::holds_alternative<AppendSucceeded>(event))
        return std::exchange(m_inFlight, {});
    requeueInFlight(now);
    return {};
}

void BookingAppender::removeQueued(const std::function<bool(const BookingEntry&)>& predicate)
{
    m_queue.erase(std::remove_if(m_queue.begin(), m_queue.end(), predicate), m_queue.end());
}

std::optional<MonotonicTime> BookingAppender::nextDeadline() const
{
    if (m_pendingTicket || m_queue.empty())
        return std::nullopt;
    return m_nextAppendAt;
}

void BookingAppender::requeueInFlight(MonotonicTime now)
{
    m_queue.insert(
        m_queue.begin(), std::make_move_iterator(m_inFlight.begin()), std::make_move_iterator(m_inFlight.end()));
    m_inFlight.clear();
    m_nextAppendAt = now + m_options.retryDelay;
}

} // namespace hornbeamgate
