#include "sesameway/CatalogueText.h"

#include <openssl/sha.h>
#include <toml++/toml.h>

#include <array>

namespace sesameway {

std::string EntryError::Text() const
{
  return "key=" + (mKey.empty() ? std::string("-") : mKey) + " expected=\"" +
         mExpected + '"';
}

std::string ObjectNameOf(const CatalogueEntry& aEntry)
{
  struct Visitor
  {
    std::string operator()(const Organisation& aIt) const
    {
      return "organisation/" + aIt.mName;
    }
    std::string operator()(const Service& aIt) const { return "service/" + aIt.mName; }
    std::string operator()(const KeyEntry& aIt) const { return "key/" + aIt.mName; }
    std::string operator()(const RouteEntry& aIt) const { return "route/" + aIt.mName; }
  };
  return std::string(kCataloguePrefix) + std::visit(Visitor{}, aEntry);
}

std::string TextOf(const KeyEntry& aEntry)
{
  std::string text = "name = \"" + aEntry.mName + "\"\n";
  text += "organisation = \"" + aEntry.mOrganisation + "\"\n";
  text += "hash = \"" + aEntry.mHash + "\"\n";
  if (aEntry.mWithdrawn) {
    text += "withdrawn = true\n";
  }
  return text;
}

void Insert(Catalogue& aCatalogue, CatalogueEntry aEntry)
{
  struct Visitor
  {
    Catalogue& mTo;
    void operator()(Organisation& aIt)
    {
      mTo.mOrganisations[aIt.mName] = std::move(aIt);
    }
    void operator()(Service& aIt) { mTo.mServices[aIt.mName] = std::move(aIt); }
    void operator()(KeyEntry& aIt)
    {
      // If two entries have the same hash, withdrawing either one withdraws the key.
      auto [it, isNew] = mTo.mKeyNamesByHash.try_emplace(aIt.mHash, aIt.mName);
      if (!isNew && aIt.mWithdrawn) {
        it->second = aIt.mName;
      }
      mTo.mKeys[aIt.mName] = std::move(aIt);
    }
    void operator()(RouteEntry& aIt) { mTo.mRoutes[aIt.mName] = std::move(aIt); }
  };
  std::visit(Visitor{ aCatalogue }, aEntry);
}

std::string HashKey(std::string_view aKey)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(
    reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest.data());
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text;
  for (unsigned char it : digest) {
    text += kHex[it >> 4];
    text += kHex[it & 15];
  }
  return text;
}

} // namespace sesameway
