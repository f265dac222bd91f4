#include "operator/CatalogueFolder.h"
#include "operator/Commands.h"
#include "operator/DaemonClient.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace sesameway::operators {

namespace {

using Objects = std::map<std::string, platform::Object>;

void Print(const std::string& aFile, const EntryError& aError)
{
  std::cerr << "file=" << aFile << ' ' << aError.Text() << '\n';
}

// Returns the catalogue's objects by name. Prints an error and returns no value if the
// store does not answer.
std::optional<Objects> ReadStore(StoreClient& aStore)
{
  auto listing = aStore.List(std::string(kCataloguePrefix));
  if (!listing) {
    std::cerr << "sesamectl: no answer from the store\n";
    return std::nullopt;
  }
  Objects objects;
  for (const auto& it : listing->mObjects) {
    objects[it.mName] = it;
  }
  return objects;
}

// Returns an object with version 0 if the store has none of this name.
platform::Object ObjectOf(const Objects& aObjects, const std::string& aName)
{
  auto it = aObjects.find(aName);
  return it == aObjects.end() ? platform::Object{ aName, 0, 0, {}, false } : it->second;
}

// Returns the catalogue as it would be after the files were applied. Invalid entries in
// the store are left out.
Catalogue Overlay(const Objects& aObjects, const Folder& aFolder)
{
  Catalogue catalogue;
  for (const auto& it : aObjects) {
    auto entry = ParseEntry(it.first, it.second.mBody);
    if (!it.second.mDeleted && entry) {
      Insert(catalogue, std::move(*entry));
    }
  }
  for (const auto& it : aFolder.mFiles) {
    Insert(catalogue, it.mEntry);
  }
  return catalogue;
}

// Prints the errors in the folder's files and returns whether there are none. Reference
// errors in entries that only the store holds are left out, because the folder does not
// change these entries.
bool PrintErrors(const Objects& aObjects, const Folder& aFolder)
{
  for (const auto& it : aFolder.mErrors) {
    Print(it.mPath, it.mError);
  }
  bool isValid = aFolder.mErrors.empty();
  for (const auto& it : CheckReferences(Overlay(aObjects, aFolder))) {
    auto file =
      std::find_if(aFolder.mFiles.begin(),
                   aFolder.mFiles.end(),
                   [&](const EntryFile& aFile) { return aFile.mObject == it.mObject; });
    if (file != aFolder.mFiles.end()) {
      Print(file->mPath, it.mError);
      isValid = false;
    }
  }
  return isValid;
}

bool IsSame(const platform::Object& aObject, const EntryFile& aFile)
{
  return aObject.mVersion > 0 && !aObject.mDeleted && aObject.mBody == aFile.mBody;
}

bool ApplyFile(StoreClient& aStore,
               const EntryFile& aFile,
               const platform::Object& aRead)
{
  if (IsSame(aRead, aFile)) {
    std::cout << "object=" << aFile.mObject << " change=none version=" << aRead.mVersion
              << '\n';
    return true;
  }
  auto result = aStore.Put(aFile.mObject, aFile.mBody, aRead.mVersion);
  if (result.mChange == Change::Applied) {
    std::cout << "object=" << aFile.mObject
              << " change=applied version=" << result.mObject.mVersion
              << " revision=" << result.mObject.mRevision << '\n';
    return true;
  }
  if (result.mChange == Change::Conflict) {
    std::cerr << "object=" << aFile.mObject
              << " change=conflict read_version=" << aRead.mVersion
              << " store_version=" << result.mObject.mVersion << '\n';
    return false;
  }
  std::cerr << "object=" << aFile.mObject
            << " change=unknown read_version=" << aRead.mVersion
            << " store_version=" << result.mObject.mVersion << '\n';
  return false;
}

} // namespace

int Check(StoreClient* aStore, const std::string& aFolder)
{
  auto folder = LoadFolder(aFolder);
  Objects objects;
  if (aStore) {
    auto read = ReadStore(*aStore);
    if (!read) {
      return kFailed;
    }
    objects = std::move(*read);
  }
  if (!PrintErrors(objects, folder)) {
    return kBadUsage;
  }
  std::cout << "entries=" << folder.mFiles.size() << " errors=0\n";
  return kDone;
}

