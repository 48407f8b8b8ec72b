#ifndef GOOSEBERRY_RESOURCESJSON_H
#define GOOSEBERRY_RESOURCESJSON_H

// JSON of amounts of resources, apart from types.h: reading the parser's header
// takes longer than all others that most sources need.

#include <nlohmann/json.hpp>

#include "types.h"

namespace gooseberry {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpuMillis, memoryMb, accelerators)

} // namespace gooseberry

#endif
