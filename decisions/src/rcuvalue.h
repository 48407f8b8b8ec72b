#ifndef GOOSEBERRY_RCUVALUE_H
#define GOOSEBERRY_RCUVALUE_H

// Read-copy-update of one immutable value: a writer replaces it as a whole, and
// readers keep the version that they got alive while they use it. Thread-safe.

#include <atomic>
#include <memory>

namespace gooseberry {

template<class Value>
class RcuValue
{
public:
  auto Get() const -> std::shared_ptr<const Value>
  {
    return this->current.load(std::memory_order_acquire);
  }

  auto Set(std::shared_ptr<const Value> aNext) -> void
  {
    this->current.store(std::move(aNext), std::memory_order_release);
  }

private:
  std::atomic<std::shared_ptr<const Value>> current;
};

} // namespace gooseberry

#endif
