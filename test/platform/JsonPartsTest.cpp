#include "JsonParts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sesameway::platform;

class JsonPartsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JsonPartsTest);
  CPPUNIT_TEST(ValuesAreSplitAsWritten);
  CPPUNIT_TEST(QuotesAndBracketsMustMatch);
  CPPUNIT_TEST(NestingIsCountedOutsideStrings);
  CPPUNIT_TEST(EveryArrayIsSplitIntoItsElements);
  CPPUNIT_TEST(NoTextEndsTheProcess);
  CPPUNIT_TEST_SUITE_END();

  void ValuesAreSplitAsWritten()
  {
    auto members =
      SplitObject(" { \"a\" : [1, {\"b\":2}] ,\"c\":\"x,}\\\"]\", \"d\":1e999}\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, members->size());
    CPPUNIT_ASSERT(members->at("a") == "[1, {\"b\":2}]");
    CPPUNIT_ASSERT(members->at("c") == "\"x,}\\\"]\"");
    CPPUNIT_ASSERT(members->at("d") == "1e999");
    CPPUNIT_ASSERT(SplitArray(members->at("a"))->size() == 2);
    CPPUNIT_ASSERT(SplitArray("[]")->empty());
    CPPUNIT_ASSERT(SplitObject("{ }")->empty());
  }

  void QuotesAndBracketsMustMatch()
  {
    for (const char* it : { "", "[", "[1", "[\"]", "[1]]", "[[1]", "{}", "[\"\\\"]" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !SplitArray(it));
    }
    for (const char* it : { "", "{", "{a}", "{\"a\"}", "{\"a\" 1}", "[]", "{\"a:1}" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !SplitObject(it));
    }
  }

  void NestingIsCountedOutsideStrings()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, NestingOf("\"[[[\""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, NestingOf("[1,[2],[3]]"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1'000'000 },
                         NestingOf(std::string(1'000'000, '[')));
  }

  void EveryArrayIsSplitIntoItsElements()
  {
    bool isHeld = rc::check("the parts of an array read as its elements", [] {
      auto texts = *rc::gen::arbitrary<std::vector<std::string>>();
      auto array = nlohmann::json::array();
      auto replace = nlohmann::json::error_handler_t::replace;
      for (const auto& it : texts) {
        array.push_back({ { it, { 1, it } } });
      }
      auto text = array.dump(1, ' ', false, replace);
      auto read = nlohmann::json::parse(text);
      auto parts = SplitArray(text);
      RC_ASSERT(parts.has_value());
      RC_ASSERT(parts->size() == read.size());
      for (std::size_t n = 0; n < read.size(); ++n) {
        RC_ASSERT(nlohmann::json::parse((*parts)[n]) == read[n]);
      }
    });
    CPPUNIT_ASSERT(isHeld);
  }

  void NoTextEndsTheProcess()
  {
    bool isHeld = rc::check("any text is split or refused", [] {
      auto text = *rc::gen::container<std::string>(
        rc::gen::element('[', ']', '{', '}', '"', '\\', ',', ':', 'a', ' '));
      for (const auto& it :
           SplitArray('[' + text + ']').value_or(std::vector<std::string_view>{})) {
        RC_ASSERT(it.size() <= text.size());
      }
      SplitObject('{' + text + '}');
      NestingOf(text);
    });
    CPPUNIT_ASSERT(isHeld);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonPartsTest);
