#include "sesameway/LentSession.h"

#include <algorithm>

namespace sesameway {

namespace {

bool IsSetUp(CommandKind aKind)
{
  return aKind == CommandKind::Set || aKind == CommandKind::Prepare ||
         aKind == CommandKind::Reset;
}

// Commands of the daemons themselves, and ends of transactions, need no session.
bool NeedsSession(CommandKind aKind)
{
  return aKind != CommandKind::Status && aKind != CommandKind::Demote &&
         aKind != CommandKind::Commit && aKind != CommandKind::Rollback;
}

// Names on shared connections are a letter and a number, so the database refuses a
// statement of this name as not prepared.
const std::string kNoStatement = "none";

bool IsExecute(CommandKind aKind)
{
  return aKind == CommandKind::ExecuteRead || aKind == CommandKind::ExecuteWrite;
}

ConnectionCommand SetCommand(const std::string& aName, const std::string& aValue)
{
  ConnectionCommand set;
  set.mKind = CommandKind::Set;
  set.mName = aName;
  set.mText = aValue;
  return set;
}

ConnectionCommand PrepareCommand(const std::string& aName,
                                 const PreparedStatement& aStatement)
{
  ConnectionCommand prepare;
  prepare.mKind = CommandKind::Prepare;
  prepare.mName = aName;
  prepare.mText = aStatement.mShape;
  prepare.mPreparesWrite = aStatement.mIsWrite;
  return prepare;
}

} // namespace

bool LentSession::IsBatch(const std::vector<ConnectionCommand>& aCommands)
{
  return !aCommands.empty() && !IsSetUp(aCommands.back().mKind);
}

void LentSession::Note(const std::vector<ConnectionCommand>& aBatch)
{
  for (const auto& it : aBatch) {
    if (it.mKind == CommandKind::Set) {
      mValues[it.mName] = it.mText;
    } else if (it.mKind == CommandKind::Prepare) {
      mPrepared[it.mName] = { it.mPreparesWrite, it.mText };
    } else if (it.mKind == CommandKind::Reset) {
      mValues.clear();
      mPrepared.clear();
    }
  }
}

std::vector<ConnectionCommand> LentSession::ToConnection(
  const std::vector<ConnectionCommand>& aBatch,
  SharedConnectionState& aState)
{
  Note(aBatch);
  mBatchSize = aBatch.size();
  std::vector<ConnectionCommand> commands;
  if (!aBatch.empty() && NeedsSession(aBatch.back().mKind)) {
    commands = aState.SyncValues(mValues);
  }
  for (const auto& it : aBatch) {
    if (IsSetUp(it.mKind)) {
      continue;
    }
    auto command = it;
    auto prepared = mPrepared.find(it.mName);
    if (IsExecute(it.mKind)) {
      command.mName = prepared != mPrepared.end()
                        ? aState.NameOf(prepared->second, commands)
                        : kNoStatement;
    }
    mLast = it;
    commands.push_back(std::move(command));
  }
  return commands;
}

// A session that could not be set up is told so by the reply to the command before the
// last one; it then does not use the result.
std::vector<ConnectionReply> LentSession::ToBorrower(
  std::vector<ConnectionReply> aReplies,
  SharedConnectionState& aState)
{
  if (aReplies.empty() || IsUnsent(aReplies.back())) {
    // Nothing was sent, also none of the values that the state counts on.
    aState.SetUnknown();
    return aReplies;
  }
  auto last = std::move(aReplies.back());
  aReplies.pop_back();
  bool isSetUp = std::all_of(aReplies.begin(), aReplies.end(), [](const auto& aIt) {
    return aIt.mCode == ReplyCode::Done;
  });
  if (!isSetUp) {
    last = ConnectionReply{};
  }
  auto prepared = mPrepared.find(mLast.mName);
  if (last.mCode == ReplyCode::NotPrepared && prepared != mPrepared.end()) {
    aState.Forget(prepared->second);
  }
  ConnectionReply done;
  done.mCode = ReplyCode::Done;
  done.mTransaction = last.mTransaction;
  std::vector<ConnectionReply> replies(mBatchSize - 1, done);
  replies.push_back(std::move(last));
  return replies;
}

std::vector<ConnectionCommand> LentSession::WithSetUp(
  const std::vector<ConnectionCommand>& aBatch) const
{
  std::vector<ConnectionCommand> commands;
  for (const auto& it : mValues) {
    commands.push_back(SetCommand(it.first, it.second));
  }
  for (const auto& it : aBatch) {
    if (IsSetUp(it.mKind)) {
      continue;
    }
    auto prepared = mPrepared.find(it.mName);
    if (IsExecute(it.mKind) && prepared != mPrepared.end()) {
      commands.push_back(PrepareCommand(it.mName, prepared->second));
    }
    commands.push_back(it);
  }
  return commands;
}

} // namespace sesameway
