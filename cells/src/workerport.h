#ifndef GOOSEBERRY_WORKERPORT_H
#define GOOSEBERRY_WORKERPORT_H

// Transport of calls to workers.

#include <functional>
#include <set>
#include <string>

#include "workercall.h"

namespace gooseberry::cells {

class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  // Returns at once. aDone is called exactly once, later, on the loop of the
  // implementation.
  virtual auto Call(const WorkerCall& aCall,
                    std::function<void(WorkerAnswer)> aDone) -> void = 0;
  // Closes the connections to all addresses that are not in the set. Calls to
  // them that have no answer get none.
  virtual auto RetainOnly(const std::set<std::string>& aAddresses) -> void = 0;
};

} // namespace gooseberry::cells

#endif
