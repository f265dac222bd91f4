#include "sesameway/CatalogueText.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>

namespace sesameway {

namespace {

using Result = tl::expected<CatalogueEntry, EntryError>;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxTextBytes = 256;
constexpr std::size_t kHashBytes = 64;
constexpr std::size_t kMaxDatabases = 9;
constexpr std::uint64_t kMaxSlots = 64;
constexpr std::uint64_t kMaxConnections = 10'000;
constexpr std::uint64_t kMaxWeight = 1'000;
constexpr std::uint64_t kMaxAgeMs = 86'400'000;
constexpr std::uint64_t kMicrosPerMilli = 1'000;
constexpr double kMaxRate = 1e9;

bool IsAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  auto host = aText.substr(0, colon);
  bool isIp = host.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
  unsigned port = 0;
  const char* end = aText.data() + aText.size();
  auto [rest, ec] = std::from_chars(aText.data() + colon + 1, end, port);
  return isIp && ec == std::errc() && rest == end && port > 0 && port <= 65'535;
}

bool IsHash(const std::string& aText)
{
  return aText.size() == kHashBytes &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Reads the keys of one TOML table. Records the first error, and the keys that were
// read in order to detect unknown ones.
class TableReader
{
public:
  TableReader(const toml::table& aTable,
              std::string aPath,
              std::optional<EntryError>& aError)
    : mTable(aTable)
    , mPath(std::move(aPath))
    , mError(aError)
  {
  }

  std::string Name(const char* aKey)
  {
    auto text = Text(aKey, "a name of letters, digits, '.', '_' and '-', 1 to 64 long");
    if (!IsName(text)) {
      Fail(aKey, "a name of letters, digits, '.', '_' and '-', 1 to 64 long");
    }
    return text;
  }

  std::string Text(const char* aKey, const char* aExpected)
  {
    const auto* node = Find(aKey);
    const auto* value = node ? node->as_string() : nullptr;
    if (!value || value->get().empty() || value->get().size() > kMaxTextBytes) {
      Fail(aKey, aExpected);
      return {};
    }
    return value->get();
  }

  double Number(const char* aKey, double aMost)
  {
    const auto* node = Find(aKey);
    auto value = node && node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value <= 0 || *value > aMost) {
      Fail(aKey, "a number above 0, at most 1e9");
      return 0;
    }
    return *value;
  }

  std::uint64_t Count(const char* aKey,
                      std::uint64_t aDefault,
                      std::uint64_t aLeast,
                      std::uint64_t aMost)
  {
    const auto* node = Find(aKey);
    if (!node) {
      return aDefault;
    }
    const auto* value = node->as_integer();
    bool isIn = value && value->get() >= static_cast<std::int64_t>(aLeast) &&
                value->get() <= static_cast<std::int64_t>(aMost);
    if (!isIn) {
      Fail(aKey,
           "an integer from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
      return aDefault;
    }
    return value->get();
  }

  bool Flag(const char* aKey)
  {
    const auto* node = Find(aKey);
    if (!node) {
      return false;
    }
    const auto* value = node->as_boolean();
    if (!value) {
      Fail(aKey, "true or false");
      return false;
    }
    return value->get();
  }

  std::vector<std::string> Names(const char* aKey)
  {
    std::vector<std::string> names;
    const auto* node = Find(aKey);
    if (!node) {
      return names;
    }
    const auto* array = node->as_array();
    if (!array) {
      Fail(aKey, "an array of names");
      return names;
    }
    for (const auto& it : *array) {
      const auto* value = it.as_string();
      if (!value || !IsName(value->get())) {
        Fail(aKey, "an array of names");
        return {};
      }
      names.push_back(value->get());
    }
    return names;
  }

  // Calls `aRead` with a reader for each table of the array, which must not be empty.
  template<typename Function>
  void Tables(const char* aKey, std::size_t aMost, Function aRead)
  {
    const auto* node = Find(aKey);
    const auto* array = node ? node->as_array() : nullptr;
    if (!array || array->empty() || array->size() > aMost) {
      Fail(aKey,
           "an array of 1 to " + std::to_string(aMost) + " tables, [[" + PathOf(aKey) +
             "]]");
      return;
    }
    for (const auto& it : *array) {
      const auto* table = it.as_table();
      if (!table) {
        Fail(aKey, "an array of tables, [[" + PathOf(aKey) + "]]");
        return;
      }
      TableReader reader(*table, PathOf(aKey) + ".", mError);
      aRead(reader);
      reader.RejectUnknownKeys();
    }
  }

  // Reports an error if the table has a key that was not read.
  void RejectUnknownKeys()
  {
    for (const auto& it : mTable) {
      std::string key(it.first.str());
      if (!mKnown.contains(key)) {
        Fail(key, "no such key here");
      }
    }
  }

  void Fail(const std::string& aKey, std::string aExpected)
  {
    if (!mError) {
      mError = EntryError{ PathOf(aKey), std::move(aExpected) };
    }
  }

private:
  const toml::node* Find(const char* aKey)
  {
    mKnown.insert(aKey);
    return mTable.get(aKey);
  }
  std::string PathOf(const std::string& aKey) const { return mPath + aKey; }

  const toml::table& mTable;
  std::string mPath;
  std::optional<EntryError>& mError;
  std::set<std::string> mKnown;
};

CatalogueEntry ReadOrganisation(TableReader& aReader)
{
  Organisation to;
  to.mName = aReader.Name("name");
  to.mRate = aReader.Number("rate", kMaxRate);
  to.mBurst = aReader.Number("burst", kMaxRate);
  to.mWeight = aReader.Count("weight", to.mWeight, 1, kMaxWeight);
  return to;
}

DatabaseEntry ReadDatabase(TableReader& aReader)
{
  DatabaseEntry to;
  to.mName = aReader.Name("name");
  to.mZone = aReader.Name("zone");
  to.mAddress = aReader.Text("address", "IP:port");
  if (!IsAddress(to.mAddress)) {
    aReader.Fail("address", "IP:port");
  }
  return to;
}

Group ReadGroup(TableReader& aReader)
{
  Group to;
  to.mName = aReader.Name("name");
  to.mSlots = aReader.Count("slots", to.mSlots, 1, kMaxSlots);
  to.mConnections = aReader.Count("connections", to.mConnections, 1, kMaxConnections);
  aReader.Tables("database", kMaxDatabases, [&](TableReader& aDatabase) {
    auto database = ReadDatabase(aDatabase);
    for (const auto& it : to.mDatabases) {
      if (it.mName == database.mName) {
        aDatabase.Fail("name", "a name that is unique in the group");
      }
      if (it.mAddress == database.mAddress) {
        aDatabase.Fail("address", "an address that is unique in the group");
      }
    }
    to.mDatabases.push_back(std::move(database));
  });
  return to;
}

CatalogueEntry ReadService(TableReader& aReader)
{
  constexpr std::size_t kMaxGroups = 1'000;
  Service to;
  to.mName = aReader.Name("name");
  to.mOwner = aReader.Text("owner", "a string of 1 to 256 bytes");
  aReader.Tables("group", kMaxGroups, [&](TableReader& aGroup) {
    to.mGroups.push_back(ReadGroup(aGroup));
  });
  return to;
}

CatalogueEntry ReadKey(TableReader& aReader)
{
  KeyEntry to;
  to.mName = aReader.Name("name");
  to.mOrganisation = aReader.Name("organisation");
  to.mHash = aReader.Text("hash", "SHA-256 as 64 lower-case hex digits");
  if (!IsHash(to.mHash)) {
    aReader.Fail("hash", "SHA-256 as 64 lower-case hex digits");
  }
  to.mWithdrawn = aReader.Flag("withdrawn");
  return to;
}

CatalogueEntry ReadRoute(TableReader& aReader)
{
  RouteEntry to;
  to.mName = aReader.Name("name");
  to.mService = aReader.Name("service");
  to.mGroup = aReader.Name("group");
  to.mOrganisations = aReader.Names("organisations");
  to.mOpen = aReader.Flag("open");
  to.mMaxAgeUs = aReader.Count("max_age_ms", 0, 0, kMaxAgeMs) * kMicrosPerMilli;
  if (!to.mOpen && to.mOrganisations.empty()) {
    aReader.Fail("organisations", "at least one name, or open = true");
  }
  return to;
}

using ReadFunction = CatalogueEntry (*)(TableReader&);

ReadFunction ReaderOf(std::string_view aKind)
{
  if (aKind == "organisation") {
    return &ReadOrganisation;
  }
  if (aKind == "service") {
    return &ReadService;
  }
  if (aKind == "key") {
    return &ReadKey;
  }
  if (aKind == "route") {
    return &ReadRoute;
  }
  return nullptr;
}

void CheckService(const Service& aService,
                  std::map<std::string, std::string>& aOwners,
                  std::vector<ReferenceError>& aErrors)
{
  auto object = ObjectNameOf(aService);
  for (const auto& it : aService.mGroups) {
    auto [known, isNew] = aOwners.try_emplace(it.mName, object);
    if (!isNew) {
      aErrors.push_back(
        { object,
          { "group.name",
            "a unique name; " + it.mName + " is also used in " + known->second } });
    }
  }
}

void CheckRoute(const Catalogue& aCatalogue,
                const RouteEntry& aRoute,
                std::vector<ReferenceError>& aErrors)
{
  auto object = ObjectNameOf(aRoute);
  auto service = aCatalogue.mServices.find(aRoute.mService);
  if (service == aCatalogue.mServices.end()) {
    aErrors.push_back(
      { object,
        { "service", "an existing service entry; there is no " + aRoute.mService } });
    return;
  }
  const auto& groups = service->second.mGroups;
  bool hasGroup = std::any_of(groups.begin(), groups.end(), [&](const Group& aGroup) {
    return aGroup.mName == aRoute.mGroup;
  });
  if (!hasGroup) {
    aErrors.push_back(
      { object,
        { "group",
          "a group of " + aRoute.mService + "; it has no " + aRoute.mGroup } });
  }
  for (const auto& it : aRoute.mOrganisations) {
    if (!aCatalogue.FindOrganisation(it)) {
      aErrors.push_back(
        { object,
          { "organisations", "existing organisation entries; there is no " + it } });
    }
  }
}

} // namespace

bool IsName(std::string_view aText)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         aText.find_first_not_of(kAllowed) == std::string_view::npos;
}

