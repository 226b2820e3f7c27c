#include "cli/settingsreader.h"

#include "cli/version.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_replace.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <memory>

namespace shallotrelay
{
namespace
{

using TextFlag = TCLAP::ValueArg<std::string>;

std::string helpOf(const SettingSpec &spec)
{
    const std::string shownDefault = spec.defaultText.empty() ? "none" : spec.defaultText;
    return fmt::format("{} [variable {}, default {}]", spec.doc, variableName(spec.name), shownDefault);
}

absl::Status missingSetting(const std::string &name)
{
    return absl::InvalidArgumentError(fmt::format("--{} \"\": must not be empty", name));
}

absl::Status conflictingSettings(const std::string &a, const std::string &b, const std::string &value,
                                 const std::string &reason)
{
    return absl::InvalidArgumentError(fmt::format("--{} \"{}\" and --{}: {}", a, value, b, reason));
}

/// Splits --NAME=VALUE, which TCLAP does not accept beside --NAME VALUE; an empty value leaves the default.
void appendArgument(const std::string &argument, std::vector<std::string> *out)
{
    const std::size_t sign = argument.find('=');
    if (argument.rfind("--", 0) != 0 || sign == std::string::npos) {
        out->push_back(argument);
    } else if (sign + 1 < argument.size()) {
        out->push_back(argument.substr(0, sign));
        out->push_back(argument.substr(sign + 1));
    }
}

bool sameListener(const Address &a, const Address &b)
{
    return a.port != 0 && a == b;
}

}

std::string variableName(const std::string &setting)
{
    return "SHALLOTRELAY_" + absl::StrReplaceAll(absl::AsciiStrToUpper(setting), {{"-", "_"}});
}

absl::StatusOr<CommandLine> readCommandLine(const std::string &command, const std::string &doc,
                                            const std::vector<SettingSpec> &specs, const std::vector<std::string> &args,
                                            const std::function<const char *(const std::string &)> &environment)
{
    CommandLine out;
    std::vector<std::unique_ptr<TextFlag>> flags;
    flags.reserve(specs.size());
    TCLAP::CmdLine line(doc, ' ', Version);
    line.setExceptionHandling(false);
    for (const SettingSpec &spec : specs) {
        flags.push_back(std::make_unique<TextFlag>("", spec.name, helpOf(spec), false, "", "value"));
    }
    TCLAP::SwitchArg check("", "check", "Validate the settings and exit");
    TCLAP::UnlabeledMultiArg<std::string> operands("operands", "Operands of the command", false, "text");
    // TCLAP lists flags in --help in the reverse order of add().
    line.add(operands);
    line.add(check);
    for (auto it = flags.rbegin(); it != flags.rend(); ++it) {
        line.add(**it);
    }
    std::vector<std::string> all = {"shallotrelay " + command};
    for (const std::string &it : args) {
        appendArgument(it, &all);
    }
    try {
        line.parse(all);
    } catch (const TCLAP::ExitException &) {
        out.handled = true;
        return out;
    } catch (const TCLAP::ArgException &error) {
        return absl::InvalidArgumentError(fmt::format("{} {}", error.argId(), error.error()));
    }
    for (const auto &it : flags) {
        const char *variable = environment(variableName(it->getName()));
        if (it->isSet()) {
            out.raw[it->getName()] = it->getValue();
        } else if (variable != nullptr) {
            out.raw[it->getName()] = variable;
        }
    }
    out.checkOnly = check.getValue();
    out.operands = operands.getValue();
    for (const std::string &it : out.operands) {
        if (it.rfind('-', 0) == 0) {
            return absl::InvalidArgumentError(fmt::format("\"{}\": not a flag of the command {}", it, command));
        }
    }
    return out;
}

absl::Status validate(const NodeSettings &settings)
{
    if (settings.name.empty()) {
        return missingSetting("name");
    }
    if (settings.dataCentre.empty()) {
        return missingSetting("data-centre");
    }
    if (sameListener(settings.listen, settings.peerListen)) {
        return conflictingSettings("listen", "peer-listen", settings.listen.text(), "must be different addresses");
    }
    if (sameListener(settings.listen, settings.adminListen)) {
        return conflictingSettings("listen", "admin-listen", settings.listen.text(), "must be different addresses");
    }
    if (sameListener(settings.peerListen, settings.adminListen)) {
        return conflictingSettings("peer-listen", "admin-listen", settings.peerListen.text(),
                                   "must be different addresses");
    }
    if (settings.defaultDeadline > settings.maxDeadline) {
        return conflictingSettings("default-deadline", "max-deadline",
                                   fmt::format("{}ms", toMilliseconds(settings.defaultDeadline)),
                                   fmt::format("the default deadline must not exceed the maximum deadline of {}ms",
                                               toMilliseconds(settings.maxDeadline)));
    }
    const std::vector<std::pair<const char *, Duration>> durations
        = {{"heartbeat", settings.heartbeat},        {"announce-lease", settings.announceLease},
           {"head-timeout", settings.headTimeout},   {"idle-timeout", settings.idleTimeout},
           {"stall-timeout", settings.stallTimeout}, {"default-deadline", settings.defaultDeadline}};
    for (const auto &it : durations) {
        if (it.second <= Duration::zero()) {
            return absl::InvalidArgumentError(fmt::format("--{} \"0\": must be greater than 0", it.first));
        }
    }
    return absl::OkStatus();
}

absl::Status validate(const ControlSettings &settings)
{
    if (settings.dataFolder.empty()) {
        return missingSetting("data-folder");
    }
    if (settings.trustFile.empty()) {
        return missingSetting("trust-file");
    }
    if (sameListener(settings.listen, settings.operatorListen)) {
        return conflictingSettings("listen", "operator-listen", settings.listen.text(), "must be different addresses");
    }
    if (settings.lease <= settings.heartbeat) {
        return conflictingSettings("lease", "heartbeat", fmt::format("{}ms", toMilliseconds(settings.lease)),
                                   fmt::format("the lease must be longer than the heartbeat interval of {}ms",
                                               toMilliseconds(settings.heartbeat)));
    }
    if (settings.heartbeat <= Duration::zero()) {
        return absl::InvalidArgumentError("--heartbeat \"0\": must be greater than 0");
    }
    return absl::OkStatus();
}

absl::Status validate(const TargetSettings &settings)
{
    for (const auto &it : {std::pair("name", settings.name), std::pair("firm", settings.firm),
                           std::pair("service", settings.service), std::pair("data-centre", settings.dataCentre)}) {
        if (it.second.empty()) {
            return missingSetting(it.first);
        }
    }
    if (settings.connections < settings.slots) {
        return conflictingSettings(
            "slots", "connections", std::to_string(settings.slots),
            fmt::format("the number of slots must not exceed the number of connections, {}", settings.connections));
    }
    return absl::OkStatus();
}

}
