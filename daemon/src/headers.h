#ifndef GOOSEBERRY_HEADERS_H
#define GOOSEBERRY_HEADERS_H

// Headers that this product reads and writes, and the passing on of others.

#include <string>

#include <httplib.h>

namespace gooseberry {

inline constexpr const char* kServiceHeader = "Gooseberry-Service";
inline constexpr const char* kVerdictHeader = "Gooseberry-Verdict";
inline constexpr const char* kReasonHeader = "Gooseberry-Reason";
inline constexpr const char* kDeadlineHeader = "Gooseberry-Deadline-Ms";
inline constexpr const char* kRepeatableHeader = "Gooseberry-Repeatable";
inline constexpr const char* kCallerHeader = "Gooseberry-Caller";
inline constexpr const char* kCallerClassHeader = "Gooseberry-Caller-Class";
inline constexpr const char* kClaimHeader = "Idempotency-Key";

// The caller's headers as the backend server gets them: without those of one
// hop only, and with the caller's address added.
auto
ForwardRequestHeaders(const httplib::Request& aRequest) -> httplib::Headers;

// The backend server's headers as the caller gets them.
auto
ForwardResponseHeaders(const httplib::Headers& aHeaders) -> httplib::Headers;

} // namespace gooseberry

#endif
