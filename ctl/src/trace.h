#ifndef GOOSEBERRY_TRACE_H
#define GOOSEBERRY_TRACE_H

// Merges the lines about one id, such as that of a job or a worker, from the
// decision logs of several instances into one timeline.

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

// Returns the lines about the id: those with the id as the value of a field
// other than time, instance and event, and those whose task id begins with the
// id and a dot, as those of the tasks of a job do. Of the other lines, those on
// accounts at their limit are added to aLimitLines unless it is null.
auto
FindLinesAbout(std::istream& aLog,
               const std::string& aId,
               std::vector<LogLine>* aLimitLines = nullptr)
  -> std::vector<LogLine>;

// Of the lines on accounts at their limit, those that tell why the job waited:
// its account's, from the first line about the job until its end.
auto
SelectLimitLines(const std::vector<LogLine>& aJobLines,
                 const std::vector<LogLine>& aLimitLines)
  -> std::vector<LogLine>;

// Sorts the lines of several logs by time. Since the clocks of instances may
// differ, then moves a line before an earlier line of the same task with a
// higher run number or, if the tasks differ, of the same cell with a higher
// fencing token. Lines without that number are not moved.
auto
OrderLines(std::vector<LogLine> aLines) -> std::vector<LogLine>;

// Implements: gooseberryctl trace LOGFILE... --id ID
auto
RunTrace(const std::vector<std::string>& aFiles, const std::string& aId)
  -> ExitCode;

} // namespace gooseberry

#endif
