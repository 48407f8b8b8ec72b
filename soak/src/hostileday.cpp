#include "hostileday.h"

#include <array>
#include <thread>

#include "crowd.h"
#include "modelsite.h"

namespace gooseberry::soak {

namespace {

// The memory of the smallest machines of the users' sites. An instance takes
// its limits on connections and bodies from these settings.
constexpr int kMemoryMb = 160;
constexpr int kMaxDescriptors = 600;
constexpr int kOk = 200;
// After this, an instance that has not accepted a job is asked again.
constexpr Millis kAgain{ 500 };
constexpr std::size_t kCrowdBytes = std::size_t{ 16 } << 20U;

auto
Repeated(const std::string& aText, int aTimes) -> std::string
{
  auto text = std::string{};
  for (auto count = 0; count < aTimes; ++count) {
    text += aText;
  }
  return text;
}

// The kinds of tests/hostile/fleet_test.cpp, with fewer bytes each.
auto
Plans() -> std::vector<test::CrowdPlan>
{
  const auto post = "POST " + std::string{ fakes::kModelPrefix } +
                    "ffffffffffffffff HTTP/1.1\r\nHost: " + fakes::kModelHost +
                    "\r\n";
  const auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  const auto fields = Repeated("x-a: " + std::string(1000, 'b') + "\r\n", 16);
  constexpr int kBodies = 128;
  constexpr int kSilent = 300;
  return {
    { 4, chunked + "0\r\n", fields, kCrowdBytes },
    { 4, chunked + "1", Repeated(";a=bcdefgh", 1600), kCrowdBytes },
    { 16, "GET / HTTP/1.1\r\n", fields, kCrowdBytes },
    { kBodies,
      post + "Content-Length: 262144\r\n\r\n",
      std::string(kCrowdBytes / kBodies / 16, 'x'),
      kCrowdBytes / 16 * 15 },
    { 64,
      "",
      Repeated("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 400),
      kCrowdBytes,
      false },
    { kSilent, "", "", 0 },
    { kSilent, "GET /nothing HTTP/1.1\r\nHost: ", "", 0 },
  };
}

} // namespace

auto
SetHostileOptions(RealFleetOptions& aOptions) -> void
{
  aOptions.memoryMb = kMemoryMb;
  aOptions.maxDescriptors = kMaxDescriptors;
}

HostileDay::HostileDay(RealFleet& aFleet)
  : fleet(aFleet)
{
}

auto
HostileDay::Begin(Millis /*aTime*/) -> std::vector<std::string>
{
  this->KeepAttacking();
  return {};
}

auto
HostileDay::KeepAttacking() -> void
{
  if (this->faultsOver) {
    return;
  }
  constexpr Millis kInterval{ 300 };
  constexpr std::size_t kMostAttacks = 6;
  const auto plans = Plans();
  std::erase_if(this->attacks, [this](auto& aAttack) {
    const auto over =
      aAttack.wait_for(Millis{ 0 }) == std::future_status::ready;
    this->sentBytes += over ? aAttack.get() : 0;
    return over;
  });
  // Each kind in turn at a drawn instance. Drawn also if enough clients are
  // connected, so that the day does not depend on their speed.
  const auto instance =
    std::uniform_int_distribution{ 0, this->fleet.Instances() - 1 }(
      this->fleet.Random());
  if (this->attacks.size() < kMostAttacks) {
    this->attacks.push_back(
      std::async(std::launch::async,
                 [port = this->fleet.CallersPort(instance),
                  plan = plans[this->begun % plans.size()]] {
                   auto crowd = test::Crowd{ port, plan };
                   crowd.Send();
                   std::this_thread::sleep_for(std::chrono::seconds{ 1 });
                   return crowd.SentBytes();
                 }));
    ++this->begun;
  }
  this->fleet.After(kInterval, [this] { this->KeepAttacking(); });
}

auto
HostileDay::Check() -> void
{
  for (auto instance = 0; instance < this->fleet.Instances(); ++instance) {
    this->peakMb = std::max(this->peakMb, this->fleet.PeakResidentMb(instance));
    this->peakDescriptors =
      std::max(this->peakDescriptors, this->fleet.OpenDescriptors(instance));
  }
}

auto
HostileDay::OnFaultsOver() -> void
{
  this->faultsOver = true;
  for (auto instance = 0; instance < this->fleet.Instances(); ++instance) {
    this->unanswered.insert(instance);
    this->SubmitUntilAccepted(instance);
  }
}

// Instances may have to start or to reach the store first, and the last clients
// are still connected.
auto
HostileDay::SubmitUntilAccepted(int aInstance) -> void
{
  auto submission = Submission{};
  auto step = cells::StepSpec{};
  step.taskCount = 1;
  step.taskResources = { 500, 500, 0 };
  step.estimate = Millis{ 100 };
  submission.spec.payload = "ordinary";
  submission.spec.steps.push_back(step);
  submission.plan.duration = step.estimate;
  this->fleet.SubmitAt(aInstance,
                       std::move(submission),
                       [this, aInstance](const CallerAnswer& aAnswer) {
                         if (aAnswer.status == kOk) {
                           this->unanswered.erase(aInstance);
                         } else {
                           this->fleet.After(kAgain, [this, aInstance] {
                             this->SubmitUntilAccepted(aInstance);
                           });
                         }
                       });
}

auto
HostileDay::IsComplete() const -> bool
{
  return this->unanswered.empty();
}

auto
HostileDay::Finish() -> std::string
{
  for (auto& attack : this->attacks) {
    this->sentBytes += attack.get();
  }
  this->attacks.clear();
  for (const auto instance : this->unanswered) {
    this->fleet.Break("entry-" + std::to_string(instance) +
                      " accepts no ordinary job after the faults");
  }
  if (this->peakMb > kMemoryMb) {
    this->fleet.Break("an instance used " + std::to_string(this->peakMb) +
                      " MB of " + std::to_string(kMemoryMb));
  }
  if (this->peakDescriptors > kMaxDescriptors) {
    this->fleet.Break("an instance had " +
                      std::to_string(this->peakDescriptors) +
                      " descriptors of " + std::to_string(kMaxDescriptors));
  }
  return std::to_string(this->begun) + " groups of clients sent " +
         std::to_string(this->sentBytes) + " bytes, at most " +
         std::to_string(this->peakMb) + " MB and " +
         std::to_string(this->peakDescriptors) + " descriptors";
}

} // namespace gooseberry::soak
