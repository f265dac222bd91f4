#include "sesameway/Membership.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(RecordSurvivesFormattingAndParsing);
  CPPUNIT_TEST(RecordWithoutNameOrAddressIsRefused);
  CPPUNIT_TEST(RecordWithoutValidSpeedCountsAsAQuarterOfACore);
  CPPUNIT_TEST(UnknownKeysAreIgnored);
  CPPUNIT_TEST(ContactCountsOnlySinceRegistration);
  CPPUNIT_TEST(ContactEndsWhenTheRecordIsRemovedOrMarkedMissing);
  CPPUNIT_TEST(RecordOfAnotherAddressDoesNotCount);
  CPPUNIT_TEST(SilentDaemonIsMarkedMissingAndThenRemoved);
  CPPUNIT_TEST(AnswerOrNewRecordPostponesTheRemoval);
  CPPUNIT_TEST(OwnRecordIsNeverRemoved);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ seconds(1000) };
  using Actions = std::vector<MemberWatch::Action>;

  static MemberRecord MakeRecord(const std::string& aName)
  {
    return { aName, "z", "10.0.0.1:1", 7, false };
  }
  template<typename Kind>
  static bool IsOne(const Actions& aActions)
  {
    return aActions.size() == 1 && std::holds_alternative<Kind>(aActions.front());
  }

  void RecordSurvivesFormattingAndParsing()
  {
    auto record = MakeRecord("d1");
    record.mIncarnation = 0xffff'ffff'ffff'ffff;
    CPPUNIT_ASSERT(*ParseMemberRecord(FormatMemberRecord(record)) == record);
    record.mIsMissing = true;
    CPPUNIT_ASSERT(*ParseMemberRecord(FormatMemberRecord(record)) == record);
    record.mSpeed = 0.12 * 1.7;
    CPPUNIT_ASSERT(*ParseMemberRecord(FormatMemberRecord(record)) == record);
  }

  void RecordWithoutNameOrAddressIsRefused()
  {
    CPPUNIT_ASSERT(!ParseMemberRecord("name = \"d1\""));
    CPPUNIT_ASSERT(!ParseMemberRecord("address = \"10.0.0.1:1\""));
    CPPUNIT_ASSERT(!ParseMemberRecord("= ="));
  }

  // Guards against a record of an earlier version, or a damaged one, that makes a
  // daemon home of no database or of all.
  void RecordWithoutValidSpeedCountsAsAQuarterOfACore()
  {
    auto speedWith = [](const std::string& aLine) {
      return ParseMemberRecord("name = \"d1\"\naddress = \"10.0.0.1:1\"\n" + aLine)
        ->mSpeed;
    };
    CPPUNIT_ASSERT_EQUAL(0.12, speedWith("speed = 0.12"));
    CPPUNIT_ASSERT_EQUAL(2.0, speedWith("speed = 2"));
    for (const auto* it :
         { "", "0", "0.0", "-1.5", "inf", "-inf", "nan", "\"fast\"", "[1.0]" }) {
      auto text = std::string(it);
      auto line = text.empty() ? text : "speed = " + text;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0.25, speedWith(line));
    }
  }

  // Guards against a daemon that can't read the records of a later version, and so does
  // not know the fleet during a rolling upgrade.
  void UnknownKeysAreIgnored()
  {
    auto body = FormatMemberRecord(MakeRecord("d1")) + "\nfuture = [ 1, { a = 2 } ]\n";
    CPPUNIT_ASSERT(ParseMemberRecord(body) == MakeRecord("d1"));
  }

  void ContactCountsOnlySinceRegistration()
  {
    Registration registration("d1", "10.0.0.1:1");
    CPPUNIT_ASSERT(!registration.Covers(kStart));
    auto record = MakeRecord("d1");
    registration.OnRecord(&record, kStart);
    CPPUNIT_ASSERT(!registration.Covers(kStart - milliseconds(1)));
    CPPUNIT_ASSERT(registration.Covers(kStart));
    // Reading the same record again must not change the time of registration.
    registration.OnRecord(&record, kStart + seconds(1));
    CPPUNIT_ASSERT(registration.Covers(kStart));
  }

  void ContactEndsWhenTheRecordIsRemovedOrMarkedMissing()
  {
    Registration registration("d1", "10.0.0.1:1");
    auto record = MakeRecord("d1");
    registration.OnRecord(&record, kStart);
    registration.OnRecord(nullptr, kStart + seconds(1));
    CPPUNIT_ASSERT(!registration.Covers(kStart + seconds(2)));
    registration.OnRecord(&record, kStart + seconds(3));
    record.mIsMissing = true;
    registration.OnRecord(&record, kStart + seconds(4));
    CPPUNIT_ASSERT(!registration.Covers(kStart + seconds(5)));
  }

  void RecordOfAnotherAddressDoesNotCount()
  {
    Registration registration("d1", "10.0.0.2:1");
    auto record = MakeRecord("d1");
    registration.OnRecord(&record, kStart);
    CPPUNIT_ASSERT(!registration.Covers(kStart + seconds(1)));
  }

  void SilentDaemonIsMarkedMissingAndThenRemoved()
  {
    MemberWatch watch;
    std::vector<MemberRecord> records{ MakeRecord("d1") };
    CPPUNIT_ASSERT(watch.Step(records, "d0", kStart).empty());
    CPPUNIT_ASSERT(watch.Step(records, "d0", kStart + seconds(14)).empty());
    auto missing = kStart + seconds(16);
    CPPUNIT_ASSERT(IsOne<MemberWatch::MarkMissing>(watch.Step(records, "d0", missing)));
    // While the record does not show the mark, it is requested again, but only after a
    // pause.
    CPPUNIT_ASSERT(watch.Step(records, "d0", missing + milliseconds(100)).empty());
    records.front().mIsMissing = true;
    CPPUNIT_ASSERT(watch.Step(records, "d0", missing + seconds(1)).empty());
    CPPUNIT_ASSERT(watch.Step(records, "d0", missing + seconds(4)).empty());
    CPPUNIT_ASSERT(IsOne<MemberWatch::Remove>(
      watch.Step(records, "d0", missing + seconds(1) + milliseconds(3300))));
  }

  void AnswerOrNewRecordPostponesTheRemoval()
  {
    MemberWatch watch;
    std::vector<MemberRecord> records{ MakeRecord("d1") };
    watch.Step(records, "d0", kStart);
    watch.OnAnswer("d1", kStart + seconds(10));
    CPPUNIT_ASSERT(watch.Step(records, "d0", kStart + seconds(24)).empty());
    records.front().mIncarnation = 8;
    CPPUNIT_ASSERT(watch.Step(records, "d0", kStart + seconds(26)).empty());
    records.front().mIsMissing = true;
    watch.Step(records, "d0", kStart + seconds(30));
    // The daemon has written its record again, so it is running and must not be
    // removed.
    records.front().mIsMissing = false;
    CPPUNIT_ASSERT(watch.Step(records, "d0", kStart + seconds(42)).empty());
  }

  void OwnRecordIsNeverRemoved()
  {
    MemberWatch watch;
    std::vector<MemberRecord> records{ MakeRecord("d0") };
    watch.Step(records, "d0", kStart);
    CPPUNIT_ASSERT(watch.Step(records, "d0", kStart + seconds(60)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
