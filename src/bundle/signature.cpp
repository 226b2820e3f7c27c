#include "shallotrelay/bundle/signature.h"

#include "base/text.h"
#include "bundle/jsonreader.h"
#include "shallotrelay/base/name.h"

#include <fmt/format.h>
#include <sodium.h>

#include <optional>

namespace shallotrelay
{
namespace
{

using internal::Json;
using internal::ObjectReader;

constexpr std::string_view SignaturePrefix = "shallotrelay bundle 1\n";
constexpr std::size_t MaxSignatures = 64;

using Bytes = std::vector<unsigned char>;

std::string toHex(const unsigned char *data, std::size_t size)
{
    std::string out(size * 2 + 1, '\0');
    sodium_bin2hex(out.data(), out.size(), data, size);
    out.pop_back();
    return out;
}

/// Decodes lower-case hexadecimal digits; returns nothing for any text that does not encode exactly `size` bytes.
std::optional<Bytes> fromHex(std::string_view text, std::size_t size)
{
    Bytes out(size);
    std::size_t n = 0;
    const char *end = nullptr;
    const int rc = sodium_hex2bin(out.data(), out.size(), text.data(), text.size(), nullptr, &n, &end);
    const bool complete = rc == 0 && n == size && end == text.data() + text.size();
    if (!complete || toHex(out.data(), size) != text) {
        return std::nullopt;
    }
    return out;
}

std::string signedBytes(std::string_view canonicalText)
{
    return std::string(SignaturePrefix) + std::string(canonicalText);
}

std::string digestOf(std::string_view canonicalText)
{
    unsigned char hash[crypto_generichash_BYTES];
    const std::string text = signedBytes(canonicalText);
    crypto_generichash(hash, sizeof hash, reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr,
                       0);
    return toHex(hash, sizeof hash);
}

bool isValidSignature(const BundleSignature &signature, const std::string &message)
{
    const auto key = fromHex(signature.key, crypto_sign_PUBLICKEYBYTES);
    const auto bytes = fromHex(signature.signature, crypto_sign_BYTES);
    if (!key || !bytes) {
        return false;
    }
    const auto *text = reinterpret_cast<const unsigned char *>(message.data());
    return crypto_sign_verify_detached(bytes->data(), text, message.size(), key->data()) == 0;
}

BundleSignature readSignature(const Json &json, const std::string &path, absl::Status *status)
{
    ObjectReader reader(json, path, status);
    BundleSignature out;
    out.key = reader.text("key");
    out.signature = reader.text("signature");
    reader.rejectUnknownKeys();
    return out;
}

std::set<std::string> readUniqueStrings(ObjectReader &reader, const std::string &key)
{
    std::set<std::string> out;
    for (const Json &it : reader.array(key)) {
        if (!it.is_string() || !out.insert(it.get<std::string>()).second) {
            reader.fail(key, "must contain strings without duplicates");
            return out;
        }
    }
    return out;
}

FirmTrust readFirmTrust(const Json &json, const std::string &path, absl::Status *status)
{
    ObjectReader reader(json, path, status);
    FirmTrust trust;
    trust.keys = readUniqueStrings(reader, "keys");
    trust.dataCentres = readUniqueStrings(reader, "data_centres");
    trust.threshold = static_cast<std::uint32_t>(reader.number("threshold", 1, MaxSignatures));
    for (const std::string &it : trust.keys) {
        if (!fromHex(it, crypto_sign_PUBLICKEYBYTES)) {
            reader.fail("keys", "must contain public keys of 64 lower-case hexadecimal digits");
        }
    }
    if (trust.threshold > trust.keys.size()) {
        reader.fail("threshold",
                    fmt::format("is {} but the firm has only {} keys", trust.threshold, trust.keys.size()));
    }
    reader.rejectUnknownKeys();
    return trust;
}

Json toSignedDocument(const Json &document)
{
    if (document.is_object() && document.contains("bundle")) {
        return document;
    }
    return Json{{"bundle", document}, {"signatures", Json::array()}};
}

/// Removes earlier signatures of the key, so that signing is idempotent.
void removeSignatureOf(Json *signatures, const std::string &key)
{
    Json others = Json::array();
    for (const Json &it : *signatures) {
        if (it.value("key", "") != key) {
            others.push_back(it);
        }
    }
    *signatures = others;
}

}

KeyPair generateKeyPair()
{
    unsigned char publicKey[crypto_sign_PUBLICKEYBYTES];
    unsigned char secretKey[crypto_sign_SECRETKEYBYTES];
    crypto_sign_keypair(publicKey, secretKey);
    return {toHex(publicKey, sizeof publicKey), toHex(secretKey, sizeof secretKey)};
}

absl::StatusOr<std::string> addSignature(std::string_view text, std::string_view secretKey)
{
    const auto document = internal::parseJson(text);
    if (!document.ok()) {
        return document.status();
    }
    const auto key = fromHex(secretKey, crypto_sign_SECRETKEYBYTES);
    if (!key) {
        return absl::InvalidArgumentError("secret key must have 128 lower-case hexadecimal digits");
    }
    Json out = toSignedDocument(*document);
    const auto parsed = parseSignedBundle(out.dump());
    if (!parsed.ok()) {
        return parsed.status();
    }
    const std::string message = signedBytes(parsed->canonicalText);
    unsigned char signature[crypto_sign_BYTES];
    crypto_sign_detached(signature, nullptr, reinterpret_cast<const unsigned char *>(message.data()), message.size(),
                         key->data());
    unsigned char publicKey[crypto_sign_PUBLICKEYBYTES];
    crypto_sign_ed25519_sk_to_pk(publicKey, key->data());
    const std::string publicText = toHex(publicKey, sizeof publicKey);
    removeSignatureOf(&out["signatures"], publicText);
    out["signatures"].push_back({{"key", publicText}, {"signature", toHex(signature, sizeof signature)}});
    return out.dump(2) + "\n";
}

absl::StatusOr<SignedBundle> parseSignedBundle(std::string_view text)
{
    if (text.size() > 2 * MaxBundleBytes) {
        return absl::InvalidArgumentError(
            fmt::format("$: signed bundle of {} bytes exceeds the limit of {} bytes", text.size(), 2 * MaxBundleBytes));
    }
    const auto document = internal::parseJson(text);
    if (!document.ok()) {
        return document.status();
    }
    absl::Status status;
    SignedBundle out;
    ObjectReader reader(*document, "$", &status);
    out.canonicalText = reader.object("bundle").dump();
    const Json &signatures = reader.array("signatures");
    if (signatures.size() > MaxSignatures) {
        reader.fail("signatures",
                    fmt::format("has {} signatures, above the limit of {}", signatures.size(), MaxSignatures));
    }
    for (const Json &it : signatures) {
        out.signatures.push_back(readSignature(it, reader.pathOf("signatures"), &status));
    }
    reader.rejectUnknownKeys();
    if (!status.ok()) {
        return status;
    }
    auto bundle = parseBundle(out.canonicalText);
    if (!bundle.ok()) {
        return bundle.status();
    }
    out.bundle = *std::move(bundle);
    out.digest = digestOf(out.canonicalText);
    return out;
}

absl::Status checkBundleAuthorisation(const SignedBundle &bundle, const TrustPolicy &trust)
{
    const auto it = trust.find(bundle.bundle.firm);
    if (it == trust.end()) {
        return absl::PermissionDeniedError(
            fmt::format("no operator keys are configured for firm {}", bundle.bundle.firm));
    }
    const FirmTrust &firm = it->second;
    for (const auto &dataCentre : bundle.bundle.dataCentres) {
        if (!firm.dataCentres.contains(dataCentre.first)) {
            const std::string &name = dataCentre.first;
            return absl::PermissionDeniedError(
                fmt::format("$.data_centres.{}: is not a data centre of the firm", name));
        }
    }
    const std::string message = signedBytes(bundle.canonicalText);
    std::set<std::string> signers;
    for (const BundleSignature &signature : bundle.signatures) {
        if (firm.keys.contains(signature.key) && isValidSignature(signature, message)) {
            signers.insert(signature.key);
        }
    }
    if (signers.size() < firm.threshold) {
        return absl::PermissionDeniedError(
            fmt::format("bundle has {} of {} required valid signatures by operators of firm {}", signers.size(),
                        firm.threshold, it->first));
    }
    return absl::OkStatus();
}

absl::StatusOr<TrustPolicy> parseTrustPolicy(std::string_view text)
{
    const auto document = internal::parseJson(text);
    if (!document.ok()) {
        return document.status();
    }
    absl::Status status;
    TrustPolicy out;
    ObjectReader reader(*document, "$", &status);
    const Json &firms = reader.object("firms");
    for (const auto &it : firms.items()) {
        out[it.key()] = readFirmTrust(it.value(), reader.pathOf("firms") + "." + it.key(), &status);
        if (!checkName(it.key()).ok()) {
            reader.fail("firms", fmt::format("contains the invalid name \"{}\"", it.key()));
        }
    }
    reader.rejectUnknownKeys();
    if (!status.ok()) {
        return status;
    }
    return out;
}

}