Result ParseEntry(std::string_view aObjectName, std::string_view aBody)
{
  if (!aObjectName.starts_with(kCataloguePrefix)) {
    return tl::unexpected(
      EntryError{ "", "an object name of the form catalogue/KIND/NAME" });
  }
  auto rest = aObjectName.substr(kCataloguePrefix.size());
  auto read = ReaderOf(rest.substr(0, rest.find('/')));
  if (!read) {
    return tl::unexpected(
      EntryError{ "", "one of the kinds organisation, service, key and route" });
  }
  toml::table table;
  try {
    table = toml::parse(aBody);
  } catch (const toml::parse_error& error) {
    return tl::unexpected(EntryError{ "",
                                      "TOML; line " +
                                        std::to_string(error.source().begin.line) +
                                        ": " + std::string(error.description()) });
  }
  std::optional<EntryError> error;
  TableReader reader(table, "", error);
  auto entry = read(reader);
  reader.RejectUnknownKeys();
  if (error) {
    return tl::unexpected(std::move(*error));
  }
  if (ObjectNameOf(entry) != aObjectName) {
    return tl::unexpected(EntryError{
      "name", "the name that matches the object, " + std::string(aObjectName) });
  }
  return entry;
}

std::vector<ReferenceError> CheckReferences(const Catalogue& aCatalogue)
{
  std::vector<ReferenceError> errors;
  std::map<std::string, std::string> groupOwners;
  for (const auto& it : aCatalogue.mServices) {
    CheckService(it.second, groupOwners, errors);
  }
  std::map<std::string, std::string> hashOwners;
  for (const auto& it : aCatalogue.mKeys) {
    const auto& key = it.second;
    if (!aCatalogue.FindOrganisation(key.mOrganisation)) {
      errors.push_back(
        { ObjectNameOf(key),
          { "organisation",
            "an existing organisation entry; there is no " + key.mOrganisation } });
    }
    auto [known, isNew] = hashOwners.try_emplace(key.mHash, key.mName);
    if (!isNew) {
      errors.push_back(
        { ObjectNameOf(key),
          { "hash", "a unique hash; key " + known->second + " has the same" } });
    }
  }
  for (const auto& it : aCatalogue.mRoutes) {
    CheckRoute(aCatalogue, it.second, errors);
  }
  return errors;
}

} // namespace sesameway
