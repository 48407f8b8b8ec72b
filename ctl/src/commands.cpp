#include "commands.h"

#include <cstdio>
#include <iostream>
#include <optional>
#include <thread>

#include "jsontext.h"
#include "readfile.h"
#include "table.h"

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds kPoll{ 200 };

auto
Fail(const ApiReply& aReply) -> ExitCode
{
  std::cerr << "gooseberryctl: " << aReply.reason << '\n';
  return aReply.status == 0 ? ExitCode::Failure : ExitCode::Rejected;
}

// Reads a file named on the command line; reports an error and returns nullopt
// if it can't be read.
auto
ReadArgumentFile(const std::string& aPath) -> std::optional<std::string>
{
  auto text = ReadFile(aPath);
  if (!text) {
    std::cerr << "gooseberryctl: cannot read " << aPath << '\n';
  }
  return text;
}

// Requests aPath and prints the array aList of the response as a table, or the
// whole response as JSON.
auto
ShowList(CommandContext& aContext,
         const std::string& aPath,
         const char* aList,
         const std::vector<Column>& aColumns) -> ExitCode
{
  const auto reply = aContext.api.Call("GET", aPath);
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  if (aContext.json) {
    std::cout << reply.body.dump(2) << '\n';
  } else {
    PrintTable(aColumns, reply.body.at(aList));
  }
  return ExitCode::Ok;
}

// Waits until every live instance has document version aNumber or a newer one
// in force, and prints progress to stderr.
auto
WaitUntilInForce(CommandContext& aContext, std::uint64_t aNumber) -> ExitCode
{
  const auto deadline = std::chrono::steady_clock::now() + aContext.wait;
  auto lastLine = std::string{};
  for (;;) {
    const auto reply = aContext.api.Call("GET", "/v1/instances");
    auto upToDateCount = 0;
    auto instanceCount = 0;
    if (reply.IsSuccess()) {
      for (const auto& member : reply.body.at("instances")) {
        ++instanceCount;
        upToDateCount +=
          member.at("document").get<std::uint64_t>() >= aNumber ? 1 : 0;
      }
    }
    const auto line = "version " + std::to_string(aNumber) + " in force on " +
                      std::to_string(upToDateCount) + " of " +
                      std::to_string(instanceCount) + " instances";
    if (line != lastLine) {
      std::cerr << line << '\n';
      lastLine = line;
    }
    if (instanceCount > 0 && upToDateCount == instanceCount) {
      return ExitCode::Ok;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      std::cerr << "gooseberryctl: timed out: version " << aNumber
                << " has not reached all instances within "
                << aContext.wait.count() << " s\n";
      return ExitCode::NotInForce;
    }
    std::this_thread::sleep_for(kPoll);
  }
}

auto
ReportEditAndWait(CommandContext& aContext, const ApiReply& aReply) -> ExitCode
{
  if (!aReply.IsSuccess()) {
    return Fail(aReply);
  }
  if (aContext.json) {
    std::cout << aReply.body.dump(2) << '\n';
  }
  return WaitUntilInForce(aContext,
                          aReply.body.at("number").get<std::uint64_t>());
}

struct FoundSection
{
  std::uint64_t version = 0;
  std::string text;
};

// Returns version 0 if there is no such section or the request failed; aReply
// receives the response.
auto
FindSection(CommandContext& aContext,
            const std::string& aName,
            ApiReply& aReply) -> FoundSection
{
  aReply = aContext.api.Call("GET", "/v1/document");
  if (aReply.IsSuccess()) {
    for (const auto& section : aReply.body.at("sections")) {
      if (section.at("name") == aName) {
        return { section.at("version"), section.at("text") };
      }
    }
  }
  return {};
}

auto
ShowDocument(CommandContext& aContext) -> ExitCode
{
  const auto reply = aContext.api.Call("GET", "/v1/document");
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  if (aContext.json) {
    std::cout << reply.body.dump(2) << '\n';
    return ExitCode::Ok;
  }
  std::cout << "# version " << reply.body.at("number") << '\n';
  for (const auto& section : reply.body.at("sections")) {
    std::cout << "# section " << section.at("name").get<std::string>()
              << ", version " << section.at("version") << '\n'
              << section.at("text").get<std::string>() << '\n';
  }
  return ExitCode::Ok;
}

