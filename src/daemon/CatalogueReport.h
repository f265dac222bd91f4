#pragma once

#include "daemon/CatalogueSync.h"

#include <string>

namespace sesameway::daemon {

// Describes the state of the catalogue for operators, in lines of key=value pairs.
std::string StatusText(const CatalogueState& aState);

// Explains, in a line of key=value pairs, whether a request on the route with the named
// key would be routed or refused, and why.
std::string ExplainText(const Catalogue& aCatalogue,
                        const std::string& aKeyName,
                        const std::string& aRoute,
                        bool aIsWrite,
                        bool aIsIsolated);

} // namespace sesameway::daemon
