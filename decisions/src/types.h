#ifndef GOOSEBERRY_TYPES_H
#define GOOSEBERRY_TYPES_H

// Value types shared by every package: identifiers, time and resources.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace gooseberry {

using Millis = std::chrono::milliseconds;

using Micros = std::chrono::microseconds;

// A point on this process's monotonic clock, in microseconds. Not comparable
// between processes.
using Time = std::chrono::time_point<std::chrono::steady_clock, Micros>;

// Whole milliseconds of a duration, rounded up.
constexpr auto
ToMillis(Micros aDuration) -> Millis
{
  return std::chrono::ceil<Millis>(aDuration);
}

// Whole milliseconds since the epoch of the monotonic clock, rounded down.
// Used where a time is held in an atomic integer.
constexpr auto
SteadyMillis(Time aTime) -> std::int64_t
{
  return std::chrono::floor<Millis>(aTime.time_since_epoch()).count();
}

// Source of monotonic time; injected so that tests can control it.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual auto Now() const -> Time = 0;
};

// Name of an object. The tag makes the names of different kinds of objects
// different types.
template<class Tag>
struct Id
{
  std::string text;

  auto operator<=>(const Id&) const = default;
  auto Empty() const -> bool { return this->text.empty(); }
};

using AccountId = Id<struct AccountTag>;
using ClassId = Id<struct ClassTag>;
using DomainId = Id<struct DomainTag>;
using InstanceId = Id<struct InstanceTag>;
using RackId = Id<struct RackTag>;
using ServiceId = Id<struct ServiceTag>;
using TaskId = Id<struct TaskTag>;
using TeamId = Id<struct TeamTag>;
using WorkerId = Id<struct WorkerTag>;

// The type of JSON values is a parameter, so that this header needs no parser.
template<class Json, class Tag>
auto
to_json(Json& aJson, const Id<Tag>& aId) -> void
{
  aJson = aId.text;
}

template<class Json, class Tag>
auto
from_json(const Json& aJson, Id<Tag>& aId) -> void
{
  aId.text = aJson.template get<std::string>();
}

// Number of a shard, counted from 0. A shard is a fixed part of the workers and
// of the tasks.
using ShardNumber = std::uint32_t;

// Amounts of the three resources that a worker has and a task needs:
// thousandths of a processor, megabytes of memory and number of accelerators.
struct Resources
{
  std::int64_t cpuMillis = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;

  auto operator==(const Resources&) const -> bool = default;

  auto operator+=(const Resources& aOther) -> Resources&
  {
    this->cpuMillis += aOther.cpuMillis;
    this->memoryMb += aOther.memoryMb;
    this->accelerators += aOther.accelerators;
    return *this;
  }

  auto operator-=(const Resources& aOther) -> Resources&
  {
    this->cpuMillis -= aOther.cpuMillis;
    this->memoryMb -= aOther.memoryMb;
    this->accelerators -= aOther.accelerators;
    return *this;
  }

  auto FitsIn(const Resources& aAvailable) const -> bool
  {
    return this->cpuMillis <= aAvailable.cpuMillis &&
           this->memoryMb <= aAvailable.memoryMb &&
           this->accelerators <= aAvailable.accelerators;
  }
};

// Maximum of each resource by itself.
auto
ElementwiseMax(const Resources& aLeft, const Resources& aRight) -> Resources;

// 64-bit xxHash of a text. Equal in every process and version, since shards are
// assigned by it.
auto
StableHash(const std::string& aText, std::uint64_t aSeed = 0) -> std::uint64_t;

// The shard to which a worker or a newly submitted task belongs; depends only
// on its name and on the number of shards.
auto
ShardOf(const std::string& aName, ShardNumber aShardCount) -> ShardNumber;

} // namespace gooseberry

template<class Tag>
struct std::hash<gooseberry::Id<Tag>>
{
  auto operator()(const gooseberry::Id<Tag>& aId) const noexcept -> std::size_t
  {
    return std::hash<std::string>{}(aId.text);
  }
};

#endif
