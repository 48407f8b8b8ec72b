#ifndef GOOSEBERRY_COMMANDS_H
#define GOOSEBERRY_COMMANDS_H

// The operators' commands.

#include <chrono>
#include <string>
#include <vector>

#include "apiclient.h"

namespace gooseberry {

enum class ExitCode
{
  Ok = 0,
  Failure = 1,
  Usage = 2,
  Refused = 3,    // the instance refused the command
  NotInForce = 4, // accepted, but not in force everywhere within the wait
};

struct CommandContext
{
  ApiClient api;
  bool json = false;
  std::chrono::seconds wait{ 15 };
  std::vector<std::string> arguments;
  // Options of single commands.
  std::string base;
  std::string submission;
  std::string phase;
  int count = 1;
};

struct Command
{
  const char* name;
  const char* arguments;
  const char* help;
  std::size_t least;
  std::size_t most;
  ExitCode (*run)(CommandContext&);
};

auto
Commands() -> const std::vector<Command>&;

} // namespace gooseberry

#endif
