#pragma once

#include <glog/logging.h>

#include <sstream>
#include <string_view>

namespace sesameway::daemon {

// Builds one log line of key=value pairs. Texts are quoted if they are empty or contain
// spaces, quotes, line breaks or equals signs. Quotes and line breaks in them are
// replaced by apostrophes.
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

// Queues a statement's log line for a single writer thread, which writes it within
// about 100 ms. Never blocks: if the writer falls far behind, lines are dropped and
// counted.
void LogStatement(const LogLine& aLine);
// Writes all queued lines. Call it before the process ends.
void FlushStatementLines();

} // namespace sesameway::daemon
