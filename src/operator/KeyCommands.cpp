#include "operator/Commands.h"
#include "operator/DaemonClient.h"
#include "sesameway/CatalogueText.h"

#include <openssl/rand.h>

#include <array>
#include <iostream>
#include <set>
#include <thread>

namespace sesameway::operators {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr int kWithdrawAttempts = 10;
constexpr Duration kWaitLimit = seconds(15);
constexpr Duration kPollInterval = milliseconds(50);

std::string KeyObject(const std::string& aName)
{
  return std::string(kCataloguePrefix) + "key/" + aName;
}

// Returns a new random key in hex; empty if the system returned no random bytes.
std::string MakeKey()
{
  std::array<unsigned char, kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    return {};
  }
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string key;
  for (unsigned char it : bytes) {
    key += kHex[it >> 4];
    key += kHex[it & 15];
  }
  return key;
}

bool EntryExists(const std::optional<platform::Object>& aObject)
{
  return aObject && aObject->mVersion > 0 && !aObject->mDeleted;
}

// Polls the daemons until each has the revision, for kWaitLimit at most. Prints for
// each daemon how long that took, or that it does not have the revision.
int WaitUntilInForce(std::uint64_t aRevision, const std::vector<std::string>& aDaemons)
{
  auto begin = Clock::now();
  auto limit = begin + kWaitLimit;
  std::set<std::string> left(aDaemons.begin(), aDaemons.end());
  while (!left.empty() && Clock::now() < limit) {
    for (const auto& it : std::set<std::string>(left)) {
      auto text = DaemonClient(it).Status();
      auto revision = text ? ValueOf(*text, "revision") : std::string();
      if (!revision.empty() && std::stoull(revision) >= aRevision) {
        auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
        std::cout << "daemon=" << it << " in_force=yes revision=" << revision
                  << " after_ms=" << age.count() << std::endl;
        left.erase(it);
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const auto& it : left) {
    auto text = DaemonClient(it).Status();
    auto isolated = text ? ValueOf(*text, "isolated") : std::string("unknown");
    std::cout << "daemon=" << it << " in_force=no isolated=" << isolated << '\n';
  }
  return left.empty() ? kDone : kFailed;
}

} // namespace

int GiveKey(StoreClient& aStore,
            const std::string& aName,
            const std::string& aOrganisation)
{
  if (!IsName(aName) || !IsName(aOrganisation)) {
    std::cerr << "sesamectl: a name consists of letters, digits, '.', '_' and '-'\n";
    return kBadUsage;
  }
  auto organisation =
    aStore.Get(std::string(kCataloguePrefix) + "organisation/" + aOrganisation);
  auto known = aStore.Get(KeyObject(aName));
  if (!organisation || !known) {
    std::cerr << "sesamectl: no answer from the store\n";
    return kFailed;
  }
  if (!EntryExists(organisation)) {
    std::cerr << "sesamectl: organisation " << aOrganisation << " does not exist\n";
    return kBadUsage;
  }
  if (EntryExists(known)) {
    std::cerr << "object=" << KeyObject(aName)
              << " change=conflict read_version=0 store_version=" << known->mVersion
              << '\n';
    return kFailed;
  }
  auto key = MakeKey();
  if (key.empty()) {
    std::cerr << "sesamectl: the system returned no random bytes\n";
    return kFailed;
  }
  KeyEntry entry{ aName, aOrganisation, HashKey(key), false };
  auto result = aStore.Put(KeyObject(aName), TextOf(entry), known->mVersion);
  if (result.mChange != Change::Applied) {
    bool isConflict = result.mChange == Change::Conflict;
    std::cerr << "object=" << KeyObject(aName)
              << " change=" << (isConflict ? "conflict" : "unknown")
              << " read_version=" << known->mVersion
              << " store_version=" << result.mObject.mVersion << '\n';
    return kFailed;
  }
  std::cout << "object=" << KeyObject(aName)
            << " change=applied version=" << result.mObject.mVersion
            << " revision=" << result.mObject.mRevision << "\nkey=" << key << '\n';
  return kDone;
}

int WithdrawKey(StoreClient& aStore,
                const std::string& aName,
                const std::vector<std::string>& aDaemons)
{
  // A withdrawal is right whatever else has changed in the entry, so after a conflict
  // it is tried again on the new version.
  for (int n = 0; n < kWithdrawAttempts; ++n) {
    auto object = aStore.Get(KeyObject(aName));
    if (!object) {
      std::cerr << "sesamectl: no answer from the store\n";
      return kFailed;
    }
    if (!EntryExists(object)) {
      std::cerr << "sesamectl: key " << aName << " does not exist\n";
      return kBadUsage;
    }
    auto entry = ParseEntry(KeyObject(aName), object->mBody);
    if (!entry) {
      std::cerr << "sesamectl: the entry in the store is invalid: "
                << entry.error().Text() << "; remove key/" << aName << " instead\n";
      return kFailed;
    }
    auto key = std::get<KeyEntry>(*entry);
    ChangeResult result{ Change::Applied, *object };
    if (!key.mWithdrawn) {
      key.mWithdrawn = true;
      result = aStore.Put(KeyObject(aName), TextOf(key), object->mVersion);
    }
    if (result.mChange == Change::Unknown && result.mObject.mVersion == 0) {
      break;
    }
    if (result.mChange == Change::Applied) {
      std::cout << "object=" << KeyObject(aName)
                << " change=withdrawn version=" << result.mObject.mVersion
                << " revision=" << result.mObject.mRevision << std::endl;
      return WaitUntilInForce(result.mObject.mRevision, aDaemons);
    }
  }
  std::cerr << "object=" << KeyObject(aName) << " change=unknown; run it again\n";
  return kFailed;
}

} // namespace sesameway::operators
