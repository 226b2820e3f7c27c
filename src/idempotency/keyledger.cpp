#include "shallotrelay/idempotency/keyledger.h"

namespace shallotrelay
{

KeyLedger::KeyLedger(Duration retention, std::size_t maxAnswerBytes)
    : m_retention(retention)
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

KeyDecision KeyLedger::begin(const std::string &key, const std::string &fingerprint, bool toOwner, TimePoint now)
{
    forgetOld(now);
    const auto it = m_records.find(key);
    if (it == m_records.end() && toOwner) {
        // The claim is this node's, but what became of it is not known here any more.
        return {KeyStep::Unknown, nullptr, {}};
    }
    if (it == m_records.end()) {
        m_records[key] = {State::Claiming, false, fingerprint, nullptr, now};
        m_order.push_back(key);
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
    case State::MayHold:
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

KeyDecision KeyLedger::claimAnswered(const std::string &key, const ClaimAnswer *answer, const ClaimOwner &self)
{
    const auto it = m_records.find(key);
    if (it == m_records.end() || it->second.state != State::Claiming) {
        return {KeyStep::Unknown, nullptr, {}};
    }
    Record &record = it->second;
    if (answer == nullptr || answer->failed) {
        record.state = State::MayHold;
        return {KeyStep::Unavailable, nullptr, {}};
    }
    const ClaimOwner owner{answer->ownerAddress, answer->ownerTarget, answer->incarnation};
    if (answer->granted || (owner == self && record.reclaiming)) {
        record.state = State::Running;
        return {KeyStep::Run, nullptr, {}};
    }
    if (owner.address != self.address) {
        m_records.erase(it);
        return {KeyStep::Redirect, nullptr, owner};
    }
    // This node holds the claim since an earlier incarnation, or has forgotten its record.
    record.state = State::Lost;
    return {KeyStep::Unknown, nullptr, {}};
}

void KeyLedger::ran(const std::string &key, RunEnd end, std::shared_ptr<const KeptAnswer> answer)
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        return;
    }
    Record &record = it->second;
    if (end == RunEnd::NotRun) {
        record.state = State::MayHold;
        return;
    }
    record.state = end == RunEnd::Answered ? State::Done : State::Lost;
    if (end == RunEnd::Answered) {
        record.answer = std::move(answer);
        m_answerBytes += record.answer->body.size();
        m_answered.push_back(key);
        dropAnswers();
    }
}

std::size_t KeyLedger::size() const
{
    return m_records.size();
}

void KeyLedger::forgetOld(TimePoint now)
{
    while (!m_order.empty()) {
        const auto it = m_records.find(m_order.front());
        if (it != m_records.end()) {
            const bool inProgress = it->second.state == State::Claiming || it->second.state == State::Running;
            if (inProgress || now - it->second.made < m_retention) {
                return;
            }
            m_answerBytes -= it->second.answer ? it->second.answer->body.size() : 0;
            m_records.erase(it);
        }
        m_order.pop_front();
    }
}

/// Drops the oldest kept answers until the rest is within the bound; what is known of their keys stays.
void KeyLedger::dropAnswers()
{
    while (m_answerBytes > m_maxAnswerBytes && m_answered.size() > 1) {
        const auto it = m_records.find(m_answered.front());
        m_answered.pop_front();
        if (it != m_records.end() && it->second.answer) {
            m_answerBytes -= it->second.answer->body.size();
            it->second.answer.reset();
        }
    }
}

}
