/// Sign-off of bundles with Ed25519 keys of operators.
///
/// A signed bundle is a JSON object with the members "bundle" (the bundle itself) and "signatures" (a list of objects
/// with "key" and "signature" in hexadecimal digits). Signatures cover the canonical form of the bundle: its JSON text
/// with sorted keys and no blanks, behind a fixed prefix. Layout and order of keys of the file do not matter.
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
    std::string publicKey; ///< 64 digits, for the trust file.
    std::string secretKey; ///< 128 digits, kept by the operator.
};

/// One signature in hexadecimal digits.
struct BundleSignature {
    std::string key; ///< Public key of the signer.
    std::string signature; ///< Signature over the canonical form.
};

/// A bundle with its signatures, checked in form but not yet for trust.
struct SignedBundle {
    Bundle bundle; ///< The checked bundle.
    std::string canonicalText; ///< What the signatures cover, without the prefix.
    std::string digest; ///< Digest of the canonical form, in hexadecimal digits.
    std::vector<BundleSignature> signatures; ///< The signatures in the order of the file.
};

/// Who may sign for a firm.
struct FirmTrust {
    std::set<std::string> keys; ///< Public keys of the firm's operators.
    std::uint32_t threshold = 1; ///< Valid signatures by different keys that a bundle needs.
    std::set<std::string> dataCentres; ///< Data centres that the firm may speak of.
};

/// Who may sign, by firm.
using TrustPolicy = std::map<std::string, FirmTrust>;

/// Makes a new key pair from the system's randomness.
KeyPair generateKeyPair();

/// Returns the signed bundle with one more signature; the text is a bundle or a signed bundle.
absl::StatusOr<std::string> addSignature(std::string_view text, std::string_view secretKey);

/// Reads a signed bundle and checks its form.
absl::StatusOr<SignedBundle> parseSignedBundle(std::string_view text);

/// Returns OK if enough different trusted keys signed the bundle and it speaks only of its own firm's data centres.
absl::Status checkSignOff(const SignedBundle &bundle, const TrustPolicy &trust);

/// Reads a trust file: {"firms": {NAME: {"keys": [...], "threshold": N, "data_centres": [...]}}}.
absl::StatusOr<TrustPolicy> parseTrustPolicy(std::string_view text);

}
