#include "sesameway/CatalogueText.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class CatalogueSchemaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogueSchemaTest);
  CPPUNIT_TEST(ValidEntriesAreAccepted);
  CPPUNIT_TEST(InvalidEntriesAreRejectedWithKeyAndExpectation);
  CPPUNIT_TEST(OddEntriesEndNoProcess);
  CPPUNIT_TEST(DanglingReferencesAreFound);
  CPPUNIT_TEST(AKeyEntrySurvivesFormattingAndParsing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kService =
    "name = \"s\"\nowner = \"o\"\n[[group]]\nname = \"g\"\n"
    "[[group.database]]\nname = \"d\"\nzone = \"z\"\naddress = \"10.0.0.1:5\"\n";

  static std::string HashText() { return std::string(64, 'a'); }

  void ValidEntriesAreAccepted()
  {
    auto service = ParseEntry("catalogue/service/s", kService);
    CPPUNIT_ASSERT(service);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 3 },
                         std::get<Service>(*service).mGroups.at(0).mSlots);
    auto organisation = ParseEntry("catalogue/organisation/o",
                                   "name = \"o\"\nrate = 5\nburst = 2.5\nweight = 3\n");
    CPPUNIT_ASSERT(organisation);
    CPPUNIT_ASSERT_EQUAL(5.0, std::get<Organisation>(*organisation).mRate);
    auto route =
      ParseEntry("catalogue/route/r",
                 "name = \"r\"\nservice = \"s\"\ngroup = \"g\"\nopen = true\n");
    CPPUNIT_ASSERT(route);
  }

  // Guards against an entry of another writer that ends a process: one that is deeply
  // nested, or holds a number or port that is too large.
  void OddEntriesEndNoProcess()
  {
    std::string service = kService;
    auto address = service.find("10.0.0.1:5");
    auto withAddress = [&](const std::string& aText) {
      return std::string(service).replace(address, 10, aText);
    };
    constexpr std::size_t kDepth = 200'000;
    std::string tables;
    for (std::size_t n = 0; n < kDepth; ++n) {
      tables += "{a=";
    }
    const std::vector<std::string> bodies{
      service + "x = " + std::string(kDepth, '[') + std::string(kDepth, ']') + '\n',
      service + "x = " + std::string(kDepth, '[') + '\n',
      service + "x = " + tables + '\n',
      service + "slots = 99999999999999999999\n",
      service + "slots = 1e999\n",
      service + "slots = -1e999\n",
      withAddress("10.0.0.1:65536"),
      withAddress("10.0.0.1:-1"),
      withAddress("10.0.0.1:99999999999999999999"),
      withAddress("10.0.0.1:5x"),
    };
    for (const auto& it : bodies) {
      CPPUNIT_ASSERT_MESSAGE(it.substr(0, 200), !ParseEntry("catalogue/service/s", it));
    }
  }

  struct InvalidEntry
  {
    const char* mObject;
    std::string mBody;
    const char* mKey;
  };

  void InvalidEntriesAreRejectedWithKeyAndExpectation()
  {
    std::string organisation = "name = \"o\"\nrate = 1\nburst = 1\n";
    std::string route = "name = \"r\"\nservice = \"s\"\ngroup = \"g\"\n";
    std::string service = kService;
    const std::vector<InvalidEntry> cases{
      { "catalogue/organisation/o", organisation + "wieght = 2\n", "wieght" },
      { "catalogue/organisation/o", organisation + "weight = 0\n", "weight" },
      { "catalogue/organisation/o", organisation + "weight = 1.5\n", "weight" },
      { "catalogue/organisation/o", "name = \"o\"\nrate = -1\nburst = 1\n", "rate" },
      { "catalogue/organisation/o", "name = \"o\"\nrate = inf\nburst = 1\n", "rate" },
      { "catalogue/organisation/o", "name = \"o\"\nrate = \"1\"\nburst = 1\n", "rate" },
      { "catalogue/organisation/o", "name = \"o\"\nrate = 1\n", "burst" },
      { "catalogue/organisation/p", organisation, "name" },
      { "catalogue/organisation/o", "name = 3\n", "name" },
      { "catalogue/organisation/o", "name = \"o", "" },
      { "catalogue/tenant/o", organisation, "" },
      { "other/organisation/o", organisation, "" },
      { "catalogue/route/r", route, "organisations" },
      { "catalogue/route/r", route + "open = \"yes\"\n", "open" },
      { "catalogue/route/r", route + "organisations = [1]\n", "organisations" },
      { "catalogue/route/r", route + "open = true\nmax_age_ms = -1\n", "max_age_ms" },
      { "catalogue/key/k",
        "name = \"k\"\norganisation = \"o\"\nhash = \"AB\"\n",
        "hash" },
      { "catalogue/key/k",
        "name = \"k\"\norganisation = \"o\"\nhash = \"" + HashText() +
          "\"\nwithdrawn = 1\n",
        "withdrawn" },
      { "catalogue/service/s", "name = \"s\"\nowner = \"o\"\n", "group" },
      { "catalogue/service/s", "name = \"s\"\nowner = \"o\"\ngroup = [1]\n", "group" },
      { "catalogue/service/s", service + "port = 1\n", "group.database.port" },
      { "catalogue/service/s",
        "name = \"s\"\nowner = \"o\"\n[[group]]\nname = \"g\"\nslots = 65\n",
        "group.slots" },
      { "catalogue/service/s",
        service + "[[group.database]]\nname = \"d\"\nzone = \"z\"\n"
                  "address = \"10.0.0.2:5\"\n",
        "group.database.name" },
      { "catalogue/service/s",
        service + "[[group.database]]\nname = \"e\"\nzone = \"z\"\n"
                  "address = \"db.example:5\"\n",
        "group.database.address" },
    };
    for (const auto& it : cases) {
      auto entry = ParseEntry(it.mObject, it.mBody);
      CPPUNIT_ASSERT_MESSAGE(it.mBody, !entry);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.mBody, std::string(it.mKey), entry.error().mKey);
      CPPUNIT_ASSERT(!entry.error().mExpected.empty());
    }
  }

  void DanglingReferencesAreFound()
  {
    Catalogue catalogue;
    Insert(catalogue, *ParseEntry("catalogue/service/s", kService));
    Service duplicate = catalogue.mServices.at("s");
    duplicate.mName = "t";
    Insert(catalogue, duplicate);
    Insert(catalogue, KeyEntry{ "k", "nobody", HashText(), false });
    Insert(catalogue, KeyEntry{ "l", "nobody", HashText(), false });
    Insert(catalogue, RouteEntry{ "r", "none", "g", { "nobody" }, false, 0 });
    Insert(catalogue, RouteEntry{ "q", "s", "h", { "nobody" }, false, 0 });
    std::multimap<std::string, std::string> found;
    for (const auto& it : CheckReferences(catalogue)) {
      found.emplace(it.mObject, it.mError.mKey);
    }
    const std::multimap<std::string, std::string> expected{
      { "catalogue/service/t", "group.name" }, { "catalogue/key/k", "organisation" },
      { "catalogue/key/l", "organisation" },   { "catalogue/key/l", "hash" },
      { "catalogue/route/q", "group" },        { "catalogue/route/q", "organisations" },
      { "catalogue/route/r", "service" },
    };
    CPPUNIT_ASSERT(found == expected);
  }

  void AKeyEntrySurvivesFormattingAndParsing()
  {
    KeyEntry key{ "k", "o", HashText(), true };
    auto entry = ParseEntry("catalogue/key/k", TextOf(key));
    CPPUNIT_ASSERT(entry);
    CPPUNIT_ASSERT(std::get<KeyEntry>(*entry).mWithdrawn);
    CPPUNIT_ASSERT_EQUAL(key.mHash, std::get<KeyEntry>(*entry).mHash);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueSchemaTest);