auto
ShowSection(CommandContext& aContext) -> ExitCode
{
  auto reply = ApiReply{};
  const auto found = FindSection(aContext, aContext.arguments[0], reply);
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  if (found.version == 0) {
    std::cerr << "gooseberryctl: no section '" << aContext.arguments[0]
              << "'\n";
    return ExitCode::Rejected;
  }
  std::cerr << "version " << found.version << '\n';
  std::cout << found.text;
  return ExitCode::Ok;
}

// Without --base, the edit is based on the version of the section that the
// instance currently reports.
auto
ApplySection(CommandContext& aContext) -> ExitCode
{
  const auto text = ReadArgumentFile(aContext.arguments[1]);
  if (!text) {
    return ExitCode::Failure;
  }
  auto base = aContext.base;
  if (base.empty()) {
    auto reply = ApiReply{};
    base = std::to_string(
      FindSection(aContext, aContext.arguments[0], reply).version);
    if (!reply.IsSuccess()) {
      return Fail(reply);
    }
  }
  return ReportEditAndWait(
    aContext,
    aContext.api.Call(
      "PUT", "/v1/sections/" + aContext.arguments[0] + "?base=" + base, *text));
}

auto
ValidateSection(CommandContext& aContext) -> ExitCode
{
  const auto text = ReadArgumentFile(aContext.arguments[1]);
  if (!text) {
    return ExitCode::Failure;
  }
  const auto reply = aContext.api.Call(
    "POST", "/v1/sections/" + aContext.arguments[0] + "/validate", *text);
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  std::cout << "valid\n";
  return ExitCode::Ok;
}

