#include "bundle/jsonreader.h"

#include "base/text.h"
#include "shallotrelay/base/name.h"

#include <fmt/format.h>

#include <vector>

namespace shallotrelay::internal
{
namespace
{

const Json &emptyObject()
{
    static const Json empty = Json::object();
    return empty;
}

const Json &emptyArray()
{
    static const Json empty = Json::array();
    return empty;
}

/// Parser callback that detects duplicate keys and excessive nesting.
class StructureValidator
{
public:
    bool operator()(int depth, Json::parse_event_t event, Json &parsed)
    {
        if (depth > MaxJsonDepth) {
            m_error = fmt::format("nested deeper than {} levels", MaxJsonDepth);
        }
        if (event == Json::parse_event_t::object_start) {
            m_keys.emplace_back();
        }
        if (event == Json::parse_event_t::object_end && !m_keys.empty()) {
            m_keys.pop_back();
        }
        if (event == Json::parse_event_t::key && !m_keys.back().insert(parsed.get<std::string>()).second) {
            m_error = fmt::format("duplicate key \"{}\"", parsed.get<std::string>());
        }
        return m_error.empty();
    }

    const std::string &error() const
    {
        return m_error;
    }

private:
    std::vector<std::set<std::string>> m_keys;
    std::string m_error;
};

}

absl::StatusOr<Json> parseJson(std::string_view text)
{
    StructureValidator validator;
    const auto callback
        = [&](int depth, Json::parse_event_t event, Json &parsed) { return validator(depth, event, parsed); };
    Json document = Json::parse(text, callback, false);
    if (!validator.error().empty()) {
        return absl::InvalidArgumentError("$: " + validator.error());
    }
    if (document.is_discarded()) {
        return absl::InvalidArgumentError("$: not a valid JSON document");
    }
    return document;
}

ObjectReader::ObjectReader(const Json &object, std::string path, absl::Status *status)
    : m_object(object.is_object() ? object : emptyObject())
    , m_path(std::move(path))
    , m_status(status)
{
    if (!object.is_object() && m_status->ok()) {
        *m_status = absl::InvalidArgumentError(m_path + ": must be an object");
    }
}

std::string ObjectReader::pathOf(const std::string &key) const
{
    return m_path + "." + key;
}

void ObjectReader::fail(const std::string &key, std::string_view reason)
{
    if (m_status->ok()) {
        *m_status = absl::InvalidArgumentError(fmt::format("{}: {}", pathOf(key), reason));
    }
}

const Json *ObjectReader::find(const std::string &key, bool required)
{
    m_read.insert(key);
    const auto it = m_object.find(key);
    if (it != m_object.end()) {
        return &*it;
    }
    if (required) {
        fail(key, "is missing");
    }
    return nullptr;
}

std::uint64_t ObjectReader::number(const std::string &key, std::uint64_t low, std::uint64_t high)
{
    const Json *value = find(key, true);
    if (value == nullptr) {
        return low;
    }
    const bool isInteger = value->is_number_unsigned();
    if (!isInteger || value->get<std::uint64_t>() < low || value->get<std::uint64_t>() > high) {
        fail(key, fmt::format("must be an integer from {} to {}", low, high));
        return low;
    }
    return value->get<std::uint64_t>();
}

std::uint64_t ObjectReader::numberOr(const std::string &key, std::uint64_t fallback, std::uint64_t low,
                                     std::uint64_t high)
{
    if (find(key, false) == nullptr) {
        return fallback;
    }
    return number(key, low, high);
}

std::string ObjectReader::text(const std::string &key)
{
    const Json *value = find(key, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fail(key, "must be a string");
        return {};
    }
    return value->get<std::string>();
}

std::string ObjectReader::textOr(const std::string &key, std::string_view fallback)
{
    return find(key, false) == nullptr ? std::string(fallback) : text(key);
}

std::string ObjectReader::name(const std::string &key)
{
    std::string name = text(key);
    const absl::Status status = checkName(name);
    if (!status.ok()) {
        fail(key, toStd(status.message()));
    }
    return name;
}

const Json &ObjectReader::object(const std::string &key)
{
    const Json *value = find(key, true);
    if (value != nullptr && value->is_object()) {
        return *value;
    }
    fail(key, "must be an object");
    return emptyObject();
}

const Json &ObjectReader::objectOr(const std::string &key)
{
    return find(key, false) == nullptr ? emptyObject() : object(key);
}

const Json &ObjectReader::array(const std::string &key)
{
    const Json *value = find(key, true);
    if (value != nullptr && value->is_array()) {
        return *value;
    }
    fail(key, "must be an array");
    return emptyArray();
}

const Json &ObjectReader::arrayOr(const std::string &key)
{
    return find(key, false) == nullptr ? emptyArray() : array(key);
}

void ObjectReader::refuseOthers()
{
    for (const auto &it : m_object.items()) {
        if (!m_read.contains(it.key())) {
            fail(it.key(), "unknown key");
        }
    }
}

}
