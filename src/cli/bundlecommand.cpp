#include "cli/commandsupport.h"
#include "net/httpserver.h"
#include "shallotrelay/bundle/signature.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace shallotrelay
{
namespace
{

int failWithStatus(const absl::Status &status)
{
    return failWith(ExitFailed, std::string(status.message()));
}

int keygen(const BundleSettings &settings)
{
    if (settings.keyFile.empty()) {
        return failWith(ExitUsage, "--key-file \"\": must not be empty");
    }
    const KeyPair pair = generateKeyPair();
    if (const absl::Status status = writeOutput(settings.keyFile, pair.secretKey + "\n", true); !status.ok()) {
        return failWithStatus(status);
    }
    const absl::Status status = writeOutput(settings.out, pair.publicKey + "\n", false);
    return status.ok() ? ExitOk : failWithStatus(status);
}

/// Validates the format of a bundle or of a signed bundle and prints a summary; signatures are not verified.
int check(const std::string &path)
{
    const auto text = readFile(path);
    if (!text.ok()) {
        return failWithStatus(text.status());
    }
    const auto signedBundle = parseSignedBundle(*text);
    const auto bundle = signedBundle.ok() ? absl::StatusOr<Bundle>(signedBundle->bundle) : parseBundle(*text);
    if (!bundle.ok()) {
        const bool isSigned = text->find("\"signatures\"") != std::string::npos;
        return failWithStatus(isSigned ? signedBundle.status() : bundle.status());
    }
    fmt::print("{}: firm {}, version {}, {} services, {} data centres, {} signatures\n", path, bundle->firm,
               bundle->version, bundle->services.size(), bundle->dataCentres.size(),
               signedBundle.ok() ? signedBundle->signatures.size() : 0);
    return ExitOk;
}

int sign(const BundleSettings &settings, const std::string &path)
{
    const auto text = readFile(path);
    const auto key = readFile(settings.keyFile);
    if (!text.ok() || !key.ok()) {
        return failWithStatus(text.ok() ? key.status() : text.status());
    }
    const std::string secret(absl::StripAsciiWhitespace(*key));
    const auto out = addSignature(*text, secret);
    if (!out.ok()) {
        return failWithStatus(out.status());
    }
    const absl::Status status = writeOutput(settings.out, *out, false);
    return status.ok() ? ExitOk : failWithStatus(status);
}

/// Sends a request to a control VM and prints the body of the response.
int callControl(const BundleSettings &settings, const HttpRequest &request)
{
    const auto response = blockingHttpCall(settings.control, request, settings.timeout);
    if (!response.ok()) {
        std::cout << nlohmann::json{{"verdict", "unknown"}, {"reason", std::string(response.status().message())}}.dump(
            2) << '\n';
        return ExitFailed;
    }
    std::cout << response->body << std::flush;
    constexpr std::uint16_t Ok = 200;
    return response->status == Ok ? ExitOk : ExitFailed;
}

int submit(const BundleSettings &settings, const std::string &path)
{
    auto text = readFile(path);
    if (!text.ok()) {
        return failWithStatus(text.status());
    }
    return callControl(settings, {"POST", "/v1/bundles", "", *std::move(text)});
}

int runOperation(const BundleSettings &settings, const Arguments &operands)
{
    const std::string operation = operands.empty() ? "" : operands.front();
    if (operation == "keygen") {
        return keygen(settings);
    }
    if (operation == "status") {
        return callControl(settings, {"GET", "/v1/bundles/status", "", ""});
    }
    if (operation == "history") {
        const std::string query = settings.firm.empty() ? "" : "firm=" + settings.firm;
        return callControl(settings, {"GET", "/v1/bundles/history", query, ""});
    }
    const bool hasFileOperand = operation == "check" || operation == "sign" || operation == "submit";
    if (!hasFileOperand || operands.size() != 2) {
        return failWith(
            ExitUsage,
            fmt::format("operands \"{}\": must be one of keygen, check FILE, sign FILE, submit FILE, status, history",
                        fmt::join(operands, " ")));
    }
    if (operation == "check") {
        return check(operands[1]);
    }
    return operation == "sign" ? sign(settings, operands[1]) : submit(settings, operands[1]);
}

}

int runBundleCommand(const Arguments &args)
{
    return runWithSettings<BundleSettings>(
        "bundle",
        "Creates, checks, signs and submits bundles: keygen, check FILE, sign FILE, submit FILE, status, history",
        bundleSettingSpecs(), args, parseBundleSettings, [](const BundleSettings &) { return absl::OkStatus(); },
        runOperation, true);
}

}
