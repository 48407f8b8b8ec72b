#ifndef GOOSEBERRY_TRACE_H
#define GOOSEBERRY_TRACE_H

// Merges the log lines about a job, a worker or any other id from the decision
// logs of several instances into one timeline.

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "commands.h"

namespace gooseberry {

// A line of the decision log: key=value fields; values may be quoted.
struct LogLine
{
  std::string time;
  std::string instance;
  std::string event;
  std::map<std::string, std::string> fields;

  auto operator==(const LogLine&) const -> bool = default;
};

// Returns nullopt if the text is not a decision log line.
auto
ParseLogLine(const std::string& aText) -> std::optional<LogLine>;

// Returns the lines about the id: those with the id as the value of any field,
// and, if it is the id of a job, those about tasks of the job.
auto
FindLinesAbout(std::istream& aLog, const std::string& aId)
  -> std::vector<LogLine>;

// Sorts the lines of several logs by time, except that the known order of
// events takes precedence, since the clocks of instances may differ: lines of
// one cell are in the order of their fencing tokens, lines of one task in the
// order of their run numbers.
auto
OrderLines(std::vector<LogLine> aLines) -> std::vector<LogLine>;

// Implements: gooseberryctl trace LOGFILE... --id ID
auto
RunTrace(const std::vector<std::string>& aFiles, const std::string& aId)
  -> ExitCode;

} // namespace gooseberry

#endif
