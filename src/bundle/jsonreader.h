/// Checked reading of JSON documents: every fault is reported with its path, unknown and repeated keys are faults.
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

/// Deepest nesting of a document.
inline constexpr int MaxJsonDepth = 16;

/// Parses a document; repeated keys, deep nesting and text behind the end are faults.
absl::StatusOr<Json> parseJson(std::string_view text);

/// Reads the fields of one JSON object and keeps the first fault.
class ObjectReader
{
public:
    /// The status is shared by all readers of one document.
    ObjectReader(const Json &object, std::string path, absl::Status *status);

    /// Returns a whole number within bounds, or the low bound after a fault.
    std::uint64_t number(const std::string &key, std::uint64_t low, std::uint64_t high);

    /// Returns a whole number within bounds, or the fallback if the key is absent.
    std::uint64_t numberOr(const std::string &key, std::uint64_t fallback, std::uint64_t low, std::uint64_t high);

    /// Returns a text.
    std::string text(const std::string &key);

    /// Returns a text, or the fallback if the key is absent.
    std::string textOr(const std::string &key, std::string_view fallback);

    /// Returns a name that checkName() takes.
    std::string name(const std::string &key);

    /// Returns the member, which must be an object, or an empty object after a fault.
    const Json &object(const std::string &key);

    /// Returns the member, which must be an object, or an empty object if the key is absent.
    const Json &objectOr(const std::string &key);

    /// Returns the member, which must be an array, or an empty array after a fault.
    const Json &array(const std::string &key);

    /// Returns the member, which must be an array, or an empty array if the key is absent.
    const Json &arrayOr(const std::string &key);

    /// Reports each key that was not read.
    void refuseOthers();

    /// Reports a fault of a member.
    void fail(const std::string &key, std::string_view reason);

    /// Returns the path of a member.
    std::string pathOf(const std::string &key) const;

private:
    const Json *find(const std::string &key, bool required);

    const Json &m_object;
    std::string m_path;
    absl::Status *m_status;
    std::set<std::string> m_read;
};

}
