#include "shallotrelay/base/name.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr std::size_t MaxNameBytes = 64;

bool isLetterOrDigit(char c)
{
    const bool letter = c >= 'a' && c <= 'z';
    const bool digit = c >= '0' && c <= '9';
    return letter || digit;
}

bool isNameCharacter(char c)
{
    return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
}

}

absl::Status checkName(std::string_view text)
{
    const bool validLength = !text.empty() && text.size() <= MaxNameBytes;
    if (!validLength || !std::all_of(text.begin(), text.end(), isNameCharacter)) {
        return absl::InvalidArgumentError("must have 1 to 64 characters from a-z 0-9 . _ -");
    }
    if (!isLetterOrDigit(text.front())) {
        return absl::InvalidArgumentError("must start with a letter or a digit");
    }
    return absl::OkStatus();
}

std::string ServiceId::text() const
{
    return firm + "/" + service;
}

}
