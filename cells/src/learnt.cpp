#include "learnt.h"

#include <cmath>
#include <tuple>

#include <msgpack.hpp>

#include "images.h"

namespace gooseberry::cells {

namespace {

constexpr double kThousandths = 1000.0;

// Indexes of both image names, weights in thousandths, age in milliseconds.
using PairTuple = std::
  tuple<std::uint32_t, std::uint32_t, std::vector<std::uint32_t>, std::int64_t>;
// Job, occurrence, step, index, run, percent.
using PaceTuple = std::tuple<std::string,
                             std::uint32_t,
                             std::uint32_t,
                             std::uint32_t,
                             std::uint32_t,
                             int>;
// Store clock, image names, pairs, run speeds, lowest tails in thousandths of a
// millisecond.
using LearntTuple =
  std::tuple<std::int64_t,
             std::vector<std::string>,
             std::vector<PairTuple>,
             std::vector<PaceTuple>,
             std::vector<std::pair<std::uint32_t, std::int64_t>>>;

auto
FromTuple(const LearntTuple& aTuple) -> Learnt
{
  const auto& [storeMs, names, pairs, paces, minTails] = aTuple;
  auto learnt = Learnt{ storeMs };
  for (const auto& [serving, filling, thousandths, age] : pairs) {
    auto pair =
      Learnt::Pair{ names.at(serving), names.at(filling), {}, Millis{ age } };
    for (const auto weight : thousandths) {
      pair.weights.push_back(weight / kThousandths);
    }
    learnt.pairs.push_back(std::move(pair));
  }
  for (const auto& [text, occurrence, step, index, run, percent] : paces) {
    const auto job = JobId::Parse(text);
    if (!job) {
      throw std::invalid_argument("no job id: " + text);
    }
    learnt.paces.push_back(
      { { { *job, occurrence, step, index }, run }, percent });
  }
  for (const auto& [image, thousandths] : minTails) {
    learnt.tailFloors.emplace(names.at(image),
                              static_cast<double>(thousandths) / kThousandths);
  }
  return learnt;
}

} // namespace

auto
EncodeLearnt(const Learnt& aLearnt) -> std::string
{
  // Each image name is written once.
  auto images = Images{};
  auto pairs = std::vector<PairTuple>{};
  for (const auto& pair : aLearnt.pairs) {
    auto thousandths = std::vector<std::uint32_t>{};
    for (const auto weight : pair.weights) {
      thousandths.push_back(
        static_cast<std::uint32_t>(std::lround(weight * kThousandths)));
    }
    pairs.emplace_back(images.Number(pair.serving),
                       images.Number(pair.filling),
                       std::move(thousandths),
                       pair.age.count());
  }
  auto paces = std::vector<PaceTuple>{};
  for (const auto& pace : aLearnt.paces) {
    const auto& task = pace.run.task;
    paces.emplace_back(task.job.Text(),
                       task.occurrence,
                       task.step,
                       task.index,
                       pace.run.run,
                       pace.percent);
  }
  auto minTails = std::vector<std::pair<std::uint32_t, std::int64_t>>{};
  for (const auto& [image, tail] : aLearnt.tailFloors) {
    minTails.emplace_back(images.Number(image),
                          std::lround(tail * kThousandths));
  }
  auto buffer = msgpack::sbuffer{};
  msgpack::pack(buffer,
                LearntTuple{ aLearnt.storeMs,
                             images.Names(),
                             std::move(pairs),
                             std::move(paces),
                             std::move(minTails) });
  return { buffer.data(), buffer.size() };
}

auto
DecodeLearnt(const std::string& aBytes, std::string& aReason)
  -> std::optional<Learnt>
{
  try {
    const auto handle = msgpack::unpack(aBytes.data(), aBytes.size());
    return FromTuple(handle.get().as<LearntTuple>());
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace gooseberry::cells
