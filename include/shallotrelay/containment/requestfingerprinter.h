/// Computes the fingerprint of a request, which all attempts of it share whatever ids they carry.
///
/// Two attempts belong to the same request if method, path with query and body are equal; only the first part of a long
/// body counts. The same request from another service may have another outcome, so there is a second fingerprint that
/// includes the calling service. Fingerprints are truncated values of a cryptographic hash, so that nobody can
/// construct a request that has the fingerprint of another one.
///
///     RequestFingerprinter fingerprinter(head);
///     fingerprinter.addBody(part);
///     RequestPrint fingerprint = fingerprinter.fingerprint();
#pragma once

#include "shallotrelay/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Maximum number of bytes of a body that the fingerprint covers.
inline constexpr std::size_t FingerprintedBodyBytes = 64 * 1024;

/// Returns the fingerprint of a request without its body.
std::uint64_t fingerprintOfHead(const RequestHead &head);

/// Computes the fingerprint of one request as its body is received.
class RequestFingerprinter
{
public:
    explicit RequestFingerprinter(const RequestHead &head);
    ~RequestFingerprinter();

    RequestFingerprinter(const RequestFingerprinter &) = delete;
    RequestFingerprinter &operator=(const RequestFingerprinter &) = delete;

    /// Adds the next part of the body.
    void addBody(std::string_view part);

    /// Returns the fingerprint of the request with the body added so far.
    RequestPrint fingerprint() const;

private:
    struct Body;

    std::uint64_t m_head;
    std::string m_callerService;
    std::unique_ptr<Body> m_body;
};

/// Returns a fingerprint as 16 hexadecimal digits, for logs.
std::string toString(const RequestPrint &fingerprint);

}
