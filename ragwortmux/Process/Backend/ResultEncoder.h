#ifndef RAGWORTMUX_PROCESS_BACKEND_RESULTENCODER_H
#define RAGWORTMUX_PROCESS_BACKEND_RESULTENCODER_H

#include <string>

struct pg_result;

namespace ragwortmux {

/// Appends \p Result to \p Output as protocol messages for a caller.
/// \p IsHeaderEncoded is true if the row description was already encoded, as
/// for the second and later rows in single-row mode.
void encodeResult(const pg_result &Result, bool IsHeaderEncoded,
                  std::string &Output);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_RESULTENCODER_H
