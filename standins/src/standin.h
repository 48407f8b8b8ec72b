#ifndef GOOSEBERRY_STANDIN_H
#define GOOSEBERRY_STANDIN_H

// Stand-ins for what the users' platform provides, for tests and the demo.

#include <fstream>
#include <map>
#include <mutex>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "connectionserver.h"

namespace gooseberry::standin {

// Options of one command, --name value.
using Options = std::map<std::string, std::string>;

auto
Text(const Options& aOptions,
     const std::string& aName,
     const std::string& aDefault) -> std::string;
auto
Integer(const Options& aOptions,
        const std::string& aName,
        std::int64_t aDefault) -> std::int64_t;

// Milliseconds on the machine's monotonic clock, the same in all processes.
auto
MonotonicMillis() -> std::int64_t;

// Appends one JSON line per event, for the observer of a test.
class Recorder
{
public:
  explicit Recorder(const std::string& aPath);
  auto Write(nlohmann::json aEvent) -> void;

private:
  std::mutex mutex;
  std::ofstream file;
};

// Binds 127.0.0.1, prints "listening PORT" and serves until the end.
auto
Serve(ConnectionServer& aServer, int aPort) -> int;

auto
RunPlatform(const Options& aOptions) -> int;
auto
RunWorker(const Options& aOptions) -> int;
auto
RunBackend(const Options& aOptions) -> int;
auto
RunProxy(const Options& aOptions) -> int;

} // namespace gooseberry::standin

#endif
