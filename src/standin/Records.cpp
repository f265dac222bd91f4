#include "standin/StandinDatabase.h"

#include <cstdlib>

namespace sesameway::standin {

void Records::Append(LogEntry aEntry)
{
  Apply(aEntry);
  if (!aEntry.mRequestId.empty()) {
    mRecorded[aEntry.mRequestId] = mLog.size();
  }
  mLog.push_back(std::move(aEntry));
}

void Records::TruncateTo(std::uint64_t aPosition)
{
  if (aPosition >= mLog.size()) {
    return;
  }
  auto kept = std::move(mLog);
  kept.resize(aPosition);
  *this = Records();
  for (auto& it : kept) {
    Append(std::move(it));
  }
}

const LogEntry* Records::FindRecorded(const std::string& aRequestId) const
{
  auto it = mRecorded.find(aRequestId);
  return it == mRecorded.end() ? nullptr : &mLog[it->second];
}

LogPosition Records::Head() const
{
  return mLog.empty() ? LogPosition{} : mLog.back().mAt;
}

std::vector<Row> Records::Read(const Operation& aOperation) const
{
  std::vector<Row> rows;
  if (aOperation.mKind == OperationKind::Get) {
    auto it = mRecords.find(aOperation.mKey);
    if (it != mRecords.end()) {
      rows.push_back({ it->first, it->second.mValue });
    }
    return rows;
  }
  for (auto it = mRecords.lower_bound(aOperation.mKey);
       it != mRecords.end() && it->first.starts_with(aOperation.mKey);
       ++it) {
    rows.push_back({ it->first, it->second.mValue });
  }
  return rows;
}

std::uint64_t Records::ChangedAt(const std::string& aKey) const
{
  auto it = mRecords.find(aKey);
  return it == mRecords.end() ? 0 : it->second.mChangedAt;
}

void Records::Apply(const LogEntry& aEntry)
{
  for (const auto& it : aEntry.mWrites) {
    mRecords[it.mKey] = { it.mValue, aEntry.mAt.mPosition };
  }
}

} // namespace sesameway::standin
