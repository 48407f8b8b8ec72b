#ifndef GOOSEBERRY_BENCHOPTIONS_H
#define GOOSEBERRY_BENCHOPTIONS_H

// Options of a bench: --name value.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberry {

inline constexpr int kBenchUsage = 2;

class BenchOptions
{
public:
  // False, with a message, if a word is not among the known names.
  auto Read(const std::vector<std::string>& aWords,
            const std::vector<std::string>& aKnown) -> bool;
  auto Number(const std::string& aName, std::uint64_t aDefault) const
    -> std::uint64_t;
  auto Text(const std::string& aName, const std::string& aDefault) const
    -> std::string;

private:
  std::map<std::string, std::string> values;
};

} // namespace gooseberry

#endif
