// What the cases share: the usual deployment, its start and the verdict.
#pragma once

#include "Client.h"
#include "Databases.h"
#include "Fleet.h"
#include "Store.h"

#include <cstdlib>
#include <iostream>

namespace review {

enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

// Three machines in three zones, one service of three databases.
class Deployment
{
public:
  Deployment(const std::string& aProgram,
             const std::string& aFolder,
             ServiceOptions aOptions = {},
             int aMachines = 3)
    : mFleet(aProgram, aFolder)
    , mService(std::move(aOptions), mStore)
  {
    const char* zones[] = { "praha-a", "brno-a", "ostrava-a" };
    for (int n = 0; n < aMachines; ++n) {
      std::string zone = zones[n % 3];
      mFleet.AddMachine("front-" + zone + '-' + std::to_string(1 + n / 3), zone);
    }
  }

  // Starts everything and waits until a write is served and `kContactMs` have passed.
  bool Start(Configuration& aConfiguration)
  {
    const char* zones[] = { "praha-a", "brno-a", "ostrava-a" };
    const char* names[] = { "i-7f3a91c2", "i-20bd6e10", "i-c94401fa" };
    bool isOpen = mStore.Listen(mFleet.StoreAddress()) &&
                  mDuties.Listen(mFleet.DutyAddress(),
                                 [this](const auto& aService, const auto& aDatabase) {
                                   return mService.Promote(aService, aDatabase);
                                 });
    for (int n = 0; n < 3; ++n) {
      auto& database = mService.Add(names[n], zones[n]);
      isOpen = isOpen && database.Listen(mFleet.DatabaseAddress(n));
    }
    if (!isOpen) {
      Note("an address could not be used");
      return false;
    }
    mService.Register();
    aConfiguration.Put(mStore);
    mFleet.StartAll();
    return mFleet.WaitUntilReady(20000) && WaitForWrite(aConfiguration, 20000);
  }

  Store mStore;
  Duties mDuties;
  Fleet mFleet;
  Service mService;

private:
  bool WaitForWrite(const Configuration& aConfiguration, long aMs)
  {
    auto until = NowMs() + aMs;
    for (auto& it : mFleet.Machines()) {
      for (;;) {
        Client client("probe", true);
        const auto& key = aConfiguration.mKeys.begin()->second.front();
        bool isDone = client.Connect(it.Front(), "booking-commit", key) &&
                      client.Query("WRITE probe x").IsDone();
        client.Close();
        if (isDone) {
          break;
        }
        if (NowMs() > until) {
          Note("machine ", it.mName, ": serves no write in time");
          return false;
        }
        SleepMs(200);
      }
    }
    SleepMs(kContactMs + 500);
    Note("all machines serve and have been calm for contactMs");
    return true;
  }
};

// Adds the reads, writes and commits that the databases ran to the record.
inline void NoteRuns(Service& aService)
{
  for (const auto& it : aService.Runs()) {
    std::string values;
    for (const auto& value : it.mValues) {
      values += ' ' + value.first + '=' + value.second;
    }
    Note("run at ",
         static_cast<double>(it.mAt) / 1000,
         " s: ",
         it.mDatabase,
         " connection ",
         it.mConnection,
         " tenant ",
         it.mTenant,
         it.mIsInTransaction ? " in a transaction: " : ": ",
         it.mId,
         ' ',
         it.mText,
         values.empty() ? "" : ", values" + values);
  }
}

// Runs a case: argv is the folder of the record, the folder for logs and the program.
inline int RunCase(int aCount,
                   char** aArguments,
                   Verdict (*aCase)(const std::string& aProgram,
                                    const std::string& aFolder,
                                    bool aHasTrouble))
{
  if (aCount != 4 ||
      !Record::Instance().Open(std::string(aArguments[1]) + "/record.txt")) {
    std::cerr << "usage: " << aArguments[0] << " RECORD-FOLDER LOG-FOLDER PROGRAM\n";
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  StartTime();
  const char* trouble = std::getenv("TROUBLE");
  bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  Note("TROUBLE=", hasTrouble ? 1 : 0);
  auto verdict = aCase(aArguments[3], aArguments[2], hasTrouble);
  const char* text = verdict == Verdict::Held     ? "the rule held"
                     : verdict == Verdict::Broken ? "THE RULE WAS BROKEN"
                                                  : "the case could not run";
  Note("result: ", text);
  std::cout << text << std::endl;
  std::cout.flush();
  return static_cast<int>(verdict);
}

} // namespace review
