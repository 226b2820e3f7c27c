/// Names of firms, services, targets, nodes and data centres.
#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace shallotrelay
{

/// Checks that a name has 1 to 64 of the characters a-z, 0-9, '.', '_' and '-', and starts with a letter or digit.
absl::Status checkName(std::string_view text);

/// Names one service of one firm.
struct ServiceId {
    std::string firm; ///< The firm that owns the service.
    std::string service; ///< Name of the service within the firm.

    auto operator<=>(const ServiceId &other) const = default; // NOLINT(modernize-use-nullptr)

    /// Returns FIRM/SERVICE.
    std::string text() const;
};

}
