#include "daemon/Settings.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <variant>

namespace sesameway::daemon {

namespace {

constexpr std::size_t kMaxTextBytes = 64;
constexpr int kMaxWorkers = 64;
constexpr int kMaxPort = 65'535;
// With a shorter time, the regular pause between two contacts would count as isolation.
constexpr int kMinIsolatedAfterS = 6;
constexpr int kMaxIsolatedAfterS = 86'400;
constexpr std::string_view kAddressExpected =
  "IP:port with a numeric IP address and a port from 1 to 65535";

template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// A name of at most kMaxTextBytes without whitespace, quotes or equals signs.
struct TextField
{
  std::string Settings::*mTarget;
};
// IP:port with a numeric IP address.
struct AddressField
{
  std::string Settings::*mTarget;
};
struct IntegerField
{
  int Settings::*mTarget;
  int mMin;
  int mMax;
};

struct SecondsField
{
  Duration Settings::*mTarget;
  int mMin;
  int mMax;
};
// One of two words, stored as a boolean.
struct ChoiceField
{
  bool Settings::*mTarget;
  std::string_view mTrue;
  std::string_view mFalse;
};
struct AddressListField
{
  std::vector<std::string> Settings::*mTarget;
};

enum class Presence : std::uint8_t
{
  Required,
  Optional,
};

struct Field
{
  std::string_view mKey;
  Presence mPresence;
  std::variant<TextField,
               AddressField,
               IntegerField,
               SecondsField,
               ChoiceField,
               AddressListField>
    mKind;
};

// Every key that a settings file may have.
constexpr std::array kFields{
  Field{ "name", Presence::Required, TextField{ &Settings::mName } },
  Field{ "zone", Presence::Required, TextField{ &Settings::mZone } },
  Field{ "region", Presence::Required, TextField{ &Settings::mRegion } },
  Field{ "caller_address",
         Presence::Required,
         AddressField{ &Settings::mCallerAddress } },
  Field{ "peer_address", Presence::Required, AddressField{ &Settings::mPeerAddress } },
  Field{ "platform_address",
         Presence::Required,
         AddressField{ &Settings::mPlatformAddress } },
  Field{ "workers",
         Presence::Optional,
         IntegerField{ &Settings::mWorkers, 1, kMaxWorkers } },
  Field{ "fellow_addresses",
         Presence::Optional,
         AddressListField{ &Settings::mSeedPeerAddresses } },
  Field{ "isolated_keys",
         Presence::Optional,
         ChoiceField{ &Settings::mRefusesIsolated, "refuse", "serve" } },
  Field{
    "isolated_after_s",
    Presence::Optional,
    SecondsField{ &Settings::mIsolatedAfter, kMinIsolatedAfterS, kMaxIsolatedAfterS } },
  Field{ "limits",
         Presence::Optional,
         ChoiceField{ &Settings::mStaticLimits, "static", "fleet" } },
};

bool IsName(std::string_view aText)
{
  bool hasBlanks = aText.find_first_of(" \t\r\n\"=") != std::string_view::npos;
  return !aText.empty() && aText.size() <= kMaxTextBytes && !hasBlanks;
}

bool IsPort(std::string_view aText)
{
  int port = 0;
  auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), port);
  bool isWhole = ec == std::errc() && end == aText.data() + aText.size();
  return isWhole && port >= 1 && port <= kMaxPort;
}

