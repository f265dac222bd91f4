// world CASE RECORD: plays one case of the review. TROUBLE=0 leaves the disruption out.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include "cases.h"

#include <cstdlib>
#include <cstring>
#include <unistd.h>

int main(int argc, char** argv)
{
  if (argc != 3) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  bool isTroubled = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  world::Record::Open(argv[2]);
  int code = 2;
  for (const auto& it : world::kCases) {
    if (std::strcmp(it.mName, argv[1]) == 0) {
      code = it.mRun(isTroubled);
    }
  }
  world::Record::Line("exit %d (1: the rule was broken, 0: it held, 2: could not run)",
                      code);
  std::_Exit(code);
}
