#ifndef GOOSEBERRY_TABLE_H
#define GOOSEBERRY_TABLE_H

// Prints an array of JSON objects as a table with aligned columns.

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

// Prints one line per row to stdout, after a line of titles; a missing value is
// shown as "-".
auto
PrintTable(const std::vector<Column>& aColumns, const nlohmann::json& aRows)
  -> void;

} // namespace gooseberry

#endif