// Accepts numeric addresses only, such as 10.0.0.1:7000 or [::1]:7000, so that no
// daemon depends on DNS.
bool IsAddress(std::string_view aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  std::string host(aText.substr(0, colon));
  in6_addr parsed{};
  bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed) {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

std::string_view TypeName(toml::node_type aType)
{
  switch (aType) {
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a floating-point number";
    case toml::node_type::boolean:
      return "a boolean";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::table:
      return "a table";
    case toml::node_type::date:
    case toml::node_type::time:
    case toml::node_type::date_time:
      return "a date or time";
    default:
      return "nothing";
  }
}

// Reads the fields of one file into the settings and collects the errors.
class Checker
{
public:
  Checker(std::string aFile, Settings& aSettings)
    : mFile(std::move(aFile))
    , mSettings(aSettings)
  {
  }

  void CheckKeys(const toml::table& aTable)
  {
    for (const auto& entry : aTable) {
      auto key = entry.first.str();
      bool isKnown = std::any_of(kFields.begin(), kFields.end(), [&](const Field& aIt) {
        return aIt.mKey == key;
      });
      if (!isKnown) {
        AddError(std::string(key), "one of the known keys: " + KnownKeys());
      }
    }
  }

  void Read(const toml::table& aTable, const Field& aField)
  {
    const auto* node = aTable.get(aField.mKey);
    std::visit(
      Overloaded{
        [&](const TextField& aKind) {
          std::string what = "a name of 1 to " + std::to_string(kMaxTextBytes) +
                             " bytes without whitespace, quotes or equals signs";
          ReadString(node, aField, what, IsName, mSettings.*aKind.mTarget);
        },
        [&](const AddressField& aKind) {
          ReadString(node,
                     aField,
                     std::string(kAddressExpected),
                     IsAddress,
                     mSettings.*aKind.mTarget);
        },
        [&](const IntegerField& aKind) {
          ReadInteger(node, aField, aKind.mMin, aKind.mMax, mSettings.*aKind.mTarget);
        },
        [&](const SecondsField& aKind) {
          int number = 0;
          if (ReadInteger(node, aField, aKind.mMin, aKind.mMax, number)) {
            mSettings.*aKind.mTarget = seconds(number);
          }
        },
        [&](const ChoiceField& aKind) { ReadChoice(node, aField, aKind); },
        [&](const AddressListField& aKind) {
          ReadAddresses(node, aField, mSettings.*aKind.mTarget);
        },
      },
      aField.mKind);
  }

  void CheckAddressesDiffer()
  {
    const auto& callers = mSettings.mCallerAddress;
    if (!callers.empty() && callers == mSettings.mPeerAddress) {
      AddError("peer_address", "an address that differs from caller_address");
    }
  }

  void AddError(std::string aKey, std::string aExpected)
  {
    mErrors.push_back({ mFile, std::move(aKey), std::move(aExpected) });
  }

  std::vector<SettingsError> TakeErrors() { return std::move(mErrors); }

private:
  static std::string KnownKeys()
  {
    std::string names;
    for (const auto& it : kFields) {
      names += names.empty() ? "" : ", ";
      names += it.mKey;
    }
    return names;
  }

  void AddFieldError(const toml::node* aNode,
                     const Field& aField,
                     const std::string& aExpected)
  {
    if (!aNode) {
      if (aField.mPresence == Presence::Required) {
        AddError(std::string(aField.mKey), aExpected + ", but it is missing");
      }
      return;
    }
    std::ostringstream found;
    found << aExpected << ", not ";
    if (aNode->is_string()) {
      found << '\'' << aNode->as_string()->get() << '\'';
    } else if (aNode->is_integer()) {
      found << aNode->as_integer()->get();
    } else {
      found << TypeName(aNode->type());
    }
    found << " (line " << aNode->source().begin.line << ')';
    AddError(std::string(aField.mKey), found.str());
  }

  void ReadString(const toml::node* aNode,
                  const Field& aField,
                  const std::string& aExpected,
                  bool (*aIsValid)(std::string_view),
                  std::string& aTarget)
  {
    const auto* text = aNode ? aNode->as_string() : nullptr;
    if (!text || !aIsValid(text->get())) {
      AddFieldError(aNode, aField, aExpected);
      return;
    }
    aTarget = text->get();
  }

  // Returns false and leaves the target unchanged if the node is not a valid number.
  bool ReadInteger(const toml::node* aNode,
                   const Field& aField,
                   int aMin,
                   int aMax,
                   int& aTarget)
  {
    const auto* number = aNode ? aNode->as_integer() : nullptr;
    if (!number || number->get() < aMin || number->get() > aMax) {
      AddFieldError(aNode,
                    aField,
                    "an integer from " + std::to_string(aMin) + " to " +
                      std::to_string(aMax));
      return false;
    }
    aTarget = static_cast<int>(number->get());
    return true;
  }

  void ReadChoice(const toml::node* aNode,
                  const Field& aField,
                  const ChoiceField& aKind)
  {
    const auto* text = aNode ? aNode->as_string() : nullptr;
    bool isTrue = text && text->get() == aKind.mTrue;
    bool isFalse = text && text->get() == aKind.mFalse;
    if (!isTrue && !isFalse) {
      AddFieldError(
        aNode, aField, std::string(aKind.mTrue) + " or " + std::string(aKind.mFalse));
      return;
    }
    mSettings.*aKind.mTarget = isTrue;
  }

  void ReadAddresses(const toml::node* aNode,
                     const Field& aField,
                     std::vector<std::string>& aTarget)
  {
    std::vector<std::string> addresses;
    const auto* array = aNode ? aNode->as_array() : nullptr;
    bool isValid = array != nullptr;
    for (std::size_t n = 0; array && n < array->size(); ++n) {
      const auto* text = array->get(n)->as_string();
      isValid = isValid && text && IsAddress(text->get());
      addresses.push_back(text ? text->get() : std::string());
    }
    if (!isValid) {
      AddFieldError(
        aNode, aField, "an array of addresses, each " + std::string(kAddressExpected));
      return;
    }
    aTarget = std::move(addresses);
  }

  std::string mFile;
  Settings& mSettings;
  std::vector<SettingsError> mErrors;
};

} // namespace

tl::expected<Settings, std::vector<SettingsError>> LoadSettings(
  const std::string& aFile)
{
  Settings settings;
  Checker checker(aFile, settings);
  try {
    auto table = toml::parse_file(aFile);
    checker.CheckKeys(table);
    for (const auto& it : kFields) {
      checker.Read(table, it);
    }
    checker.CheckAddressesDiffer();
  } catch (const toml::parse_error& error) {
    checker.AddError(
      "",
      "a readable file with valid TOML: " + std::string(error.description()) +
        " (line " + std::to_string(error.source().begin.line) + ")");
  }
  auto errors = checker.TakeErrors();
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return settings;
}

} // namespace sesameway::daemon
