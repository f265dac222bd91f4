#include "sesameway/SharedConnection.h"

#include <algorithm>
#include <utility>

namespace sesameway {

namespace {

// Cost, in commands, of a connection that must be reset first.
constexpr std::size_t kResetDistance = 100;

} // namespace

// A single value cannot be unset, so a connection with a value that the session has not
// set is reset, which also drops its prepared statements.
std::vector<ConnectionCommand> SharedConnectionState::SyncValues(
  const SessionValues& aValues)
{
  std::vector<ConnectionCommand> commands;
  if (std::exchange(mIsUnknown, false) || HasExtraValue(aValues)) {
    ConnectionCommand reset;
    reset.mKind = CommandKind::Reset;
    commands.push_back(std::move(reset));
    mValues.clear();
    mPrepared.clear();
  }
  for (const auto& it : aValues) {
    auto here = mValues.find(it.first);
    if (here != mValues.end() && here->second == it.second) {
      continue;
    }
    ConnectionCommand set;
    set.mKind = CommandKind::Set;
    set.mName = it.first;
    set.mText = it.second;
    commands.push_back(std::move(set));
  }
  mValues = aValues;
  return commands;
}

std::string SharedConnectionState::NameOf(const PreparedStatement& aStatement,
                                          std::vector<ConnectionCommand>& aCommands)
{
  auto& name = mPrepared[aStatement];
  if (!name.empty()) {
    return name;
  }
  name = std::to_string(mNextName++);
  name.insert(name.begin(), 'p');
  ConnectionCommand prepare;
  prepare.mKind = CommandKind::Prepare;
  prepare.mName = name;
  prepare.mText = aStatement.mShape;
  prepare.mPreparesWrite = aStatement.mIsWrite;
  aCommands.push_back(std::move(prepare));
  return name;
}

void SharedConnectionState::Forget(const PreparedStatement& aStatement)
{
  mPrepared.erase(aStatement);
}

std::size_t SharedConnectionState::SyncCost(const SessionValues& aValues) const
{
  if (mIsUnknown || HasExtraValue(aValues)) {
    return kResetDistance + aValues.size();
  }
  return aValues.size() - std::count_if(mValues.begin(), mValues.end(), [&](auto& aIt) {
           return aValues.at(aIt.first) == aIt.second;
         });
}

bool SharedConnectionState::HasExtraValue(const SessionValues& aValues) const
{
  return std::any_of(mValues.begin(), mValues.end(), [&](const auto& aIt) {
    return aValues.count(aIt.first) == 0;
  });
}

} // namespace sesameway
