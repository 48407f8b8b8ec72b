// Entry of the stand-ins: gooseberry-standin COMMAND [--name value]...

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "bindserver.h"
#include "connectionthreadpool.h"
#include "standin.h"

namespace gooseberry::standin {

namespace {

constexpr std::size_t kMaxServerThreads = 512;

} // namespace

auto
Text(const Options& aOptions,
     const std::string& aName,
     const std::string& aDefault) -> std::string
{
  const auto found = aOptions.find(aName);
  return found == aOptions.end() ? aDefault : found->second;
}

auto
Integer(const Options& aOptions,
        const std::string& aName,
        std::int64_t aDefault) -> std::int64_t
{
  const auto found = aOptions.find(aName);
  return found == aOptions.end() ? aDefault : std::stoll(found->second);
}

auto
MonotonicMillis() -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

Recorder::Recorder(const std::string& aPath)
{
  if (!aPath.empty()) {
    this->file.open(aPath, std::ios::app);
  }
}

auto
Recorder::Write(nlohmann::json aEvent) -> void
{
  if (!this->file.is_open()) {
    return;
  }
  if (!aEvent.contains("t")) {
    aEvent["t"] = MonotonicMillis();
  }
  const auto lock = std::lock_guard{ this->mutex };
  this->file << aEvent.dump() << '\n' << std::flush;
}

auto
Serve(ConnectionServer& aServer, int aPort) -> int
{
  aServer.new_task_queue = [] {
    return new ConnectionThreadPool(kMaxServerThreads);
  };
  aServer.set_tcp_nodelay(true);
  aServer.set_keep_alive_max_count(1000000);
  aServer.SetIdleTimeout(std::chrono::minutes{ 10 });
  const auto port = BindServer(aServer, "127.0.0.1", aPort);
  if (!port) {
    std::cerr << "cannot bind port " << aPort << '\n';
    return EXIT_FAILURE;
  }
  std::cout << "listening " << *port << '\n' << std::flush;
  return aServer.listen_after_bind() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace gooseberry::standin

auto
main(int aCount, char** aArguments) -> int
{
  using namespace gooseberry::standin;
  std::signal(SIGPIPE, SIG_IGN);
  const std::map<std::string, int (*)(const Options&)> commands{
    { "platform", RunPlatform },
    { "worker", RunWorker },
    { "backend", RunBackend },
    { "proxy", RunProxy },
  };
  const auto command =
    commands.find(aCount > 1 ? std::string{ aArguments[1] } : std::string{});
  if (command == commands.end()) {
    std::cerr << "usage: gooseberry-standin platform|worker|backend|proxy "
                 "[--name value]...\n";
    return 2;
  }
  auto options = Options{};
  for (auto index = 2; index + 1 < aCount; index += 2) {
    auto name = std::string{ aArguments[index] };
    if (!name.starts_with("--")) {
      std::cerr << "not an option: " << name << '\n';
      return 2;
    }
    options[name.substr(2)] = aArguments[index + 1];
  }
  return command->second(options);
}
