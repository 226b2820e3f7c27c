#include "shallotrelay/containment/requestfingerprinter.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace shallotrelay
{
namespace
{

class Hash
{
public:
    Hash()
    {
        crypto_generichash_init(&m_state, nullptr, 0, HashBytes);
    }

    /// Adds a text prefixed with its length, so that different lists of texts never give the same bytes.
    void addText(std::string_view text)
    {
        const std::uint64_t size = text.size();
        addBytes(&size, sizeof size);
        addBytes(text.data(), text.size());
    }

    void addBytes(const void *data, std::size_t size)
    {
        crypto_generichash_update(&m_state, static_cast<const unsigned char *>(data), size);
    }

    /// Returns the hash of the data added so far, truncated to 64 bits.
    std::uint64_t value() const
    {
        crypto_generichash_state copy = m_state;
        std::array<unsigned char, HashBytes> bytes{};
        crypto_generichash_final(&copy, bytes.data(), bytes.size());
        std::uint64_t out = 0;
        std::memcpy(&out, bytes.data(), sizeof out);
        return out;
    }

private:
    static constexpr std::size_t HashBytes = crypto_generichash_BYTES_MIN;

    crypto_generichash_state m_state{};
};

}

struct RequestFingerprinter::Body {
    Hash hash;
    std::size_t bytes = 0;
};

std::uint64_t fingerprintOfHead(const RequestHead &head)
{
    Hash hash;
    hash.addText(head.method);
    hash.addText(head.path);
    return hash.value();
}

RequestFingerprinter::RequestFingerprinter(const RequestHead &head)
    : m_head(fingerprintOfHead(head))
    , m_callerService(head.callerService)
{
}

RequestFingerprinter::~RequestFingerprinter() = default;

void RequestFingerprinter::addBody(std::string_view part)
{
    if (!m_body) {
        m_body = std::make_unique<Body>();
        m_body->hash.addBytes(&m_head, sizeof m_head);
    }
    const std::size_t size = std::min(part.size(), FingerprintedBodyBytes - m_body->bytes);
    m_body->hash.addBytes(part.data(), size);
    m_body->bytes += size;
}

RequestPrint RequestFingerprinter::fingerprint() const
{
    RequestPrint out;
    out.head = m_head;
    out.whole = m_body && m_body->bytes > 0 ? m_body->hash.value() : m_head;
    Hash byCaller;
    byCaller.addBytes(&out.whole, sizeof out.whole);
    byCaller.addText(m_callerService);
    out.byCaller = byCaller.value();
    return out;
}

std::string toString(const RequestPrint &fingerprint)
{
    return fmt::format("{:016x}", fingerprint.whole);
}

}
