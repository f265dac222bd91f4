#include "daemon/CatalogueReport.h"

#include "daemon/Log.h"
#include "sesameway/CataloguePermit.h"

namespace sesameway::daemon {

namespace {

const char* YesOrNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string DetailOf(const Permission& aPermission,
                     const KeyEntry* aKey,
                     const std::string& aRoute)
{
  switch (aPermission.mReason) {
    case Reason::UnknownRoute:
      return "there is no route entry named " + aRoute;
    case Reason::KeyRefused:
      return aKey ? "the key is withdrawn" : "there is no key entry with this name";
    case Reason::Isolated:
      return "this daemon has lost contact with the store and with every daemon that "
             "reaches it";
    case Reason::NotPermitted:
      return aPermission.mOrganisation
               ? "the route does not permit organisation " + aKey->mOrganisation
               : "there is no organisation entry named " + aKey->mOrganisation;
    default:
      return {};
  }
}

} // namespace

std::string StatusText(const CatalogueState& aState)
{
  auto age = std::chrono::duration_cast<milliseconds>(aState.mContactAge).count();
  std::string text = LogLine("catalogue")
                       .With("revision", aState.mRevision)
                       .With("serving", YesOrNo(aState.mIsServing))
                       .With("reader", YesOrNo(aState.mIsReader))
                       .With("isolated", YesOrNo(aState.mIsIsolated))
                       .With("contact_age_ms", aState.mIsServing ? age : -1)
                       .With("members", aState.mMembers)
                       .With("rejected", aState.mRejections.size())
                       .Text() +
                     '\n';
  for (const auto& it : aState.mRejections) {
    text += LogLine("rejected")
              .With("object", it.mObject)
              .With("version", it.mVersion)
              .With("version_in_force", it.mVersionInForce)
              .With("key", it.mError.mKey)
              .With("expected", it.mError.mExpected)
              .Text() +
            '\n';
  }
  return text;
}

std::string ExplainText(const Catalogue& aCatalogue,
                        const std::string& aKeyName,
                        const std::string& aRoute,
                        bool aIsWrite,
                        bool aIsIsolated)
{
  auto it = aCatalogue.mKeys.find(aKeyName);
  const auto* key = it == aCatalogue.mKeys.end() ? nullptr : &it->second;
  auto permission = Authorise(aCatalogue, aRoute, key, aIsIsolated);
  LogLine line("trace");
  line.With("revision", aCatalogue.mRevision)
    .With("route", aRoute)
    .With("key_name", aKeyName);
  if (permission.mReason != Reason::None) {
    line.With("decision", "refused")
      .With("reason", kReasonNames.Name(permission.mReason))
      .With("detail", DetailOf(permission, key, aRoute));
    return line.Text() + '\n';
  }
  const auto& route = *permission.mRoute;
  const auto* group = aCatalogue.FindGroup(route.mGroup);
  if (!group) {
    line.With("decision", "refused")
      .With("reason", kReasonNames.Name(Reason::NotReady))
      .With("detail", "no service entry contains group " + route.mGroup);
    return line.Text() + '\n';
  }
  bool mayUseReplica = !aIsWrite && route.mMaxAgeUs > 0;
  line.With("decision", "routed")
    .With("organisation", permission.mOrganisation->mName)
    .With("rate", permission.mOrganisation->mRate)
    .With("burst", permission.mOrganisation->mBurst)
    .With("service", route.mService)
    .With("group", route.mGroup)
    .With("databases", group->mDatabases.size())
    .With("to", mayUseReplica ? "replica_or_primary" : "primary")
    .With("cause",
          aIsWrite              ? "write"
          : route.mMaxAgeUs > 0 ? "age_allowed"
                                : "no_age_allowed")
    .With("max_age_ms", route.mMaxAgeUs / 1000);
  return line.Text() + '\n';
}

} // namespace sesameway::daemon
