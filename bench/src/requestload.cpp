#include "requestload.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "enumtext.h"

namespace gooseberry {

namespace {

constexpr int kPercent = 100;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr Millis kPatience{ 30000 };
// Between the start of the callers and the first arrival.
constexpr Millis kLead{ 200 };

constexpr std::array<const char*,
                     static_cast<std::size_t>(LoadAnswer::LoadAnswer_NB)>
  kAnswerTexts{ "served", "not_run", "may_have_run", "no_answer" };

struct Arrival
{
  Micros at;
  bool marked = false;
};

auto
DrawArrivals(const LoadShape& aShape) -> std::vector<Arrival>
{
  auto random = std::mt19937_64{ aShape.seed };
  auto gap = std::exponential_distribution<double>{ aShape.perSecond };
  auto percent = std::uniform_int_distribution<int>{ 0, kPercent - 1 };
  auto arrivals = std::vector<Arrival>{};
  auto seconds = gap(random);
  const auto end = std::chrono::duration<double>(aShape.duration).count();
  while (seconds < end) {
    const auto at = std::chrono::duration_cast<Micros>(
      std::chrono::duration<double>(seconds));
    arrivals.push_back({ at, percent(random) < aShape.markedPercent });
    seconds += gap(random);
  }
  return arrivals;
}

auto
AnswerOf(const httplib::Result& aResult) -> LoadAnswer
{
  if (!aResult) {
    return LoadAnswer::NoAnswer;
  }
  if (aResult->status >= kFirstSuccess && aResult->status < kFirstRedirect) {
    return LoadAnswer::Served;
  }
  return aResult->get_header_value("Gooseberry-Verdict") == "not-run"
           ? LoadAnswer::NotRun
           : LoadAnswer::MayHaveRun;
}

// One caller: takes the next arrival, waits for its time and sends it.
class Caller
{
public:
  Caller(const LoadShape& aShape, const std::vector<Arrival>& aArrivals)
    : shape(aShape)
    , arrivals(aArrivals)
    , clients(aShape.targets.size())
  {
  }

  auto Run(std::atomic<std::size_t>& aNext, Time aStart) -> void
  {
    for (auto index = aNext++; index < this->arrivals.size(); index = aNext++) {
      const auto planned = aStart + this->arrivals[index].at;
      std::this_thread::sleep_until(planned);
      const auto answer = this->Send(index);
      ++this->figures.answers[static_cast<std::size_t>(answer)];
      if (answer == LoadAnswer::Served) {
        const auto latency = std::chrono::steady_clock::now() - planned;
        this->figures.latencies.push_back(
          std::chrono::duration_cast<Micros>(latency));
      }
    }
  }

  LoadFigures figures;

private:
  auto Send(std::size_t aIndex) -> LoadAnswer
  {
    const auto target = aIndex % this->clients.size();
    auto& client = this->clients[target];
    if (!client) {
      const auto& address = this->shape.targets[target];
      client = std::make_unique<httplib::Client>(address.host, address.port);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_read_timeout(kPatience);
    }
    auto request = httplib::Request{};
    request.method = this->arrivals[aIndex].marked ? "POST" : "PUT";
    request.path = this->shape.path;
    request.body.assign(this->shape.bodyBytes, 'b');
    request.headers = {
      { "X-Request-Id",
        "load" + std::to_string(this->shape.seed) + "-" +
          std::to_string(aIndex) },
      { "Gooseberry-Service", this->shape.service },
    };
    if (this->shape.deadline > Millis{ 0 }) {
      request.headers.emplace("Gooseberry-Deadline-Ms",
                              std::to_string(this->shape.deadline.count()));
    }
    const auto result = client->send(request);
    if (!result) {
      client.reset();
    }
    return AnswerOf(result);
  }

  const LoadShape& shape;
  const std::vector<Arrival>& arrivals;
  std::vector<std::unique_ptr<httplib::Client>> clients;
};

auto
Add(LoadFigures& aSum, const LoadFigures& aPart) -> void
{
  for (auto index = std::size_t{ 0 }; index < aSum.answers.size(); ++index) {
    aSum.answers[index] += aPart.answers[index];
  }
  aSum.latencies.insert(
    aSum.latencies.end(), aPart.latencies.begin(), aPart.latencies.end());
}

} // namespace

auto
ToText(LoadAnswer aAnswer) -> const char*
{
  return kAnswerTexts[static_cast<std::size_t>(aAnswer)];
}

auto
LoadFigures::Count(LoadAnswer aAnswer) const -> std::size_t
{
  return this->answers[static_cast<std::size_t>(aAnswer)];
}

auto
LoadFigures::Goodput() const -> double
{
  return static_cast<double>(this->Count(LoadAnswer::Served)) / this->seconds;
}

auto
LoadFigures::Quantile(double aShare) const -> Micros
{
  if (this->latencies.empty()) {
    return Micros{ 0 };
  }
  const auto last = this->latencies.size() - 1;
  const auto index =
    static_cast<std::size_t>(std::lround(aShare * static_cast<double>(last)));
  return this->latencies[std::min(index, last)];
}

auto
RunLoad(const LoadShape& aShape) -> LoadFigures
{
  const auto arrivals = DrawArrivals(aShape);
  auto next = std::atomic<std::size_t>{ 0 };
  auto sum = LoadFigures{};
  auto mutex = std::mutex{};
  const auto start = std::chrono::time_point_cast<Time::duration>(
    std::chrono::steady_clock::now() + kLead);
  {
    auto threads = std::vector<std::jthread>{};
    for (auto index = 0; index < aShape.callers; ++index) {
      threads.emplace_back([&] {
        auto caller = Caller{ aShape, arrivals };
        caller.Run(next, start);
        const auto lock = std::lock_guard{ mutex };
        Add(sum, caller.figures);
      });
    }
  }
  std::sort(sum.latencies.begin(), sum.latencies.end());
  const auto whole = std::chrono::steady_clock::now() - start;
  sum.seconds = std::max(std::chrono::duration<double>(aShape.duration).count(),
                         std::chrono::duration<double>(whole).count());
  return sum;
}

} // namespace gooseberry
