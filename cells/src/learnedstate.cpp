#include "learnedstate.h"

#include <cmath>
#include <tuple>

#include "msgpacktext.h"

#include "imageregistry.h"
#include "tableport.h"

namespace gooseberry::cells {

namespace {

constexpr double kFixedPointScale = 1000.0;

// Indexes of both image names, weights in thousandths, age in milliseconds.
using PairTuple = std::
  tuple<std::uint32_t, std::uint32_t, std::vector<std::uint32_t>, std::int64_t>;
// Job, occurrence, step, index, run, percent.
using RunSpeedTuple = std::tuple<std::string,
                                 std::uint32_t,
                                 std::uint32_t,
                                 std::uint32_t,
                                 std::uint32_t,
                                 int>;
// Store clock, image names, pairs, run speeds, lowest tails in thousandths of a
// millisecond, run times. Rows of earlier versions lack the last one, and these
// versions ignore it.
using LearnedStateTuple =
  std::tuple<std::int64_t,
             std::vector<std::string>,
             std::vector<PairTuple>,
             std::vector<RunSpeedTuple>,
             std::vector<std::pair<std::uint32_t, std::int64_t>>,
             std::string>;
// Queue and its sums.
using RunTimesTuple =
  std::pair<std::string,
            std::array<double, LearnedState::QueueRunTimes::kSumCount>>;
// Length of a row's text of run times and their number.
constexpr std::size_t kMaxHeaderBytes = 10;

// The first of the run times that fit into aMaxBytes, packed by themselves: if
// they can't be read, the rest of the row still can. Empty if there are none.
auto
EncodeRunTimes(const std::vector<LearnedState::QueueRunTimes>& aTimes,
               std::size_t aMaxBytes) -> std::string
{
  auto queues = msgpack::sbuffer{};
  auto count = std::uint32_t{ 0 };
  for (const auto& times : aTimes) {
    auto next = msgpack::sbuffer{};
    msgpack::pack(next, RunTimesTuple{ times.queue, times.sums });
    if (queues.size() + next.size() > aMaxBytes) {
      break;
    }
    queues.write(next.data(), next.size());
    ++count;
  }
  if (count == 0) {
    return {};
  }
  auto buffer = msgpack::sbuffer{};
  msgpack::packer(buffer).pack_array(count);
  buffer.write(queues.data(), queues.size());
  return { buffer.data(), buffer.size() };
}

auto
DecodeRunTimes(const std::string& aBytes, std::string& aReason)
  -> std::vector<LearnedState::QueueRunTimes>
{
  if (aBytes.empty()) {
    return {};
  }
  auto decoded = std::vector<LearnedState::QueueRunTimes>{};
  try {
    const auto handle = UnpackBounded(aBytes);
    for (auto& [queue, sums] : handle.get().as<std::vector<RunTimesTuple>>()) {
      decoded.push_back({ std::move(queue), sums });
    }
  } catch (const std::exception& error) {
    aReason = std::string{ "run times: " } + error.what();
    return {};
  }
  return decoded;
}

auto
FromTuple(const LearnedStateTuple& aTuple, std::string& aReason) -> LearnedState
{
  const auto& [storeMs, names, pairs, paces, minTails, runTimes] = aTuple;
  auto learnt = LearnedState{ storeMs };
  for (const auto& [serving, filling, thousandths, age] : pairs) {
    auto pair = LearnedState::InterferencePair{
      names.at(serving), names.at(filling), {}, Millis{ age }
    };
    for (const auto weight : thousandths) {
      pair.levelWeights.push_back(weight / kFixedPointScale);
    }
    learnt.pairs.push_back(std::move(pair));
  }
  for (const auto& [text, occurrence, step, index, run, percent] : paces) {
    const auto job = JobId::Parse(text);
    if (!job) {
      throw std::invalid_argument("no job id: " + text);
    }
    learnt.runSpeeds.push_back(
      { { { *job, occurrence, step, index }, run }, percent });
  }
  for (const auto& [image, thousandths] : minTails) {
    learnt.lowestTailsMs.emplace(
      names.at(image), static_cast<double>(thousandths) / kFixedPointScale);
  }
  learnt.runTimes = DecodeRunTimes(runTimes, aReason);
  return learnt;
}

} // namespace

auto
EncodeLearnedState(const LearnedState& aLearnt) -> std::string
{
  // Each image name is written once.
  auto images = ImageRegistry{};
  auto pairs = std::vector<PairTuple>{};
  for (const auto& pair : aLearnt.pairs) {
    auto thousandths = std::vector<std::uint32_t>{};
    for (const auto weight : pair.levelWeights) {
      thousandths.push_back(
        static_cast<std::uint32_t>(std::lround(weight * kFixedPointScale)));
    }
    pairs.emplace_back(images.IdOf(pair.criticalImage),
                       images.IdOf(pair.bestEffortImage),
                       std::move(thousandths),
                       pair.age.count());
  }
  auto paces = std::vector<RunSpeedTuple>{};
  for (const auto& pace : aLearnt.runSpeeds) {
    const auto& task = pace.run.task;
    paces.emplace_back(task.job.Text(),
                       task.occurrence,
                       task.step,
                       task.index,
                       pace.run.run,
                       pace.percent);
  }
  auto minTails = std::vector<std::pair<std::uint32_t, std::int64_t>>{};
  for (const auto& [image, tail] : aLearnt.lowestTailsMs) {
    minTails.emplace_back(images.IdOf(image),
                          std::lround(tail * kFixedPointScale));
  }
  auto row = LearnedStateTuple{ aLearnt.storeClockMs, images.Names(),
                                std::move(pairs),     std::move(paces),
                                std::move(minTails),  std::string{} };
  auto buffer = msgpack::sbuffer{};
  msgpack::pack(buffer, row);
  const auto bytes = buffer.size() + kMaxHeaderBytes;
  auto runTimes = EncodeRunTimes(
    aLearnt.runTimes, bytes < kMaxRowBytes ? kMaxRowBytes - bytes : 0);
  if (!runTimes.empty()) {
    std::get<std::string>(row) = std::move(runTimes);
    buffer.clear();
    msgpack::pack(buffer, row);
  }
  return { buffer.data(), buffer.size() };
}

auto
DecodeLearnedState(const std::string& aBytes, std::string& aReason)
  -> std::optional<LearnedState>
{
  try {
    const auto handle = UnpackBounded(aBytes);
    return FromTuple(handle.get().as<LearnedStateTuple>(), aReason);
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace gooseberry::cells
