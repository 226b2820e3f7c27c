#include "cli/commandsupport.h"
#include "net/httpserver.h"

#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace shallotrelay
{
namespace
{

using SteadyClock = std::chrono::steady_clock;

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t TemporaryRedirect = 307;
constexpr std::uint16_t ServiceUnavailable = 503;
/// Redirects followed in one call; a second one means that the leader has changed in between.
constexpr int MaxRedirects = 2;
/// Timeout of one call; a control VM without a decision responds within a second.
constexpr Duration CallTimeout = std::chrono::seconds(2);
constexpr Duration RetryInterval = std::chrono::milliseconds(200);

/// Returns the address in the Location field of a redirect.
absl::StatusOr<Address> redirectAddress(const HttpResponse &response)
{
    for (const HeaderField &it : response.fields) {
        absl::string_view location = it.value;
        if (absl::EqualsIgnoreCase(it.name, "Location") && absl::ConsumePrefix(&location, "http://")) {
            return parseAddress(std::string(location.substr(0, location.find('/'))));
        }
    }
    return absl::UnavailableError("redirect without a location");
}

/// Calls a control VM, or the leader to which it redirects.
absl::StatusOr<HttpResponse> callLeader(Address address, const HttpRequest &request)
{
    for (int redirects = 0;; ++redirects) {
        auto response = blockingHttpCall(address, request, CallTimeout);
        if (!response.ok() || response->status != TemporaryRedirect || redirects == MaxRedirects) {
            return response;
        }
        const auto leader = redirectAddress(*response);
        if (!leader.ok()) {
            return leader.status();
        }
        address = *leader;
    }
}

/// Calls the control VMs in turn until one decides or the timeout passes. All calls may be repeated.
absl::StatusOr<HttpResponse> callCluster(const RolloutSettings &settings, const HttpRequest &request)
{
    const auto deadline = SteadyClock::now() + settings.timeout;
    absl::StatusOr<HttpResponse> response = absl::UnavailableError("no control VM");
    for (;;) {
        for (const Address &it : settings.control) {
            response = callLeader(it, request);
            const bool decided
                = response.ok() && response->status != TemporaryRedirect && response->status != ServiceUnavailable;
            if (decided || SteadyClock::now() >= deadline) {
                return response;
            }
        }
        std::this_thread::sleep_for(RetryInterval);
    }
}

/// Prints the body of a response; returns ExitFailed unless its status is 200.
int printResponse(const absl::StatusOr<HttpResponse> &response)
{
    if (!response.ok()) {
        return failWith(ExitFailed, std::string(response.status().message()));
    }
    std::cout << response->body << std::flush;
    return response->status == Ok ? ExitOk : ExitFailed;
}

int start(const RolloutSettings &settings, const std::string &service, const std::string &version)
{
    const nlohmann::json body = {
        {"service", service}, {"version", version}, {"within", fmt::format("{}ms", toMilliseconds(settings.within))}};
    return printResponse(callCluster(settings, {"POST", "/v1/rollouts", "", body.dump()}));
}

/// Prints the roll-out at each change of its state until it ends.
int watch(const RolloutSettings &settings, const std::string &path)
{
    std::string shown;
    for (;;) {
        const auto response = callCluster(settings, {"GET", path, "", ""});
        if (!response.ok() || response->status != Ok) {
            printResponse(response);
            return ExitUnknown;
        }
        if (response->body != shown) {
            std::cout << response->body << std::flush;
            shown = response->body;
        }
        const auto json = nlohmann::json::parse(response->body, nullptr, false);
        const std::string state = json.is_object() ? json.value("state", "") : "";
        if (state == toString(RolloutState::Succeeded)) {
            return ExitOk;
        }
        if (state == toString(RolloutState::RolledBack)) {
            return ExitFailed;
        }
        std::this_thread::sleep_for(settings.pollInterval);
    }
}

int runOperation(const RolloutSettings &settings, const Arguments &operands)
{
    const std::string operation = operands.empty() ? "" : operands.front();
    if (operation == "start" && operands.size() == 3) {
        return start(settings, operands[1], operands[2]);
    }
    if ((operation != "watch" && operation != "abort") || operands.size() != 2) {
        return failWith(
            ExitUsage,
            fmt::format("operands \"{}\": must be one of start SERVICE VERSION, watch SERVICE, abort SERVICE",
                        fmt::join(operands, " ")));
    }
    const std::string path = "/v1/rollouts/" + operands[1];
    return operation == "watch" ? watch(settings, path)
                                : printResponse(callCluster(settings, {"DELETE", path, "", ""}));
}

absl::Status validateSettings(const RolloutSettings &settings)
{
    const bool isPositive = settings.pollInterval > Duration::zero();
    return isPositive ? absl::OkStatus() : absl::InvalidArgumentError("--poll-interval \"0\": must be greater than 0");
}

}

int runRolloutCommand(const Arguments &args)
{
    return runWithSettings<RolloutSettings>(
        "rollout", "Begins, watches and aborts roll-outs: start SERVICE VERSION, watch SERVICE, abort SERVICE",
        rolloutSettingSpecs(), args, parseRolloutSettings, validateSettings, runOperation, true);
}

}
