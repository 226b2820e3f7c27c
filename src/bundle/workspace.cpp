#include "shallotrelay/bundle/workspace.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_set>

namespace shallotrelay
{
namespace
{

constexpr std::uint32_t RanksPerWorkspacePriority = MaxPriority + 1;

bool isControl(char c)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    return static_cast<unsigned char>(c) < FirstPrintable || static_cast<unsigned char>(c) == Delete;
}

/// The name is sent to targets as the value of a header field.
absl::Status checkName(const std::string &name)
{
    if (name.empty() || name.size() > MaxWorkspaceNameBytes) {
        return absl::InvalidArgumentError(
            fmt::format("workspace: name must have 1 to {} bytes", MaxWorkspaceNameBytes));
    }
    if (std::any_of(name.begin(), name.end(), isControl) || name.front() == ' ' || name.back() == ' ') {
        return absl::InvalidArgumentError(
            "workspace: name must not contain control characters or begin or end with a space");
    }
    return absl::OkStatus();
}

std::string_view keyProblem(const std::string &key)
{
    if (key.empty()) {
        return "a key is empty";
    }
    if (key.size() > MaxKeyBytes) {
        return "a key is longer than 4096 bytes";
    }
    const auto cannotBeSent = [](char c) { return c == ' ' || isControl(c); };
    if (std::any_of(key.begin(), key.end(), cannotBeSent)) {
        return "a key contains a space or a control character";
    }
    return {};
}

bool isQuota(double value)
{
    return std::isfinite(value) && value >= 0;
}

}

absl::Status checkWorkspaces(const std::vector<Workspace> &workspaces)
{
    if (workspaces.size() > MaxWorkspaces) {
        return absl::InvalidArgumentError(
            fmt::format("lists {} workspaces, above the limit of {}", workspaces.size(), MaxWorkspaces));
    }
    std::unordered_set<std::string_view> names;
    std::unordered_set<std::string_view> keys;
    names.reserve(workspaces.size());
    for (const Workspace &it : workspaces) {
        if (const absl::Status status = checkName(it.name); !status.ok()) {
            return status;
        }
        const auto error
            = [&](std::string_view what) { return absl::InvalidArgumentError(fmt::format("{}: {}", it.name, what)); };
        if (!names.insert(it.name).second) {
            return error("name is already used by another workspace");
        }
        for (const std::string &key : it.keys) {
            if (const std::string_view problem = keyProblem(key); !problem.empty()) {
                return error(problem);
            }
            if (!keys.insert(key).second) {
                return error("a key is listed twice or belongs to another workspace");
            }
        }
        if (keys.size() > MaxWorkspaceKeys) {
            return error(fmt::format("the workspaces have more than {} keys", MaxWorkspaceKeys));
        }
        if (!isQuota(it.requestsPerSecond) || !isQuota(it.burst)) {
            return error("rate and burst must be finite and not below 0");
        }
    }
    return absl::OkStatus();
}

std::uint32_t rankOf(const Workspace *workspace, std::uint32_t routePriority)
{
    const std::uint32_t priority = workspace == nullptr ? 0 : workspace->priority.value_or(0);
    return std::min(priority, MaxPriority) * RanksPerWorkspacePriority + std::min(routePriority, MaxPriority);
}

std::uint32_t workspacePriorityOf(std::uint32_t rank)
{
    return rank / RanksPerWorkspacePriority;
}

}
