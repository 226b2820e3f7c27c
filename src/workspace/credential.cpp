#include "shallotrelay/workspace/credential.h"

#include "base/text.h"
#include "shallotrelay/bundle/workspace.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr std::string_view CredentialField = "Authorization";
constexpr std::string_view Scheme = "Bearer";

bool holdsCredential(const HeaderField &field)
{
    return absl::EqualsIgnoreCase(field.name, toAbsl(CredentialField));
}

bool mayBeInKey(char c)
{
    return !absl::ascii_isspace(static_cast<unsigned char>(c)) && !absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

Credential parseValue(absl::string_view value)
{
    Credential out;
    out.kind = Credential::Kind::Malformed;
    value = absl::StripAsciiWhitespace(value);
    const std::size_t schemeEnd = value.find_first_of(" \t");
    if (schemeEnd == absl::string_view::npos || !absl::EqualsIgnoreCase(value.substr(0, schemeEnd), toAbsl(Scheme))) {
        return out;
    }
    const absl::string_view key = absl::StripLeadingAsciiWhitespace(value.substr(schemeEnd));
    if (key.empty() || key.size() > MaxKeyBytes || !std::all_of(key.begin(), key.end(), mayBeInKey)) {
        return out;
    }
    out.kind = Credential::Kind::Key;
    out.key = std::string(key);
    return out;
}

}

Credential parseBearer(const std::vector<HeaderField> &fields)
{
    const auto first = std::find_if(fields.begin(), fields.end(), holdsCredential);
    if (first == fields.end()) {
        return {};
    }
    if (std::any_of(first + 1, fields.end(), holdsCredential)) {
        return {Credential::Kind::Malformed, ""};
    }
    return parseValue(first->value);
}

std::size_t removeCredentials(std::vector<HeaderField> *fields)
{
    return std::erase_if(*fields, holdsCredential);
}

}
