#include "shallotrelay/idempotency/keyledger.h"

namespace shallotrelay
{

KeyLedger::KeyLedger(Duration retention, std::size_t maxResponseBytes)
    : m_retention(retention)
    , m_maxResponseBytes(maxResponseBytes)
{
}

KeyDecision KeyLedger::begin(const std::string &key, const std::string &fingerprint, bool toOwner, TimePoint now)
{
    evictExpired(now);
    const auto it = m_records.find(key);
    if (it == m_records.end() && toOwner) {
        // This node holds the claim, but the record of its outcome was evicted or lost in a restart.
        return {KeyStep::Unknown, nullptr, {}};
    }
    if (it == m_records.end()) {
        m_records[key] = {State::Claiming, false, fingerprint, nullptr, now};
        m_keysByAge.push_back(key);
        return {KeyStep::Claim, nullptr, {}};
    }
    Record &record = it->second;
    if (record.fingerprint != fingerprint) {
        return {KeyStep::Mismatch, nullptr, {}};
    }
    switch (record.state) {
    case State::Claiming:
    case State::Running:
        return {KeyStep::Wait, nullptr, {}};
    case State::Reclaimable:
        record.state = State::Claiming;
        record.reclaiming = true;
        return {KeyStep::Claim, nullptr, {}};
    case State::Done:
        return {record.answer ? KeyStep::Replay : KeyStep::Unknown, record.answer, {}};
    case State::Lost:
        break;
    }
    return {KeyStep::Unknown, nullptr, {}};
}

KeyDecision KeyLedger::completeClaim(const std::string &key, const ClaimAnswer *response, const ClaimOwner &self)
{
    const auto it = m_records.find(key);
    if (it == m_records.end() || it->second.state != State::Claiming) {
        return {KeyStep::Unknown, nullptr, {}};
    }
    Record &record = it->second;
    if (response == nullptr || response->failed) {
        record.state = State::Reclaimable;
        return {KeyStep::Unavailable, nullptr, {}};
    }
    const ClaimOwner owner{response->ownerAddress, response->ownerTarget, response->incarnation};
    if (response->granted || (owner == self && record.reclaiming)) {
        record.state = State::Running;
        return {KeyStep::Run, nullptr, {}};
    }
    if (owner.address != self.address) {
        m_records.erase(it);
        return {KeyStep::Redirect, nullptr, owner};
    }
    // An earlier incarnation of this node holds the claim, or the record was evicted.
    record.state = State::Lost;
    return {KeyStep::Unknown, nullptr, {}};
}

void KeyLedger::ran(const std::string &key, RunOutcome outcome, std::shared_ptr<const CachedResponse> response)
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        return;
    }
    Record &record = it->second;
    if (outcome == RunOutcome::NotRun) {
        record.state = State::Reclaimable;
        return;
    }
    record.state = outcome == RunOutcome::Completed ? State::Done : State::Lost;
    if (outcome == RunOutcome::Completed) {
        record.answer = std::move(response);
        m_responseBytes += record.answer->body.size();
        m_responsesByAge.push_back(key);
        evictResponses();
    }
}

std::size_t KeyLedger::size() const
{
    return m_records.size();
}

void KeyLedger::evictExpired(TimePoint now)
{
    while (!m_keysByAge.empty()) {
        const auto it = m_records.find(m_keysByAge.front());
        if (it != m_records.end()) {
            const bool inProgress = it->second.state == State::Claiming || it->second.state == State::Running;
            if (inProgress || now - it->second.createdAt < m_retention) {
                return;
            }
            m_responseBytes -= it->second.answer ? it->second.answer->body.size() : 0;
            m_records.erase(it);
        }
        m_keysByAge.pop_front();
    }
}

/// Evicts the oldest cached responses until the rest is within the limit; the records of their keys stay.
void KeyLedger::evictResponses()
{
    while (m_responseBytes > m_maxResponseBytes && m_responsesByAge.size() > 1) {
        const auto it = m_records.find(m_responsesByAge.front());
        m_responsesByAge.pop_front();
        if (it != m_records.end() && it->second.answer) {
            m_responseBytes -= it->second.answer->body.size();
            it->second.answer.reset();
        }
    }
}

}
