#ifndef GOOSEBERRY_HTTPSTATUS_H
#define GOOSEBERRY_HTTPSTATUS_H

// HTTP status codes that the ports of an instance respond with.

namespace gooseberry {

inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kUnprocessableContent = 422;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

} // namespace gooseberry

#endif
