#include "jobname.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace gooseberry::cells {

namespace {

auto
IsHexDigit(char aCharacter) -> bool
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f') ||
         (aCharacter >= 'A' && aCharacter <= 'F');
}

// Consumes a dot and a number from the front of the text.
auto
ConsumeNumber(std::string_view& aText, std::uint32_t& aNumber) -> bool
{
  if (aText.empty() || aText.front() != '.') {
    return false;
  }
  aText.remove_prefix(1);
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  if (parsed.ec != std::errc{} || parsed.ptr == aText.data()) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()));
  return true;
}

} // namespace

auto
JobId::Parse(std::string_view aText) -> std::optional<JobId>
{
  if (aText.size() != kDigits ||
      !std::all_of(aText.begin(), aText.end(), IsHexDigit)) {
    return std::nullopt;
  }
  auto id = JobId{};
  std::copy(aText.begin(), aText.end(), id.digits.begin());
  return id;
}

auto
JobId::Text() const -> std::string
{
  return { this->digits.begin(), this->digits.end() };
}

auto
JobId::Hash() const -> std::uint64_t
{
  auto halves = std::array<std::uint64_t, 2>{};
  static_assert(sizeof halves == kDigits);
  std::memcpy(halves.data(), this->digits.data(), kDigits);
  // Mixes both halves with the multiplier of Fibonacci hashing.
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  const auto mixed = (halves[0] ^ (halves[1] * kMultiplier)) * kMultiplier;
  constexpr int kShift = 29;
  return mixed ^ (mixed >> kShift);
}

auto
ToText(const TaskName& aName) -> std::string
{
  return aName.job.Text() + '.' + std::to_string(aName.occurrence) + '.' +
         std::to_string(aName.step) + '.' + std::to_string(aName.index);
}

auto
StepOf(const TaskName& aTask) -> StepName
{
  return { aTask.job, aTask.occurrence, aTask.step };
}

auto
ToText(const StepName& aName) -> std::string
{
  return aName.job.Text() + '.' + std::to_string(aName.occurrence) + '.' +
         std::to_string(aName.step);
}

auto
ParseTaskName(std::string_view aText) -> std::optional<TaskName>
{
  const auto job = JobId::Parse(aText.substr(0, JobId::kDigits));
  if (!job) {
    return std::nullopt;
  }
  auto name = TaskName{ *job };
  aText.remove_prefix(JobId::kDigits);
  if (!ConsumeNumber(aText, name.occurrence) ||
      !ConsumeNumber(aText, name.step) || !ConsumeNumber(aText, name.index) ||
      !aText.empty()) {
    return std::nullopt;
  }
  return name;
}

} // namespace gooseberry::cells
