#include "sesameway/CatalogueTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace sesameway;

namespace {

StoredObject Change(std::uint64_t aRevision, int aKind)
{
  StoredObject object{ "catalogue/organisation/o", aRevision, aRevision, {}, false };
  if (aKind == 0) {
    object.mDeleted = true;
  } else if (aKind == 1) {
    object.mBody = "name = \"o\"\nrate = \"bad\"\n";
  } else {
    object.mBody =
      "name = \"o\"\nburst = 1\nrate = " + std::to_string(aRevision) + "\n";
  }
  return object;
}

} // namespace

class CatalogueTablePropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogueTablePropertyTest);
  CPPUNIT_TEST(TheOrderOfChangesDoesNotMatter);
  CPPUNIT_TEST(AnInvalidEntryKeepsTheLastValidOneAndOtherEntries);
  CPPUNIT_TEST(APeerForwardsTheLastValidVersion);
  CPPUNIT_TEST(ObjectsMissingFromAListingAreRemoved);
  CPPUNIT_TEST_SUITE_END();

  void TheOrderOfChangesDoesNotMatter()
  {
    bool isHeld = rc::check("reordered and repeated changes", [] {
      auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
      std::vector<StoredObject> changes;
      for (std::size_t n = 0; n < kinds.size(); ++n) {
        changes.push_back(Change(n + 1, kinds[n]));
      }
      CatalogueTable inOrder;
      std::uint64_t good = 0;
      for (const auto& it : changes) {
        inOrder.Apply(it);
        good = kinds[it.mRevision - 1] == 1 ? good : it.mRevision;
      }
      RC_ASSERT(inOrder.RevisionOf("catalogue/organisation/o") == good);
      std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
      auto mixed = changes;
      mixed.insert(mixed.end(), changes.begin(), changes.end());
      std::shuffle(mixed.begin(), mixed.end(), random);
      CatalogueTable table;
      std::uint64_t known = 0;
      for (const auto& it : mixed) {
        table.Apply(it);
        auto revision = table.RevisionOf(it.mName);
        RC_ASSERT(revision >= known);
        known = revision;
      }
      RC_ASSERT(known == good);
      auto left = inOrder.Build();
      auto right = table.Build();
      RC_ASSERT(left.mOrganisations.size() == right.mOrganisations.size());
      if (!left.mOrganisations.empty()) {
        RC_ASSERT(left.mOrganisations.at("o").mRate ==
                  right.mOrganisations.at("o").mRate);
      }
    });
    CPPUNIT_ASSERT(isHeld);
  }

  void AnInvalidEntryKeepsTheLastValidOneAndOtherEntries()
  {
    CatalogueTable table;
    table.Apply(Change(1, 2));
    table.Apply({ "catalogue/organisation/p",
                  1,
                  2,
                  "name = \"p\"\nburst = 1\nrate = 9\n",
                  false });
    table.Apply(Change(3, 1));
    auto catalogue = table.Build();
    CPPUNIT_ASSERT_EQUAL(1.0, catalogue.mOrganisations.at("o").mRate);
    CPPUNIT_ASSERT_EQUAL(9.0, catalogue.mOrganisations.at("p").mRate);
    auto rejections = table.Rejections();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rejections.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, rejections[0].mVersion);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, rejections[0].mVersionInForce);
    CPPUNIT_ASSERT_EQUAL(std::string("rate"), rejections[0].mError.mKey);
    table.Apply(Change(4, 2));
    CPPUNIT_ASSERT(table.Rejections().empty());
  }

  void APeerForwardsTheLastValidVersion()
  {
    CatalogueTable old;
    old.Apply(Change(1, 2));
    old.Apply(Change(2, 1));
    CatalogueTable started;
    started.ApplyListing({ Change(2, 1) }, 2);
    CPPUNIT_ASSERT(started.Build().mOrganisations.empty());
    started.ApplyDelta(started.Revision(), old.Revision(), old.ChangesSince(2));
    CPPUNIT_ASSERT_EQUAL(1.0, started.Build().mOrganisations.at("o").mRate);
  }

  void ObjectsMissingFromAListingAreRemoved()
  {
    CatalogueTable table;
    table.Apply(Change(1, 2));
    table.ApplyListing({}, 5);
    CPPUNIT_ASSERT(table.Build().mOrganisations.empty());
    CPPUNIT_ASSERT(!table.Apply(Change(1, 2)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueTablePropertyTest);
