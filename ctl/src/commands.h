#ifndef GOOSEBERRY_COMMANDS_H
#define GOOSEBERRY_COMMANDS_H

// Commands of gooseberryctl.

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
  Rejected = 3,   // the instance rejected the command
  NotInForce = 4, // accepted, but not in effect on all instances within --wait
};

struct CommandContext
{
  ApiClient api;
  bool json = false;
  std::chrono::seconds wait{ 15 };
  std::vector<std::string> arguments;
  // Options that apply only to some commands.
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
  std::size_t minArguments;
  std::size_t maxArguments;
  ExitCode (*run)(CommandContext&);
};

auto
Commands() -> const std::vector<Command>&;

} // namespace gooseberry

#endif
