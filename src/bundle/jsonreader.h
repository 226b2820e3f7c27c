/// Strict reading of JSON documents. Every error is reported with its JSON path; unknown and duplicate keys are errors.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace shallotrelay::internal
{

using Json = nlohmann::json;

/// Maximum nesting depth of a document.
inline constexpr int MaxJsonDepth = 16;

/// Parses a JSON document; returns an InvalidArgument error for duplicate keys, nesting above MaxJsonDepth, or trailing
/// text.
absl::StatusOr<Json> parseJson(std::string_view text);

/// Reads the members of a JSON object and records the first error of the document.
class ObjectReader
{
public:
    /// Reads an object at the given JSON path; all readers of a document share the status.
    ObjectReader(const Json &object, std::string path, absl::Status *status);

    /// Returns an integer in [low, high]; records an error and returns low for any other value.
    std::uint64_t number(const std::string &key, std::uint64_t low, std::uint64_t high);

    /// Returns an integer in [low, high], or the fallback if the key is absent.
    std::uint64_t numberOr(const std::string &key, std::uint64_t fallback, std::uint64_t low, std::uint64_t high);

    /// Returns a string; records an error and returns an empty string for any other value.
    std::string text(const std::string &key);

    /// Returns a string, or the fallback if the key is absent.
    std::string textOr(const std::string &key, std::string_view fallback);

    /// Returns a string and records an error if checkName() rejects it.
    std::string name(const std::string &key);

    /// Returns an object; records an error and returns an empty object for any other value.
    const Json &object(const std::string &key);

    /// Returns an object, or an empty object if the key is absent.
    const Json &objectOr(const std::string &key);

    /// Returns an array; records an error and returns an empty array for any other value.
    const Json &array(const std::string &key);

    /// Returns an array, or an empty array if the key is absent.
    const Json &arrayOr(const std::string &key);

    /// Records an error for each key that was not read.
    void refuseOthers();

    /// Records an error for a member unless the document has an earlier one.
    void fail(const std::string &key, std::string_view reason);

    /// Returns the JSON path of a member.
    std::string pathOf(const std::string &key) const;

private:
    const Json *find(const std::string &key, bool required);

    const Json &m_object;
    std::string m_path;
    absl::Status *m_status;
    std::set<std::string> m_read;
};

}
