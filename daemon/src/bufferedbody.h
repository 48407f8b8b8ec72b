#ifndef GOOSEBERRY_BUFFEREDBODY_H
#define GOOSEBERRY_BUFFEREDBODY_H

// A request body that is kept as a whole, in memory that a lease has.

#include <string>

#include "bytebudget.h"

namespace gooseberry {

class BufferedBody
{
public:
  // The lease must outlive the body. aDeclaredBytes is 0 if no length is
  // declared.
  BufferedBody(ByteLease& aLease,
               std::size_t aDeclaredBytes,
               std::size_t aMaxBytes);

  // Returns false and adds nothing if the budget does not have the bytes. The
  // body must not exceed aMaxBytes.
  auto Append(const char* aData, std::size_t aSize) -> bool;
  auto Size() const -> std::size_t;
  auto Take() -> std::string;

private:
  ByteLease& lease;
  const std::size_t declaredBytes;
  const std::size_t maxBytes;
  std::string bytes;
};

} // namespace gooseberry

#endif
