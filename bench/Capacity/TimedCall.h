#ifndef BENCH_CAPACITY_TIMEDCALL_H
#define BENCH_CAPACITY_TIMEDCALL_H

#include <chrono>

namespace ragwortmux {

/// Runs \p Call once and returns its duration in microseconds.
template <typename Function> double measureMicroseconds(Function &&Call) {
  const auto Begin = std::chrono::steady_clock::now();
  Call();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Begin)
      .count();
}

} // namespace ragwortmux

#endif // BENCH_CAPACITY_TIMEDCALL_H
