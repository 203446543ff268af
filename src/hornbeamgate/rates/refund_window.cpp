#include "hornbeamgate/rates/refund_window.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr Duration kSlotDuration = std::chrono::seconds(2);
    constexpr Duration kRefundRetention = std::chrono::seconds(120);
    constexpr std::size_t kMaxLoansPerSlot = 1024;

} // namespace

void RefundWindow::add(const LoanId& id, const HostId& borrower, double tokens, double currentHeadroom, MonotonicTime now)
{
    while (!m_slots.empty() && m_slots.front().expiresAt <= now)
        m_slots.pop_front();
    if (m_slots.empty() || m_slots.back().end <= now)
        m_slots.push_back({ now + kSlotDuration, now + kRefundRetention, currentHeadroom, {} });
    auto& slot = m_slots.back();
    if (slot.loans.size() < kMaxLoansPerSlot)
        slot.loans.emplace(id, EndedLoan { borrower, tokens });
}

void RefundWindow::observeHeadroom(double currentHeadroom)
{
    for (auto& slot : m_slots)
        slot.headroom = std::min(slot.headroom, currentHeadroom);
}

double RefundWindow::acceptRefund(const LoanId& id, const HostId& borrower, double returned)
{
    for (auto& slot : m_slots) {
        const auto found = slot.loans.find(id);
        if (found == slot.loans.end() || found->second.borrower != borrower)
            continue;
        const double accepted = std::max(0.0, std::min({ returned, found->second.tokens, slot.headroom }));
        slot.loans.erase(found);
        for (auto& other : m_slots)
            other.headroom -= accepted;
        return accepted;
    }
    return 0;
}

std::size_t RefundWindow::size() const
{
    std::size_t count = 0;
    for (const auto& slot : m_slots)
        count += slot.loans.size();
    return count;
}

} // namespace hornbeamgate
