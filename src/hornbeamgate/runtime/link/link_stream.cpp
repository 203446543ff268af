#include "hornbeamgate/runtime/link/link_stream.hpp"

#include "hornbeamgate/runtime/link/link_connection.hpp"

namespace hornbeamgate {

LinkStream::LinkStream(LinkConnection& connection, LinkStreamId id)
    : m_connection(&connection)
    , m_id(id)
{
}

LinkStream::~LinkStream()
{
    if (m_connection)
        m_connection->release(*this);
}

void LinkStream::send(BytesView message)
{
    if (!m_connection || m_finishing)
        return;
    if (m_id == 0)
        m_pending.emplace_back(message.begin(), message.end());
    else
        m_connection->session().sendMessage(m_id, message);
}

void LinkStream::finish()
{
    m_finishing = true;
    if (m_connection && m_id != 0)
        m_connection->session().finishStream(m_id);
}

void LinkStream::consume(std::size_t bytes)
{
    if (m_connection && m_id != 0)
        m_connection->session().consume(m_id, bytes);
}

std::size_t LinkStream::unsentBytes() const
{
    if (!m_connection || m_id == 0)
        return 0;
    return m_connection->session().unsentBytes(m_id);
}

void LinkStream::notifyWhenDrained()
{
    if (m_connection && m_id != 0)
        m_connection->session().notifyWhenDrained(m_id);
}

std::string LinkStream::peer() const
{
    return m_connection && m_id != 0 ? m_connection->session().peer() : std::string();
}

} // namespace hornbeamgate
