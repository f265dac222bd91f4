#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sesameway::daemon {

// The settings of a daemon, as read from its settings file and validated.
struct Settings
{
  std::string mName;
  std::string mZone;
  std::string mRegion;
  // The addresses have the form IP:port.
  std::string mCallerAddress;
  std::string mPeerAddress;
  std::string mPlatformAddress;
  int mWorkers = 2;
  // Peer addresses of a few other daemons, from which this daemon can get the catalogue
  // if the store is unreachable when it starts.
  std::vector<std::string> mSeedPeerAddresses;
  // Whether keys are refused once the daemon has been out of contact for longer than
  // mIsolatedAfter, as the withdrawal of a key may then have been missed.
  bool mRefusesIsolated = true;
  Duration mIsolatedAfter = seconds(10);
  // Whether the daemon uses an equal static share of each limit instead of the shares
  // held in the store.
  bool mStaticLimits = false;
};

// An error in a settings file: the key with the error, and what was expected there. The
// key is empty if the file as a whole can't be read.
struct SettingsError
{
  std::string mFile;
  std::string mKey;
  std::string mExpected;
};

// Reads and validates a settings file. Returns all errors of the file, not only the
// first one.
tl::expected<Settings, std::vector<SettingsError>> LoadSettings(
  const std::string& aFile);

} // namespace sesameway::daemon
