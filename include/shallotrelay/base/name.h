/// Validation of the names of firms, services, targets, nodes and data centres, and the identifier of a service.
#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace shallotrelay
{

/// Returns OK if a name has 1 to 64 of the characters a-z, 0-9, '.', '_' and '-' and starts with a letter or digit,
/// else an InvalidArgument error.
absl::Status checkName(std::string_view text);

/// Identifies a service of a firm.
struct ServiceId {
    std::string firm; ///< The firm that owns the service.
    std::string service; ///< Name of the service within the firm.

    auto operator<=>(const ServiceId &other) const = default; // NOLINT(modernize-use-nullptr)

    /// Returns the identifier as "FIRM/SERVICE".
    std::string text() const;
};

}
