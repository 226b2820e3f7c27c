/// Ed25519 signatures of operators on bundles: signing, verification and the trust policy.
///
/// A signed bundle is a JSON object with the members "bundle" (the bundle itself) and "signatures" (a list of objects
/// with "key" and "signature" in hexadecimal digits). Signatures cover the canonical form of the bundle, its JSON text
/// with sorted keys and no whitespace, after a fixed prefix. The formatting and key order of the file do not matter.
///
///     KeyPair pair = generateKeyPair();
///     absl::StatusOr<std::string> signedText = addSignature(bundleText, pair.secretKey);
///     absl::StatusOr<SignedBundle> bundle = parseSignedBundle(*signedText);
///     absl::Status verdict = checkSignOff(*bundle, trust);
#pragma once

#include "shallotrelay/bundle/bundle.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// A key pair in hexadecimal digits.
struct KeyPair {
    std::string publicKey; ///< Public key of 64 digits, for the trust file.
    std::string secretKey; ///< Secret key of 128 digits, known only to the operator.
};

/// A signature and its key, in hexadecimal digits.
struct BundleSignature {
    std::string key; ///< Public key of the signer.
    std::string signature; ///< Signature over the canonical form.
};

/// A validated bundle with its signatures, which are not yet verified.
struct SignedBundle {
    Bundle bundle; ///< The validated bundle.
    std::string canonicalText; ///< Canonical form covered by the signatures, without the prefix.
    std::string digest; ///< Digest of the canonical form, in hexadecimal digits.
    std::vector<BundleSignature> signatures; ///< Signatures in the order of the file.
};

/// The keys trusted to sign bundles of a firm.
struct FirmTrust {
    std::set<std::string> keys; ///< Public keys of the firm's operators.
    std::uint32_t threshold = 1; ///< Number of valid signatures by different keys that a bundle requires.
    std::set<std::string> dataCentres; ///< Data centres that bundles of the firm may configure.
};

/// Trusted keys by firm.
using TrustPolicy = std::map<std::string, FirmTrust>;

/// Generates a key pair with the system's random number generator.
KeyPair generateKeyPair();

/// Signs a bundle or a signed bundle and returns the signed bundle. A signature by the same key is replaced. Returns an
/// InvalidArgument error if the text or the key is invalid.
absl::StatusOr<std::string> addSignature(std::string_view text, std::string_view secretKey);

/// Parses a signed bundle and validates its bundle, but does not verify the signatures; an InvalidArgument error starts
/// with the JSON path of the problem.
absl::StatusOr<SignedBundle> parseSignedBundle(std::string_view text);

/// Returns OK if enough different trusted keys signed the bundle and it configures only data centres of its firm, else
/// a PermissionDenied error.
absl::Status checkSignOff(const SignedBundle &bundle, const TrustPolicy &trust);

/// Parses a trust file, or returns an InvalidArgument error with the JSON path of the problem. Its form is:
/// {"firms": {NAME: {"keys": [...], "threshold": N, "data_centres": [...]}}}.
absl::StatusOr<TrustPolicy> parseTrustPolicy(std::string_view text);

}
