#ifndef RAGWORTMUX_PROCESS_OPERATORS_HTTPSTATUS_H
#define RAGWORTMUX_PROCESS_OPERATORS_HTTPSTATUS_H

/// \file
/// HTTP status codes (RFC 9110) that this process sends or reads.

namespace ragwortmux {

inline constexpr unsigned HttpOk = 200;
inline constexpr unsigned HttpAccepted = 202;
inline constexpr unsigned HttpBadRequest = 400;
inline constexpr unsigned HttpUnauthorized = 401;
inline constexpr unsigned HttpNotFound = 404;
inline constexpr unsigned HttpConflict = 409;
inline constexpr unsigned HttpUnavailable = 503;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_OPERATORS_HTTPSTATUS_H
