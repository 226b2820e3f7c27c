/// Reading of the key that a caller states: the field Authorization with the scheme Bearer.
///
/// Load pattern: thousands of requests per second, among them ones with the field twice, with another scheme, without a
/// key or with a very long one. Use parseBearer() on the fields of each request, and removeCredentials() before the
/// request is passed on.
///
///     const Credential credential = parseBearer(head.headers);
///     removeCredentials(&head.headers);
#pragma once

#include "shallotrelay/messages.h"

#include <string>
#include <vector>

namespace shallotrelay
{

/// What a request states about its caller.
struct Credential {
    enum class Kind {
        None, ///< The request has no field for a key.
        Malformed, ///< The field occurs twice, has another scheme, or its value cannot be a key.
        Key, ///< The request states a key.
    };

    Kind kind = Kind::None; ///< Whether there is a key.
    std::string key; ///< The key; empty unless the kind is Key.
};

/// Returns the key that the fields state.
Credential parseBearer(const std::vector<HeaderField> &fields);

/// Removes each field that may hold a key and returns how many there were.
std::size_t removeCredentials(std::vector<HeaderField> *fields);

}
