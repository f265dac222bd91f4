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
  CPPUNIT_TEST(AGrantEndsWithItsKeyOrItsRoute);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a caller that goes on with a key that was withdrawn or given to
  // another organisation (review/5), and against one that is cut off for less.
  void AGrantEndsWithItsKeyOrItsRoute()
  {
    Catalogue catalogue;
    Insert(catalogue, KeyEntry{ "k", "o", "hash", false });
    Insert(catalogue, RouteEntry{ "r", "s", "g", {}, false, 0 });
    CallerGrant grant{ "r", "hash", "o" };
    CPPUNIT_ASSERT(FindWithdrawal(catalogue, grant) == Withdrawal::None);
    CPPUNIT_ASSERT(FindWithdrawal(catalogue, { "r", "", "" }) == Withdrawal::None);
    CPPUNIT_ASSERT(FindWithdrawal(catalogue, { "q", "hash", "o" }) ==
                   Withdrawal::RouteRemoved);
    auto moved = catalogue;
    moved.mKeys["k"].mOrganisation = "p";
    CPPUNIT_ASSERT(FindWithdrawal(moved, grant) == Withdrawal::KeyWithdrawn);
    auto withdrawn = catalogue;
    withdrawn.mKeys["k"].mWithdrawn = true;
    CPPUNIT_ASSERT(FindWithdrawal(withdrawn, grant) == Withdrawal::KeyWithdrawn);
    auto gone = catalogue;
    gone.mKeys.clear();
    gone.mKeyNamesByHash.clear();
    CPPUNIT_ASSERT(FindWithdrawal(gone, grant) == Withdrawal::KeyWithdrawn);
    // Whoever came without a known key needs none.
    CPPUNIT_ASSERT(FindWithdrawal(gone, { "r", "hash", "" }) == Withdrawal::None);
  }

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
