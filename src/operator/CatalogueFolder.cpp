#include "operator/CatalogueFolder.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sesameway::operators {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxBodyBytes = 1'000'000;

// Entries refer only to kinds that come earlier in the variant's order: organisation,
// service, key, route.
bool GoesBefore(const EntryFile& aLeft, const EntryFile& aRight)
{
  if (aLeft.mEntry.index() != aRight.mEntry.index()) {
    return aLeft.mEntry.index() < aRight.mEntry.index();
  }
  return aLeft.mObject < aRight.mObject;
}

void LoadFile(const fs::path& aFolder, const fs::path& aFile, Folder& aTo)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  auto body = text.str();
  if (!file || body.size() > kMaxBodyBytes) {
    aTo.mErrors.push_back({ aFile, { "", "a readable file of at most 1 MB" } });
    return;
  }
  auto relative = fs::relative(aFile, aFolder).replace_extension();
  auto object = std::string(kCataloguePrefix) + relative.generic_string();
  auto entry = ParseEntry(object, body);
  if (!entry) {
    aTo.mErrors.push_back({ aFile, entry.error() });
    return;
  }
  aTo.mFiles.push_back({ aFile, object, std::move(body), std::move(*entry) });
}

} // namespace

Folder LoadFolder(const fs::path& aPath)
{
  Folder folder;
  std::error_code ec;
  auto it = fs::recursive_directory_iterator(aPath, ec);
  if (ec) {
    folder.mErrors.push_back({ aPath, { "", "a readable folder: " + ec.message() } });
    return folder;
  }
  for (const auto& file : it) {
    if (file.is_regular_file() && file.path().extension() == ".toml") {
      LoadFile(aPath, file.path(), folder);
    }
  }
  std::sort(folder.mFiles.begin(), folder.mFiles.end(), &GoesBefore);
  std::sort(folder.mErrors.begin(),
            folder.mErrors.end(),
            [](const FileError& aLeft, const FileError& aRight) {
              return aLeft.mPath < aRight.mPath;
            });
  return folder;
}

} // namespace sesameway::operators
