#pragma once

#include <glog/logging.h>

#include <sstream>
#include <string_view>

namespace sesameway::daemon {

// Builds one log line of key=value pairs; texts with spaces or quotes are quoted.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent) { mText << "event=" << aEvent; }

  template<typename Value>
  LogLine& With(std::string_view aKey, const Value& aValue)
  {
    mText << ' ' << aKey << '=';
    if constexpr (std::is_convertible_v<Value, std::string_view>) {
      PutText(std::string_view(aValue));
    } else {
      mText << aValue;
    }
    return *this;
  }

  std::string Text() const { return mText.str(); }

private:
  void PutText(std::string_view aText)
  {
    if (!aText.empty() && aText.find_first_of(" \"\n=") == std::string_view::npos) {
      mText << aText;
      return;
    }
    mText << '"';
    for (char it : aText) {
      mText << (it == '"' || it == '\n' ? '\'' : it);
    }
    mText << '"';
  }

  std::ostringstream mText;
};

inline std::ostream& operator<<(std::ostream& aStream, const LogLine& aLine)
{
  return aStream << aLine.Text();
}

// Hands over a statement's line to one thread that writes them all, within
// milliseconds. Never waits: where the log is far behind, lines are dropped and
// counted.
void LogStatement(const LogLine& aLine);
// Writes the lines handed over so far, before the process ends.
void FlushStatementLines();

} // namespace sesameway::daemon
