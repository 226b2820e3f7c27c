#include "shallotrelay/bundle/bundle.h"

#include "base/text.h"
#include "bundle/jsonreader.h"
#include "shallotrelay/base/name.h"

#include <fmt/format.h>

namespace shallotrelay
{
namespace
{

using internal::Json;
using internal::ObjectReader;

constexpr std::uint64_t BundleFormat = 1;
constexpr std::uint64_t MaxVersion = (1ULL << 53) - 1;
constexpr std::uint64_t MaxSlots = 100000;
constexpr std::uint64_t MaxRampMs = 3600 * 1000;
constexpr std::uint64_t MaxQueue = 10000;
constexpr std::uint64_t MaxQueueWaitMs = 60 * 1000;
constexpr std::uint64_t MaxEntries = 4096;
constexpr std::uint64_t DefaultRetryPercent = 10;

TargetBounds readBounds(ObjectReader &reader)
{
    TargetBounds bounds;
    bounds.slots = static_cast<std::uint32_t>(reader.number("slots", 1, MaxSlots));
    bounds.connections = static_cast<std::uint32_t>(reader.number("connections", 1, MaxSlots));
    if (bounds.connections < bounds.slots) {
        reader.fail("connections", "must not be below slots");
    }
    return bounds;
}

std::map<std::string, bool> readDataCentres(const Json &object, ObjectReader &parent, absl::Status *status)
{
    std::map<std::string, bool> out;
    ObjectReader reader(object, parent.pathOf("data_centres"), status);
    for (const auto &it : object.items()) {
        const std::string state = reader.text(it.key());
        const bool known = state == "in" || state == "out";
        if (!checkName(it.key()).ok()) {
            reader.fail(it.key(), "is not a valid name");
        }
        if (!known) {
            reader.fail(it.key(), "must be \"in\" or \"out\"");
        }
        out[it.key()] = state == "in";
    }
    if (out.empty() || out.size() > MaxEntries) {
        parent.fail("data_centres", fmt::format("must name 1 to {} data centres", MaxEntries));
    }
    return out;
}

std::set<std::string> readServicePlaces(const Bundle &bundle, ObjectReader &reader)
{
    std::set<std::string> out;
    const Json &array = reader.array("data_centres");
    for (const Json &it : array) {
        if (!it.is_string() || !bundle.dataCentres.contains(it.get<std::string>())) {
            reader.fail("data_centres", "must hold names that $.data_centres lists");
            return out;
        }
        if (!out.insert(it.get<std::string>()).second) {
            reader.fail("data_centres", "names a data centre twice");
        }
    }
    if (out.empty()) {
        reader.fail("data_centres", "must name one data centre at least");
    }
    return out;
}

void readTargetBounds(const Json &object, const std::string &path, ServicePolicy *policy, absl::Status *status)
{
    ObjectReader targets(object, path, status);
    for (const auto &it : object.items()) {
        if (!checkName(it.key()).ok()) {
            targets.fail(it.key(), "is not a valid name");
        }
        ObjectReader reader(it.value(), targets.pathOf(it.key()), status);
        policy->targetBounds[it.key()] = readBounds(reader);
        reader.refuseOthers();
    }
    if (policy->targetBounds.size() > MaxEntries) {
        targets.fail("", fmt::format("must not have more than {} members", MaxEntries));
    }
}

void readColdStart(const Json &object, const std::string &path, ServicePolicy *policy, absl::Status *status)
{
    ObjectReader reader(object, path, status);
    policy->coldSlots = static_cast<std::uint32_t>(reader.number("slots", 1, policy->bounds.slots));
    policy->coldRamp = std::chrono::milliseconds(reader.number("ramp_ms", 0, MaxRampMs));
    reader.refuseOthers();
}

void readQueue(const Json &object, const std::string &path, ServicePolicy *policy, absl::Status *status)
{
    ObjectReader reader(object, path, status);
    policy->queueLength = static_cast<std::uint32_t>(reader.numberOr("length", 0, 0, MaxQueue));
    policy->queueWait = std::chrono::milliseconds(reader.numberOr("wait_ms", 0, 0, MaxQueueWaitMs));
    reader.refuseOthers();
}

ServicePolicy readService(const Bundle &bundle, const Json &object, const std::string &path, absl::Status *status)
{
    ServicePolicy policy;
    ObjectReader reader(object, path, status);
    policy.bounds = readBounds(reader);
    policy.dataCentres = readServicePlaces(bundle, reader);
    readColdStart(reader.object("cold"), reader.pathOf("cold"), &policy, status);
    readQueue(reader.objectOr("queue"), reader.pathOf("queue"), &policy, status);
    readTargetBounds(reader.objectOr("targets"), reader.pathOf("targets"), &policy, status);
    policy.retryPercent = static_cast<std::uint32_t>(reader.numberOr("retry_percent", DefaultRetryPercent, 0, 100));
    reader.refuseOthers();
    return policy;
}

void readServices(const Json &object, ObjectReader &parent, Bundle *bundle, absl::Status *status)
{
    ObjectReader reader(object, parent.pathOf("services"), status);
    for (const auto &it : object.items()) {
        if (!checkName(it.key()).ok()) {
            reader.fail(it.key(), "is not a valid name");
        }
        bundle->services[it.key()] = readService(*bundle, it.value(), reader.pathOf(it.key()), status);
    }
    if (bundle->services.size() > MaxEntries) {
        parent.fail("services", fmt::format("must not name more than {} services", MaxEntries));
    }
}

}

const TargetBounds &ServicePolicy::boundsOf(const std::string &target) const
{
    const auto it = targetBounds.find(target);
    return it == targetBounds.end() ? bounds : it->second;
}

bool Bundle::inService(const std::string &dataCentre) const
{
    const auto it = dataCentres.find(dataCentre);
    return it != dataCentres.end() && it->second;
}

const ServicePolicy *Bundle::findService(const std::string &service) const
{
    const auto it = services.find(service);
    return it == services.end() ? nullptr : &it->second;
}

absl::StatusOr<Bundle> parseBundle(std::string_view text)
{
    if (text.size() > MaxBundleBytes) {
        return absl::InvalidArgumentError(fmt::format("$: longer than {} bytes", MaxBundleBytes));
    }
    const auto document = internal::parseJson(text);
    if (!document.ok()) {
        return document.status();
    }
    absl::Status status;
    Bundle bundle;
    ObjectReader reader(*document, "$", &status);
    reader.number("format", BundleFormat, BundleFormat);
    bundle.firm = reader.name("firm");
    bundle.version = reader.number("version", 1, MaxVersion);
    bundle.dataCentres = readDataCentres(reader.object("data_centres"), reader, &status);
    readServices(reader.object("services"), reader, &bundle, &status);
    reader.refuseOthers();
    if (!status.ok()) {
        return status;
    }
    return bundle;
}

}
