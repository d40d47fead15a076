#ifndef REVIEW_STANDINS_RECORD_H
#define REVIEW_STANDINS_RECORD_H

#include "review/standins/Net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// What was sent, answered and run, with the time since the start.
class Record final {
public:
  explicit Record(const std::string &Path)
      : m_File(Path), m_Start(Clock::now()) {}

  void add(const std::string &Text) {
    const std::lock_guard Lock(m_Mutex);
    m_File << elapsed().count() << " ms  " << visible(Text) << std::endl;
  }

  Milliseconds elapsed() const {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_Start);
  }

private:
  /// Writes control characters so that they can be seen.
  static std::string visible(const std::string &Text) {
    std::string Result;
    for (const char Each : Text) {
      if (Each == '\n')
        Result += "<LF>";
      else if (Each == '\r')
        Result += "<CR>";
      else
        Result += Each;
    }
    return Result;
  }

  std::mutex m_Mutex;        ///< Guards the file.
  std::ofstream m_File;      ///< record.txt.
  Clock::time_point m_Start; ///< Time zero.
};

} // namespace review

#endif // REVIEW_STANDINS_RECORD_H
