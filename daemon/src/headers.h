#ifndef GOOSEBERRY_HEADERS_H
#define GOOSEBERRY_HEADERS_H

// HTTP headers that Gooseberry reads and writes, and forwarding of all others.

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

// The request headers to send to the backend server: the caller's, without
// hop-by-hop headers and those that the HTTP library sets, adds or handles
// itself, and with the caller's address added as X-Forwarded-For.
auto
ForwardRequestHeaders(const httplib::Request& aRequest) -> httplib::Headers;

// The response headers to send to the caller: the backend server's, without
// hop-by-hop headers, those that the HTTP library sets, adds or handles itself,
// and Content-Type, which is set with the body.
auto
ForwardResponseHeaders(const httplib::Headers& aHeaders) -> httplib::Headers;

} // namespace gooseberry

#endif
