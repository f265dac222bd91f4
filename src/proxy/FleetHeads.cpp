#include "proxy/DatabaseFleet.h"

namespace sesameway::proxy {

namespace {

constexpr Duration kStatusTimeout = milliseconds(600);

} // namespace

std::optional<LogPosition> DatabaseFleet::HeadSince(const std::string& aGroup,
                                                    TimePoint aSince) const
{
  auto it = mGroups.find(aGroup);
  return it == mGroups.end() ? std::nullopt : it->second.mHeads.HeadSince(aSince);
}

// A log position is used only while this daemon knows that the database is still the
// primary. Otherwise it is kept until the primary is confirmed.
void DatabaseFleet::NoteHead(const std::string& aGroup,
                             const std::string& aDatabase,
                             const ConnectionReply& aReply,
                             TimePoint aSentAt)
{
  auto& group = mGroups[aGroup];
  // A reply to a command that was sent before the record arrived may come from the time
  // when the database was still a replica.
  bool isPrimary =
    group.mLeadership.Record().mPrimary == aDatabase && aSentAt >= group.mRecordedAt;
  if (!isPrimary || !aReply.mPosition) {
    return;
  }
  if (MayUsePrimary(aGroup)) {
    group.mHeads.Observe(*aReply.mPosition, aSentAt);
    group.mHeadPollSchedule.OnHead(aSentAt);
  } else if (!group.mUnconfirmedHead) {
    group.mUnconfirmedHead =
      UnconfirmedHead{ *aReply.mPosition, aSentAt, Clock::now() };
  }
}

std::map<std::string, HeadHistory::Sample> DatabaseFleet::Heads() const
{
  std::map<std::string, HeadHistory::Sample> heads;
  for (const auto& it : mGroups) {
    if (const auto* newest = it.second.mHeads.Newest()) {
      heads[it.first] = *newest;
    }
  }
  return heads;
}

void DatabaseFleet::OnPeerHead(const std::string& aGroup,
                               const LogPosition& aHead,
                               TimePoint aAt)
{
  auto it = mGroups.find(aGroup);
  if (it != mGroups.end()) {
    it->second.mHeads.Observe(aHead, aAt);
    it->second.mHeadPollSchedule.OnHead(aAt);
  }
}

void DatabaseFleet::AskForHead(const std::string& aName, Group& aGroup, TimePoint aNow)
{
  auto pool = FindPool(aGroup.mLeadership.Record().mPrimary);
  bool mayAsk = pool && MayTryPrimary(aName, aNow);
  if (!mayAsk || !aGroup.mHeadPollSchedule.Ask(mAsksForHeads, aNow)) {
    return;
  }
  ConnectionCommand status;
  status.mKind = CommandKind::Status;
  auto database = pool->Listed().mName;
  auto onReply = [this, aName, database, aNow](std::optional<ConnectionReply> aReply) {
    mGroups[aName].mHeadPollSchedule.OnAnswered();
    if (!aReply) {
      return;
    }
    NoteHead(aName, database, *aReply, aNow);
    if (!MayUsePrimary(aName)) {
      ConfirmPrimary(aName, Clock::now(), [](bool) {});
    }
  };
  pool->Ask(status, aNow + kStatusTimeout, std::move(onReply));
}

} // namespace sesameway::proxy