int Diff(StoreClient& aStore, const std::string& aFolder)
{
  auto folder = LoadFolder(aFolder);
  auto objects = ReadStore(aStore);
  if (!objects) {
    return kFailed;
  }
  if (!PrintErrors(*objects, folder)) {
    return kBadUsage;
  }
  for (const auto& it : folder.mFiles) {
    auto object = ObjectOf(*objects, it.mObject);
    objects->erase(it.mObject);
    bool isNew = object.mVersion == 0 || object.mDeleted;
    if (!IsSame(object, it)) {
      std::cout << "object=" << it.mObject << " change=" << (isNew ? "new" : "changed")
                << " store_version=" << object.mVersion << '\n';
    }
  }
  for (const auto& it : *objects) {
    if (!it.second.mDeleted) {
      std::cout << "object=" << it.first
                << " change=only_in_store store_version=" << it.second.mVersion << '\n';
    }
  }
  return kDone;
}

int Apply(StoreClient& aStore, const std::string& aFolder)
{
  auto folder = LoadFolder(aFolder);
  auto objects = ReadStore(aStore);
  if (!objects) {
    return kFailed;
  }
  if (!PrintErrors(*objects, folder)) {
    std::cerr << "sesamectl: no entry was applied, because of the errors above\n";
    return kBadUsage;
  }
  bool isDone = true;
  for (const auto& it : folder.mFiles) {
    isDone = ApplyFile(aStore, it, ObjectOf(*objects, it.mObject)) && isDone;
  }
  return isDone ? kDone : kFailed;
}

int Remove(StoreClient& aStore, const std::string& aEntry)
{
  auto name = std::string(kCataloguePrefix) + aEntry;
  auto object = aStore.Get(name);
  if (!object) {
    std::cerr << "sesamectl: no answer from the store\n";
    return kFailed;
  }
  if (object->mVersion == 0 || object->mDeleted) {
    std::cout << "object=" << name << " change=none\n";
    return kDone;
  }
  auto result = aStore.Put(name, {}, object->mVersion, true);
  bool isDone = result.mChange == Change::Applied;
  (isDone ? std::cout : std::cerr)
    << "object=" << name << " change="
    << (isDone                               ? "removed"
        : result.mChange == Change::Conflict ? "conflict"
                                             : "unknown")
    << " read_version=" << object->mVersion
    << " store_version=" << result.mObject.mVersion << '\n';
  return isDone ? kDone : kFailed;
}

int Status(StoreClient* aStore, const std::vector<std::string>& aDaemons)
{
  bool isComplete = true;
  if (aStore) {
    auto objects = ReadStore(*aStore);
    std::uint64_t newest = 0;
    for (const auto& it : objects ? *objects : Objects{}) {
      newest = std::max(newest, it.second.mRevision);
    }
    isComplete = objects.has_value();
    std::cout << "store=" << (objects ? "answers" : "silent") << " revision=" << newest
              << '\n';
  }
  for (const auto& it : aDaemons) {
    auto text = DaemonClient(it).Status();
    if (!text) {
      std::cout << "daemon=" << it << " error=\"no answer\"\n";
      isComplete = false;
      continue;
    }
    std::size_t begin = 0;
    while (begin < text->size()) {
      auto end = std::min(text->find('\n', begin), text->size());
      std::cout << "daemon=" << it << ' ' << text->substr(begin, end - begin) << '\n';
      begin = end + 1;
    }
  }
  return isComplete ? kDone : kFailed;
}

int Trace(const std::vector<std::string>& aDaemons,
          const std::string& aKeyName,
          const std::string& aRoute,
          bool aIsWrite)
{
  bool isComplete = true;
  for (const auto& it : aDaemons) {
    auto text = DaemonClient(it).Explain(aKeyName, aRoute, aIsWrite);
    std::cout << "daemon=" << it << ' ' << text.value_or("error=\"no answer\"\n");
    isComplete = isComplete && text;
  }
  return isComplete ? kDone : kFailed;
}

} // namespace sesameway::operators
