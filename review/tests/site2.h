#ifndef GOOSEBERRY_SITE2_H
#define GOOSEBERRY_SITE2_H

// A small site for the cases of the second review: the users' platform and its
// workers in this process, instances of gooseberryd as processes of their own,
// a caller, and a record of what was sent, answered and run.

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "../../standins/src/storeserver.h"
#include "../../standins/src/workerserver.h"
#include "eventloop.h"
#include "httpclient.h"
#include "jobworker.h"
#include "rowtable.h"

namespace gooseberry::review {

// What the worker does with a task, and what the checks see of it.
using Plan = fakes::JobWorker::Plan;

struct SiteOptions
{
  int instances = 3;
  int workers = 8;
  Resources capacity{ 16000, 64000, 0 };
  // The kind of each worker; the second label is its rack.
  std::function<std::string(int)> kindOf = [](int) { return "a"; };
  std::uint32_t maxAttempts = 3;
  double slackFactor = 2.0;
  Millis targetLatency{ 500 };
  Plan plan;
};

// A start or an end that a worker saw.
struct RunEvent
{
  fakes::JobEvent event;
  // Labels of the worker's process.
  std::vector<std::string> labels;
};

struct Reply
{
  // 0 without an answer.
  int status = 0;
  std::string body;
};

class Site
{
public:
  // Throws std::runtime_error if it can't be set up. aDirectory holds the
  // record.
  Site(SiteOptions aOptions, const std::string& aDirectory);
  Site(const Site&) = delete;
  auto operator=(const Site&) -> Site& = delete;
  ~Site();

  // Milliseconds since the site began.
  auto NowMs() const -> std::int64_t;
  auto Note(const std::string& aText) -> void;

  // A caller's request, at the first instance from aFirst on that answers.
  auto Ask(const std::string& aMethod,
           const std::string& aSubpath,
           const std::string& aBody,
           int aFirst = 0) -> Reply;
  // Repeats the submission until it is accepted; false if it never is.
  auto Submit(const std::string& aJob, const std::string& aBody) -> bool;
  // Asks for the number of jobs that wait, at an instance that was never
  // killed.
  auto AskUntouched() -> Reply;
  // The job's state; empty without an answer.
  auto StateOf(const std::string& aJob) -> std::string;
  // Waits until all instances are ready and a probing job has run.
  auto AwaitService() -> bool;

  // The instance whose name the owner's row of the cell holds; -1 for none.
  auto Owner() -> int;
  auto KillInstance(int aInstance) -> void;
  auto StartInstance(int aInstance) -> void;

  // While it is down, the store answers each call with 503.
  auto SetStoreDown(bool aDown) -> void;

  // The worker's process crashes; its connections are reset.
  auto CrashWorker(int aWorker) -> void;
  // Another worker, with an id of its own, starts at the address of the one
  // that crashed, on the machine with this number.
  auto ReplaceWorker(int aWorker, int aMachine) -> void;
  // The worker starts again under its id, as aKind; its entry is written after
  // aListedAfter.
  auto RestartWorker(int aWorker, const std::string& aKind, Millis aListedAfter)
    -> void;

  auto Events() -> std::vector<RunEvent>;
  // Number of tasks that run at present.
  auto Running() -> std::size_t;
  // The worker on which a task of the job runs at present; -1 for none.
  auto WorkerOf(const std::string& aJob) -> int;

private:
  struct Instance
  {
    std::string name;
    std::string settings;
    std::string log;
    int callers = 0;
    int ready = 0;
    pid_t process = -1;
    bool killed = false;
  };

  struct Machine
  {
    std::unique_ptr<standin::WorkerServer> server;
    cells::WorkerEntry entry;
    // Stays while nobody listens.
    std::string address;
    int life = 0;
  };

  // Runs the work on the loop's thread and waits for it.
  auto OnLoop(const std::function<void()>& aWork) -> void;
  auto After(Millis aDelay, std::function<void()> aWork) -> void;
  auto AddInstance(int aNumber) -> void;
  auto NewProcess(int aWorker) -> std::unique_ptr<fakes::JobWorker>;
  auto ListWorker(int aWorker, bool aListed) -> void;
  auto PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
    -> void;
  auto Tick() -> void;
  auto OnEvent(const fakes::JobEvent& aEvent,
               const std::vector<std::string>& aLabels) -> void;

  const SiteOptions options;
  const std::string directory;
  const std::chrono::steady_clock::time_point began;
  std::ofstream record;
  std::mutex recordLock;
  std::string scratch;
  EventLoop loop;
  std::mt19937_64 random{ 1 };
  fakes::RowTable table;
  std::unique_ptr<standin::StoreServer> store;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<Instance> instances;
  std::vector<std::shared_ptr<HttpClient>> clients;
  std::list<TimerHandle> timers;
  std::mutex eventsLock;
  std::vector<RunEvent> events;
  std::thread thread;
};

// Whether the case is to bring about its disruption.
auto
WithTrouble() -> bool;

auto
Sleep(std::int64_t aMillis) -> void;

} // namespace gooseberry::review

#endif
