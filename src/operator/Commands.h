#pragma once

#include "operator/StoreClient.h"

#include <string>
#include <vector>

namespace sesameway::operators {

// Exit codes of sesamectl. kFailed also stands for a conflicting change in the store,
// and kBadUsage for an invalid entry file.
inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;
inline constexpr int kBadUsage = 2;

// Each of these functions runs one command, prints its result and returns the exit
// code.

// Checks the entry files, together with the store's entries unless `aStore` is null.
int Check(StoreClient* aStore, const std::string& aFolder);
int Diff(StoreClient& aStore, const std::string& aFolder);
int Apply(StoreClient& aStore, const std::string& aFolder);
int Remove(StoreClient& aStore, const std::string& aEntry);
// Prints the catalogue state of each daemon, and the store's revision unless `aStore`
// is null.
int Status(StoreClient* aStore, const std::vector<std::string>& aDaemons);
// Creates a key, stores its hash and prints the key.
int GiveKey(StoreClient& aStore,
            const std::string& aName,
            const std::string& aOrganisation);
// Withdraws a key and waits until each daemon has the change, at most 15 s.
int WithdrawKey(StoreClient& aStore,
                const std::string& aName,
                const std::vector<std::string>& aDaemons);
// Prints why each daemon would route or refuse a request on the route.
int Trace(const std::vector<std::string>& aDaemons,
          const std::string& aKeyName,
          const std::string& aRoute,
          bool aIsWrite);
// Prints one line for each metric of each daemon.
int ShowMetrics(const std::vector<std::string>& aDaemons);

} // namespace sesameway::operators
