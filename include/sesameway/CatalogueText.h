#pragma once

#include "sesameway/Catalogue.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace sesameway {

using CatalogueEntry = std::variant<Organisation, Service, KeyEntry, RouteEntry>;

// Prefix of object names in the store, which are PREFIX + KIND + '/' + NAME.
inline constexpr std::string_view kCataloguePrefix = "catalogue/";

// Describes what is wrong with an entry: the key in question and what was expected
// there.
struct EntryError
{
  // Path of the key such as `group.database.zone`; empty for the entry as a whole.
  std::string mKey;
  std::string mExpected;
  // Formats the error as `key=... expected="..."`, with `-` for an empty key.
  std::string Text() const;
  bool operator==(const EntryError&) const = default;
};

// Parses one entry from TOML, the format of both the files and the store. Rejects
// unknown keys, wrong types, values out of range and a name that differs from the
// object's.
tl::expected<CatalogueEntry, EntryError> ParseEntry(std::string_view aObjectName,
                                                    std::string_view aBody);

// An error in an entry that is valid by itself but inconsistent with other entries.
struct ReferenceError
{
  std::string mObject;
  EntryError mError;
};

// Finds references to entries that don't exist, and duplicate group names or key
// hashes.
std::vector<ReferenceError> CheckReferences(const Catalogue& aCatalogue);

// Whether a text is valid as the name of an entry, database, group or zone.
bool IsName(std::string_view aText);

std::string ObjectNameOf(const CatalogueEntry& aEntry);

// Formats the entry as TOML that ParseEntry accepts.
std::string TextOf(const KeyEntry& aEntry);

// Adds an entry to a catalogue that is being built.
void Insert(Catalogue& aCatalogue, CatalogueEntry aEntry);

// Returns the SHA-256 hash of a key in lower-case hex.
std::string HashKey(std::string_view aKey);

} // namespace sesameway
