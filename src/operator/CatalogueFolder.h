#pragma once

#include "sesameway/CatalogueText.h"

#include <filesystem>
#include <string>
#include <vector>

namespace sesameway::operators {

// A valid entry file, FOLDER/KIND/NAME.toml.
struct EntryFile
{
  std::string mPath;
  // Name of the object in the store, catalogue/KIND/NAME.
  std::string mObject;
  std::string mBody;
  CatalogueEntry mEntry;
};

struct FileError
{
  std::string mPath;
  EntryError mError;
};

struct Folder
{
  // Sorted so that each entry comes after the entries that it refers to.
  std::vector<EntryFile> mFiles;
  std::vector<FileError> mErrors;
};

// Reads all .toml files in the folder and its subfolders and checks each entry by
// itself, without its references to other entries.
Folder LoadFolder(const std::filesystem::path& aPath);

} // namespace sesameway::operators
