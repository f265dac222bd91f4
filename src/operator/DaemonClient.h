#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sesameway::operators {

// Makes blocking operator calls to one daemon at its caller address, IP:port. The
// functions return no value if the daemon does not answer within 2 s.
class DaemonClient
{
public:
  explicit DaemonClient(std::string aAddress)
    : mAddress(std::move(aAddress))
  {
  }
  std::optional<std::string> Status() const;
  std::optional<std::map<std::string, double>> Metrics() const;
  std::optional<std::string> Explain(const std::string& aKeyName,
                                     const std::string& aRoute,
                                     bool aIsWrite) const;

private:
  std::string mAddress;
};

// Returns the value of a key in a text of key=value pairs; empty if the key is missing.
// Finds only keys at the beginning of the text or after a space.
std::string ValueOf(const std::string& aText, const std::string& aKey);

} // namespace sesameway::operators
