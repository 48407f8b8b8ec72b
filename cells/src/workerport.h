#ifndef GOOSEBERRY_WORKERPORT_H
#define GOOSEBERRY_WORKERPORT_H

// How calls reach workers. Returns at once; the answer comes later on the loop
// of the implementation, once for each call.

#include <functional>

#include "workercall.h"

namespace gooseberry::cells {

class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual auto Call(const WorkerCall& aCall,
                    std::function<void(WorkerAnswer)> aDone) -> void = 0;
};

} // namespace gooseberry::cells

#endif
