/// Provides a body source that buffers the first parts of a body, so that they can be examined before it is relayed.
#pragma once

#include "net/exchange.h"
#include "shallotrelay/containment/requestfingerprinter.h"

#include <string>
#include <utility>
#include <vector>

namespace shallotrelay
{

/// A body source whose first parts can be read ahead.
class ReadAheadSource : public BodySource
{
public:
    explicit ReadAheadSource(BodySource &source)
        : m_source(source)
    {
    }

    /// Reads ahead until the body ends or the given number of bytes is buffered, and adds the data to the fingerprint.
    asio::awaitable<absl::Status> readAhead(std::size_t bytes, RequestFingerprinter *fingerprinter)
    {
        std::size_t buffered = 0;
        while (buffered < bytes && !m_source.atEnd()) {
            auto part = co_await m_source.read();
            if (!part.ok()) {
                co_return part.status();
            }
            if (part->empty()) {
                break;
            }
            buffered += part->size();
            fingerprinter->addBody(*part);
            m_held.push_back(*std::move(part));
        }
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_next < m_held.size()) {
            co_return std::move(m_held[m_next++]);
        }
        co_return co_await m_source.read();
    }

    bool atEnd() const override
    {
        return m_next >= m_held.size() && m_source.atEnd();
    }

private:
    BodySource &m_source;
    std::vector<std::string> m_held;
    std::size_t m_next = 0;
};

}
