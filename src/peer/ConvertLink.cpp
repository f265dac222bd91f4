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

TextSizes SizesOf(const SharedConnectionState& aContents)
{
  TextSizes sizes;
  for (const auto& it : aContents.Values()) {
    sizes.Add(it.first).Add(it.second);
  }
  for (const auto& it : aContents.Prepared()) {
    sizes.Add(it.first.mShape).Add(it.second);
  }
  return sizes;
}

bool FitsMessage(const SharedConnectionState& aContents)
{
  auto count = aContents.Values().size() + aContents.Prepared().size();
  return count <= kMaxContents && SizesOf(aContents).Total() <= kMaxContentsBytes;
}

void Fill(const ConnectionCommand& aFrom, wire::LinkCommand::Builder aTo)
{
  aTo.setKind(static_cast<std::uint8_t>(aFrom.mKind));
  aTo.setId(AsText(aFrom.mId));
  aTo.setText(Bytes(aFrom.mText));
  aTo.setName(AsText(aFrom.mName));
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
  aTo.setDetail(AsText(aFrom.mDetail));
  auto rows = aTo.initRows(aFrom.mRows.size());
  for (unsigned n = 0; n < rows.size(); ++n) {
    rows.set(n, Bytes(aFrom.mRows[n]));
  }
  aTo.setDigest(AsText(aFrom.mDigest));
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
  if (aCommands.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many commands"));
  }
  TextSizes sizes;
  for (const auto& it : aCommands) {
    if (!kCommandKindNames.Holds(static_cast<std::size_t>(it.mKind))) {
      return tl::unexpected(std::string("unknown kind of command"));
    }
    sizes.Add(it.mId).Add(it.mText).Add(it.mName);
  }
  return sizes.Check();
}

