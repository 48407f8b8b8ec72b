#include "trace.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>

namespace gooseberry {

namespace {

// Written while an account is at its limit or has tasks that wait because of
// it. It names no job.
constexpr const char* kAccountLimitEvent = "account_limit";

// Returns the value that begins at aFrom, without quotes and escapes, and
// advances aFrom past it.
auto
ReadValue(const std::string& aText, std::size_t& aFrom) -> std::string
{
  auto value = std::string{};
  if (aFrom >= aText.size() || aText[aFrom] != '"') {
    while (aFrom < aText.size() && aText[aFrom] != ' ') {
      value += aText[aFrom++];
    }
    return value;
  }
  for (++aFrom; aFrom < aText.size() && aText[aFrom] != '"'; ++aFrom) {
    if (aText[aFrom] == '\\' && aFrom + 1 < aText.size()) {
      ++aFrom;
    }
    value += aText[aFrom];
  }
  ++aFrom;
  return value;
}

auto
MentionsId(const LogLine& aLine, const std::string& aId) -> bool
{
  return std::any_of(
    aLine.fields.begin(), aLine.fields.end(), [&](const auto& aField) {
      const auto& value = aField.second;
      return value == aId ||
             (aField.first == "task" && value.starts_with(aId + "."));
    });
}

auto
IntegerField(const LogLine& aLine, const char* aKey) -> long
{
  const auto found = aLine.fields.find(aKey);
  auto number = 0L;
  if (found != aLine.fields.end()) {
    const auto& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

auto
FieldValue(const LogLine& aLine, const char* aKey) -> std::string
{
  const auto found = aLine.fields.find(aKey);
  return found == aLine.fields.end() ? std::string{} : found->second;
}

// The account of the job, as a line about it tells; empty if none does.
auto
AccountOf(const std::vector<LogLine>& aLines) -> std::string
{
  for (const auto& line : aLines) {
    if (auto account = FieldValue(line, "account"); !account.empty()) {
      return account;
    }
  }
  return {};
}

} // namespace

auto
ParseLogLine(const std::string& aText) -> std::optional<LogLine>
{
  // Benchmarks and log collectors may prefix the line with their own text.
  const auto begin = aText.find("time=");
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  auto line = LogLine{};
  for (auto at = begin; at < aText.size();) {
    const auto equals = aText.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    auto key = aText.substr(at, equals - at);
    at = equals + 1;
    auto value = ReadValue(aText, at);
    if (key == "time") {
      line.time = std::move(value);
    } else if (key == "instance") {
      line.instance = std::move(value);
    } else if (key == "event") {
      line.event = std::move(value);
    } else {
      line.fields.emplace(std::move(key), std::move(value));
    }
    while (at < aText.size() && aText[at] == ' ') {
      ++at;
    }
  }
  if (line.event.empty()) {
    return std::nullopt;
  }
  return line;
}

auto
FindLinesAbout(std::istream& aLog,
               const std::string& aId,
               std::vector<LogLine>* aLimitLines) -> std::vector<LogLine>
{
  auto lines = std::vector<LogLine>{};
  auto text = std::string{};
  while (std::getline(aLog, text)) {
    auto line = ParseLogLine(text);
    if (line && MentionsId(*line, aId)) {
      lines.push_back(std::move(*line));
    } else if (line && aLimitLines != nullptr &&
               line->event == kAccountLimitEvent) {
      aLimitLines->push_back(std::move(*line));
    }
  }
  return lines;
}

auto
SelectLimitLines(const std::vector<LogLine>& aJobLines,
                 const std::vector<LogLine>& aLimitLines)
  -> std::vector<LogLine>
{
  const auto account = AccountOf(aJobLines);
  auto selected = std::vector<LogLine>{};
  if (account.empty()) {
    return selected;
  }
  const auto [first, last] =
    std::minmax_element(aJobLines.begin(),
                        aJobLines.end(),
                        [](const LogLine& aLeft, const LogLine& aRight) {
                          return aLeft.time < aRight.time;
                        });
  // A job without an end still waits.
  const auto hasEnded =
    std::any_of(aJobLines.begin(), aJobLines.end(), [](const LogLine& aLine) {
      return aLine.event == "job_ended";
    });
  std::copy_if(aLimitLines.begin(),
               aLimitLines.end(),
               std::back_inserter(selected),
               [&, from = first->time, to = last->time](const LogLine& aLine) {
                 return FieldValue(aLine, "account") == account &&
                        aLine.time >= from && (!hasEnded || aLine.time <= to);
               });
  return selected;
}

auto
OrderLines(std::vector<LogLine> aLines) -> std::vector<LogLine>
{
  std::stable_sort(aLines.begin(),
                   aLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.time < aRight.time;
                   });
  // Moves each line before the first earlier line of the same task with a
  // higher run number, or of the same cell with a higher fencing token.
  // Quadratic in the number of lines for one id.
  for (auto right = std::size_t{ 1 }; right < aLines.size(); ++right) {
    for (auto left = std::size_t{ 0 }; left < right; ++left) {
      const auto task = FieldValue(aLines[left], "task");
      const auto sameTask =
        !task.empty() && task == FieldValue(aLines[right], "task");
      const auto cell = FieldValue(aLines[left], "cell");
      const auto sameCell =
        !cell.empty() && cell == FieldValue(aLines[right], "cell");
      const auto key = sameTask ? "run" : "token";
      if ((!sameTask && !sameCell) || IntegerField(aLines[right], key) == 0 ||
          IntegerField(aLines[left], key) <= IntegerField(aLines[right], key)) {
        continue;
      }
      std::rotate(aLines.begin() + static_cast<std::ptrdiff_t>(left),
                  aLines.begin() + static_cast<std::ptrdiff_t>(right),
                  aLines.begin() + static_cast<std::ptrdiff_t>(right) + 1);
      break;
    }
  }
  return aLines;
}

auto
RunTrace(const std::vector<std::string>& aFiles, const std::string& aId)
  -> ExitCode
{
  if (aFiles.empty() || aId.empty()) {
    std::cerr << "gooseberryctl: trace requires LOGFILE... and --id ID\n";
    return ExitCode::Usage;
  }
  auto lines = std::vector<LogLine>{};
  auto limitLines = std::vector<LogLine>{};
  for (const auto& file : aFiles) {
    auto log = std::ifstream{ file };
    if (!log) {
      std::cerr << "gooseberryctl: cannot read " << file << '\n';
      return ExitCode::Failure;
    }
    const auto found = FindLinesAbout(log, aId, &limitLines);
    lines.insert(lines.end(), found.begin(), found.end());
  }
  if (lines.empty()) {
    std::cerr << "gooseberryctl: no log line mentions '" << aId << "'\n";
    return ExitCode::Failure;
  }
  const auto limits = SelectLimitLines(lines, limitLines);
  lines.insert(lines.end(), limits.begin(), limits.end());
  for (const auto& line : OrderLines(std::move(lines))) {
    std::cout << line.time << "  " << line.instance << "  " << line.event;
    for (const auto& [key, value] : line.fields) {
      std::cout << ' ' << key << '=' << value;
    }
    std::cout << '\n';
  }
  return ExitCode::Ok;
}

} // namespace gooseberry
