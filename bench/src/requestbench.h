#ifndef GOOSEBERRY_REQUESTBENCH_H
#define GOOSEBERRY_REQUESTBENCH_H

// Bench of the request path against entries, or a service, that already run.

#include <string>
#include <vector>

namespace gooseberry {

// Exit status: 0 all requests had an answer, 1 some had none, 2 wrong options.
auto
RunRequestBench(const std::vector<std::string>& aWords) -> int;

} // namespace gooseberry

#endif
