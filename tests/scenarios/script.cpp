#include "scenarios/script.h"

#include "base/text.h"
#include "cli/settingvalue.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <cmath>

namespace shallotrelay
{
namespace
{

using Words = std::vector<std::string>;

absl::Status lineError(std::size_t line, std::string_view reason)
{
    return absl::InvalidArgumentError(fmt::format("line {}: {}", line, reason));
}

Words wordsOf(std::string_view line)
{
    line = line.substr(0, line.find('#'));
    return absl::StrSplit(absl::string_view(line.data(), line.size()), absl::ByAnyChar(" \t"), absl::SkipEmpty());
}

bool readNumber(std::string text, std::string_view prefix, std::string_view suffix, double *out)
{
    const bool matches = text.size() > prefix.size() + suffix.size() && text.rfind(prefix, 0) == 0
                         && text.substr(text.size() - suffix.size()) == suffix;
    if (!matches) {
        return false;
    }
    return absl::SimpleAtod(text.substr(prefix.size(), text.size() - prefix.size() - suffix.size()), out);
}

absl::Status readEvent(const Words &words, Script *script)
{
    const std::size_t operands = words.size() < 3 ? 0 : words.size() - 3;
    const std::map<std::string, std::size_t> verbs
        = {{"slow", 2}, {"failfast", 1}, {"restore", 1}, {"cold", 1}, {"leave", 1}, {"return", 1},
           {"cut", 2},  {"heal", 2},     {"out", 1},     {"in", 1},   {"load", 1}};
    const auto when = words.size() < 3 ? absl::StatusOr<Duration>(Duration()) : parseDuration(words[1]);
    const auto verb = words.size() < 3 ? verbs.end() : verbs.find(words[2]);
    if (!when.ok() || verb == verbs.end() || operands != verb->second) {
        return absl::InvalidArgumentError("is not a valid event; expected: at TIME VERB OPERANDS");
    }
    script->events.push_back({*when, words[2], words[3], operands > 1 ? words[4] : ""});
    return absl::OkStatus();
}

absl::Status readExpectation(const Words &words, Script *script)
{
    ScriptExpectation out;
    const bool wellFormed = words.size() == 4 && absl::SimpleAtod(words[3], &out.operand);
    const bool knownMeasure = wellFormed && !std::isnan(SimulationResults().byName(words[1]));
    const bool knownRelation = wellFormed && (words[2] == "==" || words[2] == "<=" || words[2] == ">=");
    if (!knownMeasure || !knownRelation) {
        return absl::InvalidArgumentError("is not a valid expectation; expected: expect MEASURE ==|<=|>= NUMBER");
    }
    out.measure = words[1];
    out.relation = words[2];
    script->expectations.push_back(out);
    return absl::OkStatus();
}

absl::Status readOption(const Words &words, Script *script)
{
    double number = 0;
    if (words.size() == 2 && words[0] == "deployment" && (words[1] == "tipar" || words[1] == "consorcio")) {
        const std::uint64_t seed = script->options.seed;
        script->options = words[1] == "tipar" ? tiparSimulation() : consorcioSimulation();
        script->options.seed = seed;
        return absl::OkStatus();
    }
    if (words.size() == 2 && words[0] == "load" && readNumber(words[1], "", "%", &number)) {
        script->options.load = number / 100;
        return absl::OkStatus();
    }
    if (words.size() == 2 && words[0] == "seed" && readNumber(words[1], "", "", &number)) {
        script->options.seed = static_cast<std::uint64_t>(number);
        return absl::OkStatus();
    }
    if (words.size() == 2 && words[0] == "run") {
        const auto duration = parseDuration(words[1]);
        if (duration.ok()) {
            script->options.duration = *duration;
        }
        return duration.status();
    }
    return absl::InvalidArgumentError("is not a valid statement; expected: deployment, load, seed, run, at or expect");
}

void applyEvent(Simulation &simulation, const ScriptEvent &event)
{
    double factor = 1;
    readNumber(event.verb == "load" ? event.first : event.second, "x", "", &factor);
    if (event.verb == "slow") {
        simulation.setSlowdown(event.first, factor);
    } else if (event.verb == "failfast") {
        simulation.setFailFast(event.first, true);
    } else if (event.verb == "restore") {
        simulation.setSlowdown(event.first, 1);
        simulation.setFailFast(event.first, false);
    } else if (event.verb == "cold") {
        simulation.restart(event.first);
    } else if (event.verb == "leave" || event.verb == "return") {
        simulation.setLeaving(event.first, event.verb == "leave");
    } else if (event.verb == "cut" || event.verb == "heal") {
        simulation.setPartitioned(event.first, event.second, event.verb == "cut");
    } else if (event.verb == "out" || event.verb == "in") {
        simulation.setOutOfService(event.first, event.verb == "out");
    } else {
        simulation.setLoadFactor(factor);
    }
}

}

std::string Script::text() const
{
    std::string out = fmt::format("deployment {}\nseed {}\nload {}%\nrun {}ms\n",
                                  options.service == "fichas" ? "consorcio" : "tipar", options.seed, options.load * 100,
                                  toMilliseconds(options.duration));
    for (const ScriptEvent &it : events) {
        out += fmt::format("at {}ms {} {} {}\n", toMilliseconds(it.when), it.verb, it.first, it.second);
    }
    for (const ScriptExpectation &it : expectations) {
        out += fmt::format("expect {} {} {}\n", it.measure, it.relation, it.operand);
    }
    return out;
}

absl::StatusOr<Script> parseScript(std::string_view text)
{
    Script script;
    std::size_t line = 0;
    for (const auto part : absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
        ++line;
        const Words words = wordsOf(toStd(part));
        absl::Status status;
        if (words.empty()) {
            continue;
        }
        if (words[0] == "at") {
            status = readEvent(words, &script);
        } else if (words[0] == "expect") {
            status = readExpectation(words, &script);
        } else {
            status = readOption(words, &script);
        }
        if (!status.ok()) {
            return lineError(line, fmt::format("\"{}\" {}", toStd(part), toStd(status.message())));
        }
    }
    return script;
}

SimulationResults runScript(const Script &script, SimulationPolicy policy)
{
    SimulationOptions options = script.options;
    options.policy = policy;
    Simulation simulation(options);
    for (const ScriptEvent &it : script.events) {
        simulation.schedule(it.when, [&simulation, it] { applyEvent(simulation, it); });
    }
    return simulation.run();
}

std::vector<std::string> unmetExpectations(const Script &script, const SimulationResults &results)
{
    std::vector<std::string> out;
    for (const ScriptExpectation &it : script.expectations) {
        const double value = results.byName(it.measure);
        const bool met = (it.relation == "==" && value == it.operand) || (it.relation == "<=" && value <= it.operand)
                         || (it.relation == ">=" && value >= it.operand);
        if (!met) {
            out.push_back(fmt::format("{} is {}, expected {} {}", it.measure, value, it.relation, it.operand));
        }
    }
    return out;
}

}
