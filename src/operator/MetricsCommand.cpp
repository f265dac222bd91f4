#include "operator/Commands.h"
#include "operator/DaemonClient.h"

#include <cstdio>
#include <iostream>

namespace sesameway::operators {

int ShowMetrics(const std::vector<std::string>& aDaemons)
{
  int result = kDone;
  for (const auto& address : aDaemons) {
    auto metrics = DaemonClient(address).Metrics();
    if (!metrics) {
      std::cerr << "daemon=" << address << " error=unreachable\n";
      result = kFailed;
      continue;
    }
    for (const auto& it : *metrics) {
      std::printf("daemon=%s metric=%s value=%.10g\n",
                  address.c_str(),
                  it.first.c_str(),
                  it.second);
    }
  }
  return result;
}

} // namespace sesameway::operators
