#ifndef GOOSEBERRY_BENCHES_H
#define GOOSEBERRY_BENCHES_H

// The benches by name.

#include <string>
#include <vector>

namespace gooseberry {

// Runs the bench that the first word names; exit status.
auto
RunBench(const std::vector<std::string>& aWords) -> int;

} // namespace gooseberry

#endif
