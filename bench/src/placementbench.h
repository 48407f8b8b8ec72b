#ifndef GOOSEBERRY_PLACEMENTBENCH_H
#define GOOSEBERRY_PLACEMENTBENCH_H

// Placement against two baselines in virtual time: first fit by worker's name,
// and any worker with room at random; neither answers interference.

#include <string>
#include <vector>

namespace gooseberry {

// gooseberryctl bench placement [--seed N] [--seeds N] [--minutes N]
auto
RunPlacementBench(const std::vector<std::string>& aWords) -> int;

} // namespace gooseberry

#endif
