#include "peer/ConvertLink.h"

#include "peer/WireText.h"

#include <algorithm>
#include <utility>

namespace sesameway::peer {

namespace {

// No statement lasts this long. A longer time left stands for no limit, and a longer
// duration counts as this one, so that no sum of times overflows.
constexpr Duration kLongestTime = std::chrono::hours(24);

// Adds up the texts of a message.
class TextSizes
{
public:
  TextSizes& Add(const std::string& aText)
  {
    mLongest = std::max(mLongest, aText.size());
    mTotal += aText.size();
    return *this;
  }
  std::size_t Total() const { return mTotal; }
  Readable<void> Check() const
  {
    if (mLongest > kMaxTextBytes) {
      return tl::unexpected(std::string("text too long"));
    }
    if (mTotal > kMaxMessageBytes) {
      return tl::unexpected(std::string("message too large"));
    }
    return {};
  }

private:
  std::size_t mLongest = 0;
  std::size_t mTotal = 0;
};

void AddTerms(const StatementTerms& aTerms, TextSizes& aSizes)
{
  aSizes.Add(aTerms.mOrganisation).Add(aTerms.mCostClass);
}

// A conversion from std::string would end the text at the first zero byte.
capnp::Text::Reader AsText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

// Returns at least 1, because 0 stands for no time at all.
std::uint64_t MicrosLeft(TimePoint aTime, TimePoint aNow)
{
  return std::max<std::uint64_t>(MicrosUntil(aTime, aNow), 1);
}

std::uint64_t WaitMicros(Duration aWait)
{
  return Micros(std::max(aWait, Duration{}));
}

TimePoint LimitAfter(std::uint64_t aMicros, TimePoint aNow)
{
  return aMicros > Micros(kLongestTime) ? TimePoint::max()
                                        : aNow + microseconds(aMicros);
}

Duration ReadDuration(std::uint64_t aMicros)
{
  return microseconds(std::min(aMicros, Micros(kLongestTime)));
}

bool IsKnown(TransactionState aState)
{
  return aState <= TransactionState::Failed;
}

// Sets a text unless it is empty: an empty text that is set takes a word.
template<typename Builder, typename Value>
void SetUnlessEmpty(Builder& aTo, void (Builder::*aSet)(Value), Value aValue)
{
  if (aValue.size() > 0) {
    (aTo.*aSet)(aValue);
  }
}

void Fill(const ConnectionCommand& aFrom, wire::LinkCommand::Builder aTo)
{
  aTo.setKind(static_cast<std::uint8_t>(aFrom.mKind));
  using To = wire::LinkCommand::Builder;
  SetUnlessEmpty(aTo, &To::setId, AsText(aFrom.mId));
  SetUnlessEmpty<To, capnp::Data::Reader>(aTo, &To::setText, Bytes(aFrom.mText));
  SetUnlessEmpty(aTo, &To::setName, AsText(aFrom.mName));
  aTo.setPreparesWrite(aFrom.mPreparesWrite);
  if (aFrom.mAfter) {
    aTo.setHasAfter(true);
    aTo.setAfterTerm(aFrom.mAfter->mTerm);
    aTo.setAfterPosition(aFrom.mAfter->mPosition);
  }
  aTo.setTerm(aFrom.mTerm);
}

ConnectionCommand ReadCommand(wire::LinkCommand::Reader aFrom)
{
  ConnectionCommand to;
  to.mKind = static_cast<CommandKind>(aFrom.getKind());
  to.mId = Text(aFrom.getId());
  to.mText = Text(aFrom.getText());
  to.mName = Text(aFrom.getName());
  to.mPreparesWrite = aFrom.getPreparesWrite();
  if (aFrom.getHasAfter()) {
    to.mAfter = LogPosition{ aFrom.getAfterTerm(), aFrom.getAfterPosition() };
  }
  to.mTerm = aFrom.getTerm();
  return to;
}

void Fill(const ConnectionReply& aFrom, TimePoint aNow, wire::LinkReply::Builder aTo)
{
  aTo.setCode(static_cast<std::uint8_t>(aFrom.mCode));
  using To = wire::LinkReply::Builder;
  SetUnlessEmpty(aTo, &To::setDetail, AsText(aFrom.mDetail));
  if (!aFrom.mRows.empty()) {
    auto rows = aTo.initRows(aFrom.mRows.size());
    for (unsigned n = 0; n < rows.size(); ++n) {
      rows.set(n, Bytes(aFrom.mRows[n]));
    }
  }
  SetUnlessEmpty(aTo, &To::setDigest, AsText(aFrom.mDigest));
  aTo.setTransaction(static_cast<std::uint8_t>(aFrom.mTransaction));
  if (aFrom.mPosition) {
    aTo.setHasPosition(true);
    aTo.setTerm(aFrom.mPosition->mTerm);
    aTo.setPosition(aFrom.mPosition->mPosition);
  }
  if (aFrom.mRetryAt) {
    aTo.setRetryAfterUs(MicrosLeft(*aFrom.mRetryAt, aNow));
  }
}

ConnectionReply ReadReply(wire::LinkReply::Reader aFrom, TimePoint aNow)
{
  ConnectionReply to;
  to.mCode = static_cast<ReplyCode>(aFrom.getCode());
  to.mDetail = Text(aFrom.getDetail());
  for (auto it : aFrom.getRows()) {
    to.mRows.push_back(Text(it));
  }
  to.mDigest = Text(aFrom.getDigest());
  to.mTransaction = static_cast<TransactionState>(aFrom.getTransaction());
  if (aFrom.getHasPosition()) {
    to.mPosition = LogPosition{ aFrom.getTerm(), aFrom.getPosition() };
  }
  if (aFrom.getRetryAfterUs() > 0) {
    to.mRetryAt = aNow + ReadDuration(aFrom.getRetryAfterUs());
  }
  return to;
}

void FillCommands(const Commands& aFrom, capnp::List<wire::LinkCommand>::Builder aTo)
{
  for (unsigned n = 0; n < aTo.size(); ++n) {
    Fill(aFrom[n], aTo[n]);
  }
}

void FillReplies(const std::vector<ConnectionReply>& aFrom,
                 TimePoint aNow,
                 capnp::List<wire::LinkReply>::Builder aTo)
{
  for (unsigned n = 0; n < aTo.size(); ++n) {
    Fill(aFrom[n], aNow, aTo[n]);
  }
}

// Checks only the number of commands.
Readable<Commands> ReadCommands(capnp::List<wire::LinkCommand>::Reader aFrom)
{
  if (aFrom.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many commands"));
  }
  Commands to;
  for (auto it : aFrom) {
    to.push_back(ReadCommand(it));
  }
  return to;
}

// Checks only the number of replies.
Readable<std::vector<ConnectionReply>> ReadReplies(
  capnp::List<wire::LinkReply>::Reader aFrom,
  TimePoint aNow)
{
  if (aFrom.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many replies"));
  }
  std::vector<ConnectionReply> to;
  for (auto it : aFrom) {
    to.push_back(ReadReply(it, aNow));
  }
  return to;
}

StatementTerms ReadTerms(wire::Terms::Reader aFrom,
                         const std::string& aOrganisation,
                         TimePoint aNow)
{
  StatementTerms to;
  to.mPriority = aFrom.getPriority();
  if (aFrom.getGoalUs() > 0) {
    to.mGoalAt = LimitAfter(aFrom.getGoalUs(), aNow);
  }
  to.mDeadline = LimitAfter(aFrom.getDeadlineUs(), aNow);
  to.mIsInTransaction = aFrom.getInTransaction();
  bool isRepeated = !aFrom.hasOrganisation();
  to.mOrganisation = isRepeated ? aOrganisation : Text(aFrom.getOrganisation());
  to.mCostClass = Text(aFrom.getCostClass());
  return to;
}

// Adds the texts of a batch, and checks the number and kinds of its commands.
Readable<void> AddCommands(const Commands& aCommands, TextSizes& aSizes)
{
  if (aCommands.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many commands"));
  }
  for (const auto& it : aCommands) {
    if (!kCommandKindNames.Holds(static_cast<std::size_t>(it.mKind))) {
      return tl::unexpected(std::string("unknown kind of command"));
    }
    aSizes.Add(it.mId).Add(it.mText).Add(it.mName);
  }
  return {};
}

// Whether a whole batch was refused before it was sent to the database.
bool IsUnsent(const std::vector<ConnectionReply>& aReplies)
{
  return aReplies.size() == 1 && IsUnsent(aReplies.front());
}

Readable<void> CheckReplies(const std::vector<ConnectionReply>& aReplies)
{
  if (aReplies.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many replies"));
  }
  TextSizes sizes;
  for (const auto& it : aReplies) {
    if (!kReplyCodeNames.Holds(static_cast<std::size_t>(it.mCode)) ||
        !IsKnown(it.mTransaction)) {
      return tl::unexpected(std::string("unknown code of a reply"));
    }
    sizes.Add(it.mDetail).Add(it.mDigest);
    for (const auto& row : it.mRows) {
      sizes.Add(row);
    }
  }
  return sizes.Check();
}

// Returns the value if it passes its check.
template<typename Value>
Readable<Value> Checked(Value aValue)
{
  auto check = Check(aValue);
  if (!check) {
    return tl::unexpected(check.error());
  }
  return aValue;
}

} // namespace

Readable<void> Check(const StatementTerms& aTerms)
{
  TextSizes sizes;
  AddTerms(aTerms, sizes);
  return sizes.Check();
}

Readable<void> Check(const Commands& aCommands)
{
  TextSizes sizes;
  auto commands = AddCommands(aCommands, sizes);
  return commands ? sizes.Check() : commands;
}

Readable<void> Check(const LinkReplies& aReplies)
{
  return CheckReplies(aReplies.mReplies);
}

Readable<void> Check(const LinkRequest& aRequest)
{
  TextSizes sizes;
  sizes.Add(aRequest.mDatabase).Add(aRequest.mGroup).Add(aRequest.mOrganisation);
  AddTerms(aRequest.mTerms, sizes);
  auto commands = AddCommands(aRequest.mCommands, sizes);
  return commands ? sizes.Check() : commands;
}

Readable<void> Check(const LinkOffer& aOffer, std::size_t aCommands, bool aHasLink)
{
  const auto& replies = aOffer.mReplies;
  auto check = CheckReplies(replies);
  if (!check) {
    return check;
  }
  bool isRefused = aOffer.mRefusal != LinkRefusal::None;
  if (!isRefused && aCommands == 0 && !aHasLink) {
    return tl::unexpected(std::string("no link"));
  }
  // A refusal says that no command was sent, so it comes with no replies of commands.
  bool isUnsent = aCommands > 0 && IsUnsent(replies);
  if (replies.size() != (isRefused ? 0 : aCommands) && !isUnsent) {
    return tl::unexpected(std::string("wrong number of replies"));
  }
  return {};
}

bool IsComplete(const std::vector<ConnectionReply>& aReplies, std::size_t aCommands)
{
  return aReplies.size() == aCommands || IsUnsent(aReplies);
}

void Fill(const StatementTerms& aFrom,
          const std::string& aOrganisation,
          TimePoint aNow,
          wire::Terms::Builder aTo)
{
  aTo.setPriority(aFrom.mPriority);
  if (aFrom.mGoalAt != TimePoint::max()) {
    aTo.setGoalUs(MicrosLeft(aFrom.mGoalAt, aNow));
  }
  aTo.setDeadlineUs(MicrosUntil(aFrom.mDeadline, aNow));
  aTo.setInTransaction(aFrom.mIsInTransaction);
  // Another organisation is set also if it is empty, so that it differs from none.
  if (aFrom.mOrganisation != aOrganisation) {
    aTo.setOrganisation(AsText(aFrom.mOrganisation));
  }
  SetUnlessEmpty(aTo, &wire::Terms::Builder::setCostClass, AsText(aFrom.mCostClass));
}

Readable<StatementTerms> Read(wire::Terms::Reader aFrom,
                              const std::string& aOrganisation,
                              TimePoint aNow)
{
  return Checked(ReadTerms(aFrom, aOrganisation, aNow));
}

void Fill(const Commands& aFrom,
          const StatementTerms& aTerms,
          const std::string& aOrganisation,
          TimePoint aNow,
          wire::Link::SendParams::Builder aTo)
{
  if (!aFrom.empty()) {
    FillCommands(aFrom, aTo.initCommands(aFrom.size()));
  }
  Fill(aTerms, aOrganisation, aNow, aTo.initTerms());
}

Readable<Commands> Read(capnp::List<wire::LinkCommand>::Reader aFrom)
{
  auto to = ReadCommands(aFrom);
  if (!to) {
    return to;
  }
  return Checked(std::move(*to));
}

void Fill(const LinkReplies& aFrom,
          TimePoint aNow,
          wire::Link::SendResults::Builder aTo)
{
  if (!aFrom.mReplies.empty()) {
    FillReplies(aFrom.mReplies, aNow, aTo.initReplies(aFrom.mReplies.size()));
  }
  aTo.setWaitUs(WaitMicros(aFrom.mExpectedWait));
}

Readable<LinkReplies> Read(wire::Link::SendResults::Reader aFrom, TimePoint aNow)
{
  auto replies = ReadReplies(aFrom.getReplies(), aNow);
  if (!replies) {
    return tl::unexpected(replies.error());
  }
  LinkReplies to;
  to.mReplies = std::move(*replies);
  to.mExpectedWait = ReadDuration(aFrom.getWaitUs());
  return Checked(std::move(to));
}

void Fill(const LinkRequest& aFrom,
          TimePoint aNow,
          wire::Peer::OpenLinkParams::Builder aTo)
{
  using To = wire::Peer::OpenLinkParams::Builder;
  SetUnlessEmpty(aTo, &To::setDatabase, AsText(aFrom.mDatabase));
  SetUnlessEmpty(aTo, &To::setGroup, AsText(aFrom.mGroup));
  SetUnlessEmpty(aTo, &To::setOrganisation, AsText(aFrom.mOrganisation));
  Fill(aFrom.mTerms, aFrom.mOrganisation, aNow, aTo.initTerms());
  if (!aFrom.mCommands.empty()) {
    FillCommands(aFrom.mCommands, aTo.initCommands(aFrom.mCommands.size()));
  }
}

Readable<LinkRequest> Read(wire::Peer::OpenLinkParams::Reader aFrom, TimePoint aNow)
{
  auto commands = ReadCommands(aFrom.getCommands());
  if (!commands) {
    return tl::unexpected(commands.error());
  }
  LinkRequest to;
  to.mDatabase = Text(aFrom.getDatabase());
  to.mGroup = Text(aFrom.getGroup());
  to.mOrganisation = Text(aFrom.getOrganisation());
  to.mTerms = ReadTerms(aFrom.getTerms(), to.mOrganisation, aNow);
  to.mCommands = std::move(*commands);
  return Checked(std::move(to));
}

void Fill(const LinkOffer& aFrom,
          TimePoint aNow,
          wire::Peer::OpenLinkResults::Builder aTo)
{
  aTo.setRefusal(static_cast<std::uint8_t>(aFrom.mRefusal));
  if (aFrom.mRetryAt != TimePoint{}) {
    aTo.setRetryAfterUs(MicrosLeft(aFrom.mRetryAt, aNow));
  }
  aTo.setWaitUs(WaitMicros(aFrom.mExpectedWait));
  if (!aFrom.mReplies.empty()) {
    FillReplies(aFrom.mReplies, aNow, aTo.initReplies(aFrom.mReplies.size()));
  }
}

Readable<LinkOffer> Read(wire::Peer::OpenLinkResults::Reader aFrom,
                         std::size_t aCommands,
                         TimePoint aNow)
{
  if (!kLinkRefusalNames.Holds(aFrom.getRefusal())) {
    return tl::unexpected(std::string("unknown refusal"));
  }
  auto replies = ReadReplies(aFrom.getReplies(), aNow);
  if (!replies) {
    return tl::unexpected(replies.error());
  }
  LinkOffer to;
  to.mRefusal = static_cast<LinkRefusal>(aFrom.getRefusal());
  if (aFrom.getRetryAfterUs() > 0) {
    to.mRetryAt = aNow + ReadDuration(aFrom.getRetryAfterUs());
  }
  to.mExpectedWait = ReadDuration(aFrom.getWaitUs());
  to.mReplies = std::move(*replies);
  auto check = Check(to, aCommands, aFrom.hasLink());
  if (!check) {
    return tl::unexpected(check.error());
  }
  return to;
}

} // namespace sesameway::peer