Readable<void> Check(const LinkReplies& aReplies)
{
  if (aReplies.mReplies.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many replies"));
  }
  TextSizes sizes;
  for (const auto& it : aReplies.mReplies) {
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

Readable<void> Check(const LinkRequest& aRequest)
{
  TextSizes sizes;
  sizes.Add(aRequest.mDatabase).Add(aRequest.mGroup).Add(aRequest.mOrganisation);
  AddTerms(aRequest.mTerms, sizes);
  return sizes.Check();
}

void Fill(const StatementTerms& aFrom, TimePoint aNow, wire::Terms::Builder aTo)
{
  aTo.setPriority(aFrom.mPriority);
  if (aFrom.mGoalAt != TimePoint::max()) {
    aTo.setGoalUs(MicrosLeft(aFrom.mGoalAt, aNow));
  }
  aTo.setDeadlineUs(MicrosUntil(aFrom.mDeadline, aNow));
  aTo.setInTransaction(aFrom.mIsInTransaction);
  aTo.setOrganisation(AsText(aFrom.mOrganisation));
  aTo.setCostClass(AsText(aFrom.mCostClass));
}

Readable<StatementTerms> Read(wire::Terms::Reader aFrom, TimePoint aNow)
{
  StatementTerms to;
  to.mPriority = aFrom.getPriority();
  if (aFrom.getGoalUs() > 0) {
    to.mGoalAt = LimitAfter(aFrom.getGoalUs(), aNow);
  }
  to.mDeadline = LimitAfter(aFrom.getDeadlineUs(), aNow);
  to.mIsInTransaction = aFrom.getInTransaction();
  to.mOrganisation = Text(aFrom.getOrganisation());
  to.mCostClass = Text(aFrom.getCostClass());
  return Checked(std::move(to));
}

void Fill(const Commands& aFrom,
          const StatementTerms& aTerms,
          TimePoint aNow,
          wire::Link::SendParams::Builder aTo)
{
  auto commands = aTo.initCommands(aFrom.size());
  for (unsigned n = 0; n < commands.size(); ++n) {
    Fill(aFrom[n], commands[n]);
  }
  Fill(aTerms, aNow, aTo.initTerms());
}

Readable<Commands> Read(capnp::List<wire::LinkCommand>::Reader aFrom)
{
  if (aFrom.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many commands"));
  }
  Commands to;
  for (auto it : aFrom) {
    to.push_back(ReadCommand(it));
  }
  return Checked(std::move(to));
}

void Fill(const LinkReplies& aFrom,
          TimePoint aNow,
          wire::Link::SendResults::Builder aTo)
{
  auto replies = aTo.initReplies(aFrom.mReplies.size());
  for (unsigned n = 0; n < replies.size(); ++n) {
    Fill(aFrom.mReplies[n], aNow, replies[n]);
  }
  aTo.setWaitUs(WaitMicros(aFrom.mExpectedWait));
}

Readable<LinkReplies> Read(wire::Link::SendResults::Reader aFrom, TimePoint aNow)
{
  auto replies = aFrom.getReplies();
  if (replies.size() > kMaxBatch) {
    return tl::unexpected(std::string("too many replies"));
  }
  LinkReplies to;
  for (auto it : replies) {
    to.mReplies.push_back(ReadReply(it, aNow));
  }
  to.mExpectedWait = ReadDuration(aFrom.getWaitUs());
  return Checked(std::move(to));
}

void Fill(const SharedConnectionState& aFrom, wire::ConnectionContents::Builder aTo)
{
  if (!FitsMessage(aFrom)) {
    aTo.setUnknown(true);
    return;
  }
  aTo.setUnknown(aFrom.IsUnknown());
  auto values = aTo.initValues(aFrom.Values().size());
  unsigned n = 0;
  for (const auto& it : aFrom.Values()) {
    auto to = values[n++];
    to.setName(AsText(it.first));
    to.setValue(Bytes(it.second));
  }
  auto prepared = aTo.initPrepared(aFrom.Prepared().size());
  n = 0;
  for (const auto& it : aFrom.Prepared()) {
    auto to = prepared[n++];
    to.setName(AsText(it.second));
    to.setWrite(it.first.mIsWrite);
    to.setShape(Bytes(it.first.mShape));
  }
}

Readable<SharedConnectionState> Read(wire::ConnectionContents::Reader aFrom)
{
  std::size_t count = aFrom.getValues().size();
  count += aFrom.getPrepared().size();
  if (count > kMaxContents) {
    return tl::unexpected(std::string("too many values and prepared statements"));
  }
  SessionValues values;
  for (auto it : aFrom.getValues()) {
    values[Text(it.getName())] = Text(it.getValue());
  }
  SharedConnectionState::PreparedNames prepared;
  for (auto it : aFrom.getPrepared()) {
    prepared[{ it.getWrite(), Text(it.getShape()) }] = Text(it.getName());
  }
  SharedConnectionState to(std::move(values), std::move(prepared));
  if (!FitsMessage(to)) {
    return tl::unexpected(std::string("contents of a connection too large"));
  }
  if (aFrom.getUnknown()) {
    to.SetUnknown();
  }
  return to;
}

void Fill(const LinkRequest& aFrom,
          TimePoint aNow,
          wire::Peer::OpenLinkParams::Builder aTo)
{
  aTo.setDatabase(AsText(aFrom.mDatabase));
  aTo.setGroup(AsText(aFrom.mGroup));
  aTo.setOrganisation(AsText(aFrom.mOrganisation));
  Fill(aFrom.mTerms, aNow, aTo.initTerms());
}

Readable<LinkRequest> Read(wire::Peer::OpenLinkParams::Reader aFrom, TimePoint aNow)
{
  auto terms = Read(aFrom.getTerms(), aNow);
  if (!terms) {
    return tl::unexpected(terms.error());
  }
  LinkRequest to;
  to.mDatabase = Text(aFrom.getDatabase());
  to.mGroup = Text(aFrom.getGroup());
  to.mOrganisation = Text(aFrom.getOrganisation());
  to.mTerms = std::move(*terms);
  return Checked(std::move(to));
}

void Fill(const LinkOffer& aFrom,
          TimePoint aNow,
          wire::Peer::OpenLinkResults::Builder aTo)
{
  Fill(aFrom.mContents, aTo.initContents());
  aTo.setRefusal(static_cast<std::uint8_t>(aFrom.mRefusal));
  if (aFrom.mRetryAt != TimePoint{}) {
    aTo.setRetryAfterUs(MicrosLeft(aFrom.mRetryAt, aNow));
  }
  aTo.setWaitUs(WaitMicros(aFrom.mExpectedWait));
}

Readable<LinkOffer> Read(wire::Peer::OpenLinkResults::Reader aFrom, TimePoint aNow)
{
  if (!kLinkRefusalNames.Holds(aFrom.getRefusal())) {
    return tl::unexpected(std::string("unknown refusal"));
  }
  auto contents = Read(aFrom.getContents());
  if (!contents) {
    return tl::unexpected(contents.error());
  }
  LinkOffer to;
  to.mContents = std::move(*contents);
  to.mRefusal = static_cast<LinkRefusal>(aFrom.getRefusal());
  if (aFrom.getRetryAfterUs() > 0) {
    to.mRetryAt = aNow + ReadDuration(aFrom.getRetryAfterUs());
  }
  to.mExpectedWait = ReadDuration(aFrom.getWaitUs());
  return to;
}

} // namespace sesameway::peer