auto
SplitLines(const std::string& aText) -> std::vector<std::string>
{
  auto lines = std::vector<std::string>{};
  auto stream = std::istringstream{ aText };
  auto line = std::string{};
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

// Prints the lines that only one side has (- stored section, + file), computed
// by the longest common subsequence.
auto
DiffSection(CommandContext& aContext) -> ExitCode
{
  const auto text = ReadArgumentFile(aContext.arguments[1]);
  auto reply = ApiReply{};
  const auto found = FindSection(aContext, aContext.arguments[0], reply);
  if (!text || !reply.IsSuccess()) {
    return text ? Fail(reply) : ExitCode::Failure;
  }
  const auto storedLines = SplitLines(found.text);
  const auto fileLines = SplitLines(*text);
  auto commonLength = std::vector<std::vector<int>>(
    storedLines.size() + 1, std::vector<int>(fileLines.size() + 1, 0));
  for (auto row = storedLines.size(); row-- > 0;) {
    for (auto column = fileLines.size(); column-- > 0;) {
      commonLength[row][column] = storedLines[row] == fileLines[column]
                                    ? commonLength[row + 1][column + 1] + 1
                                    : std::max(commonLength[row + 1][column],
                                               commonLength[row][column + 1]);
    }
  }
  auto row = std::size_t{ 0 };
  auto column = std::size_t{ 0 };
  while (row < storedLines.size() || column < fileLines.size()) {
    if (row < storedLines.size() && column < fileLines.size() &&
        storedLines[row] == fileLines[column]) {
      ++row;
      ++column;
    } else if (row < storedLines.size() && (column == fileLines.size() ||
                                            commonLength[row + 1][column] >=
                                              commonLength[row][column + 1])) {
      std::cout << "-" << storedLines[row++] << '\n';
    } else {
      std::cout << "+" << fileLines[column++] << '\n';
    }
  }
  return ExitCode::Ok;
}

auto
ShowHistory(CommandContext& aContext) -> ExitCode
{
  return ShowList(aContext,
                  "/v1/history",
                  "changes",
                  { { "VERSION", "/number" },
                    { "SECTION", "/section" },
                    { "UNIX MS", "/unixMillis" },
                    { "EDIT", "/identity" } });
}

auto
SetDomain(CommandContext& aContext) -> ExitCode
{
  const auto& state = aContext.arguments[1];
  if (state != "in" && state != "out") {
    std::cerr << "gooseberryctl: expected 'in' or 'out', got '" << state
              << "'\n";
    return ExitCode::Usage;
  }
  return ReportEditAndWait(
    aContext,
    aContext.api.Call("POST",
                      "/v1/domains/" + aContext.arguments[0] + "/" + state));
}

auto
SubmitJobs(CommandContext& aContext) -> ExitCode
{
  if (aContext.submission.empty()) {
    std::cerr << "gooseberryctl: --submission NAME is required; the same name "
                 "submits the same tasks only once\n";
    return ExitCode::Usage;
  }
  const auto body = nlohmann::json{ { "class", aContext.arguments[0] },
                                    { "count", aContext.count },
                                    { "submission", aContext.submission } };
  const auto reply = aContext.api.Call("POST", "/v1/jobs", body.dump());
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  for (const auto& task : reply.body.at("tasks")) {
    std::cout << task.get<std::string>() << '\n';
  }
  return ExitCode::Ok;
}

auto
TaskPhase(CommandContext& aContext, const std::string& aTask)
  -> std::optional<std::string>
{
  const auto reply = aContext.api.Call("GET", "/v1/tasks?prefix=" + aTask);
  if (reply.IsSuccess()) {
    for (const auto& task : reply.body.at("tasks")) {
      if (task.at("id") == aTask) {
        return task.at("phase").get<std::string>();
      }
    }
  }
  return std::nullopt;
}

auto
CancelTask(CommandContext& aContext) -> ExitCode
{
  const auto& task = aContext.arguments[0];
  const auto reply = aContext.api.Call("DELETE", "/v1/tasks/" + task);
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  const auto deadline = std::chrono::steady_clock::now() + aContext.wait;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto phase = TaskPhase(aContext, task);
    if (phase == "cancelled" || phase == "finished") {
      std::cout << *phase << '\n';
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(kPoll);
  }
  std::cerr << "gooseberryctl: timed out: task " << task
            << " was not cancelled within " << aContext.wait.count() << " s\n";
  return ExitCode::NotInForce;
}

auto
RetryTask(CommandContext& aContext) -> ExitCode
{
  const auto& task = aContext.arguments[0];
  const auto reply = aContext.api.Call("POST", "/v1/tasks/" + task + "/retry");
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  const auto deadline = std::chrono::steady_clock::now() + aContext.wait;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto phase = TaskPhase(aContext, task);
    if (phase && *phase != "lost" && *phase != "parked") {
      std::cout << *phase << '\n';
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(kPoll);
  }
  std::cerr << "gooseberryctl: timed out: task " << task
            << " was not retried within " << aContext.wait.count() << " s\n";
  return ExitCode::NotInForce;
}

auto
ListTasks(CommandContext& aContext) -> ExitCode
{
  return ShowList(aContext,
                  "/v1/tasks?phase=" + aContext.phase,
                  "tasks",
                  { { "TASK", "/id" },
                    { "PHASE", "/phase" },
                    { "WORKER", "/worker" },
                    { "ATTEMPT", "/attempt" },
                    { "EVICTIONS", "/evictions" },
                    { "REASON", "/reason" } });
}

// Only the owner of a task knows why it waits. If this instance is not the
// owner, asks the instances that its response lists, until one answers.
auto
ExplainTask(CommandContext& aContext) -> ExitCode
{
  const auto path = "/v1/tasks/" + aContext.arguments[0] + "/why";
  auto reply = aContext.api.Call("GET", path);
  if (!reply.IsSuccess() && TextIn(reply.body, "error") == "not_owned_here") {
    const auto candidates = reply.body.at("details").at("ask");
    for (const auto& address : candidates) {
      const auto answer =
        aContext.api.ForServer(address.get<std::string>()).Call("GET", path);
      if (answer.IsSuccess()) {
        reply = answer;
        break;
      }
    }
  }
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  const auto why = reply.body.at("why").get<std::string>();
  std::cout << (why.empty() ? "it runs, or is about to" : why) << '\n';
  return ExitCode::Ok;
}

auto
ListWorkers(CommandContext& aContext) -> ExitCode
{
  // Each instance knows only the workers of its own shards, so this asks all.
  const auto members = aContext.api.Call("GET", "/v1/instances");
  if (!members.IsSuccess()) {
    return Fail(members);
  }
  auto workers = nlohmann::json::array();
  for (const auto& member : members.body.at("instances")) {
    const auto reply =
      aContext.api.ForServer(member.at("adminAddress").get<std::string>())
        .Call("GET", "/v1/workers");
    if (!reply.IsSuccess()) {
      std::cerr << "gooseberryctl: " << reply.reason << '\n';
      continue;
    }
    for (const auto& worker : reply.body.at("workers")) {
      workers.push_back(worker);
    }
  }
  if (aContext.json) {
    std::cout << workers.dump(2) << '\n';
    return ExitCode::Ok;
  }
  PrintTable({ { "WORKER", "/id" },
               { "DOMAIN", "/domain" },
               { "SHARD", "/shard" },
               { "ANSWERS", "/answers" },
               { "QUARANTINED", "/quarantined" },
               { "CPU", "/capacity/cpuMillis" },
               { "CPU USED", "/reserved/cpuMillis" },
               { "MEMORY", "/capacity/memoryMb" },
               { "MEMORY USED", "/reserved/memoryMb" } },
             workers);
  return ExitCode::Ok;
}

auto
ListInstances(CommandContext& aContext) -> ExitCode
{
  return ShowList(aContext,
                  "/v1/instances",
                  "instances",
                  { { "INSTANCE", "/id" },
                    { "DOMAIN", "/domain" },
                    { "DOCUMENT", "/document" },
                    { "LEAVING", "/leaving" },
                    { "ADMIN", "/adminAddress" } });
}

auto
ListServices(CommandContext& aContext) -> ExitCode
{
  const auto reply = aContext.api.Call("GET", "/v1/services");
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  if (aContext.json) {
    std::cout << reply.body.dump(2) << '\n';
    return ExitCode::Ok;
  }
  auto rows = nlohmann::json::array();
  for (const auto& service : reply.body.at("services")) {
    for (auto backend : service.at("backends")) {
      backend["service"] = service.at("service");
      rows.push_back(backend);
    }
  }
  PrintTable({ { "SERVICE", "/service" },
               { "BACKEND", "/id" },
               { "DOMAIN", "/domain" },
               { "IN FLIGHT", "/in_flight" },
               { "LATENCY US", "/latency_us" },
               { "LEAVING", "/leaving" },
               { "EJECTED", "/ejected" } },
             rows);
  return ExitCode::Ok;
}

auto
DrainInstance(CommandContext& aContext) -> ExitCode
{
  const auto reply = aContext.api.Call("POST", "/v1/drain");
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  const auto deadline = std::chrono::steady_clock::now() + aContext.wait;
  while (std::chrono::steady_clock::now() < deadline) {
    if (aContext.api.Call("GET", "/healthz").status == 0) {
      std::cout << "drained\n";
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(kPoll);
  }
  std::cerr << "gooseberryctl: timed out: the instance was not drained within "
            << aContext.wait.count() << " s\n";
  return ExitCode::NotInForce;
}

auto
ShowRollout(CommandContext& aContext) -> ExitCode
{
  const auto reply = aContext.api.Call("GET", "/v1/history");
  if (!reply.IsSuccess()) {
    return Fail(reply);
  }
  const auto& changes = reply.body.at("changes");
  if (changes.empty()) {
    std::cout << "no version was accepted yet\n";
    return ExitCode::Ok;
  }
  return WaitUntilInForce(aContext,
                          changes[0].at("number").get<std::uint64_t>());
}

} // namespace

auto
Commands() -> const std::vector<Command>&
{
  static const auto commands = std::vector<Command>{
    { "document", "", "show the whole document", 0, 0, ShowDocument },
    { "section", "NAME", "show one section", 1, 1, ShowSection },
    { "apply", "NAME FILE", "replace a section and wait", 2, 2, ApplySection },
    { "validate", "NAME FILE", "check a section", 2, 2, ValidateSection },
    { "diff", "NAME FILE", "compare with a section", 2, 2, DiffSection },
    { "history", "", "show the last changes", 0, 0, ShowHistory },
    { "rollout", "", "wait for the newest version", 0, 0, ShowRollout },
    { "domain",
      "NAME in|out",
      "take a failure domain out or back",
      2,
      2,
      SetDomain },
    { "submit", "CLASS", "submit tasks of a batch class", 1, 1, SubmitJobs },
    { "cancel", "TASK", "cancel a task and wait", 1, 1, CancelTask },
    { "retry", "TASK", "try a parked or lost task again", 1, 1, RetryTask },
    { "tasks", "", "list tasks", 0, 0, ListTasks },
    { "why", "TASK", "say why a task is not running", 1, 1, ExplainTask },
    { "workers", "", "list workers", 0, 0, ListWorkers },
    { "instances", "", "list instances", 0, 0, ListInstances },
    { "services", "", "list services and backend servers", 0, 0, ListServices },
    { "drain", "", "stop this instance gracefully", 0, 0, DrainInstance },
  };
  return commands;
}

} // namespace gooseberry
