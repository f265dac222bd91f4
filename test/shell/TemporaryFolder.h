#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace sesameway::test {

// A new folder that is removed with all that it holds.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    auto name = (std::filesystem::temp_directory_path() / "sesameway-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    mPath = name;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(mPath, ignored);
  }

  const std::filesystem::path& Path() const { return mPath; }

private:
  std::filesystem::path mPath;
};

} // namespace sesameway::test
