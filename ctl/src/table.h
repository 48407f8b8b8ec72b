#ifndef GOOSEBERRY_TABLE_H
#define GOOSEBERRY_TABLE_H

// Prints JSON objects as a table.

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberry {

struct Column
{
  const char* title;
  // JSON pointer into each row, for example "/reserved/cpuMillis".
  const char* pointer;
};

auto
PrintTable(const std::vector<Column>& aColumns, const nlohmann::json& aRows)
  -> void;

} // namespace gooseberry

#endif
