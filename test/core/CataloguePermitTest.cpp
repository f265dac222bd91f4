#include "sesameway/CataloguePermit.h"

#include "sesameway/CatalogueText.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace sesameway;

class CataloguePermitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CataloguePermitTest);
  CPPUNIT_TEST(AKeyPermitsOnlyRoutesOpenToItsOrganisation);
  CPPUNIT_TEST(AWithdrawnKeyTakesPrecedenceOverOneWithTheSameHash);
  CPPUNIT_TEST_SUITE_END();

  void AKeyPermitsOnlyRoutesOpenToItsOrganisation()
  {
    bool isHeld = rc::check("permission over random catalogues", [] {
      std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
      auto pick = [&random](const char* aPrefix) {
        return aPrefix + std::to_string(random() % 3);
      };
      Catalogue catalogue;
      for (int n = 0; n < 3; ++n) {
        Insert(catalogue, Organisation{ pick("o"), 1, 1, 1 });
        bool isOpen = random() % 3 == 0;
        Insert(catalogue, RouteEntry{ pick("r"), "s", "g", { pick("o") }, isOpen, 0 });
      }
      KeyEntry key{ "k", pick("o"), "hash", random() % 4 == 0 };
      auto route = pick("r");
      bool isIsolated = random() % 3 == 0;
      auto permission = Authorise(catalogue, route, &key, isIsolated);
      bool isPermitted = permission.mReason == Reason::None;
      const auto* entry = catalogue.FindRoute(route);
      bool shouldPermit = false;
      if (entry) {
        const auto& names = entry->mOrganisations;
        bool isListed =
          std::find(names.begin(), names.end(), key.mOrganisation) != names.end();
        shouldPermit = !key.mWithdrawn && (entry->mOpen || (isListed && !isIsolated)) &&
                       catalogue.FindOrganisation(key.mOrganisation);
      }
      RC_ASSERT(isPermitted == shouldPermit);
      if (isPermitted) {
        RC_ASSERT(permission.mOrganisation->mName == key.mOrganisation);
      }
      RC_ASSERT(Authorise(catalogue, route, nullptr, isIsolated).mReason !=
                Reason::None);
    });
    CPPUNIT_ASSERT(isHeld);
  }

  void AWithdrawnKeyTakesPrecedenceOverOneWithTheSameHash()
  {
    for (bool isFirstWithdrawn : { false, true }) {
      Catalogue catalogue;
      Insert(catalogue, KeyEntry{ "a", "o", "hash", isFirstWithdrawn });
      Insert(catalogue, KeyEntry{ "b", "o", "hash", !isFirstWithdrawn });
      CPPUNIT_ASSERT(catalogue.FindKeyByHash("hash")->mWithdrawn);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CataloguePermitTest);
