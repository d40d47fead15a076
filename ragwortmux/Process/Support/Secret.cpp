#include "ragwortmux/Process/Support/Secret.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace ragwortmux {

Secret::Secret(std::string Text) : m_Text(std::move(Text)) {}

bool Secret::isAllowed(std::string_view Text) {
  if (Text.size() < MinLength || Text.size() > MaxLength)
    return false;
  return std::ranges::all_of(
      Text, [](char Character) { return Character > ' ' && Character <= '~'; });
}

bool Secret::matches(std::string_view Candidate) const {
  if (m_Text.empty() || Candidate.size() > MaxLength)
    return false;

  // Every character of the secret is compared, so that the time taken does not
  // reveal how many of them match.
  volatile unsigned Difference = m_Text.size() == Candidate.size() ? 0U : 1U;
  for (std::size_t Index = 0; Index < m_Text.size(); ++Index) {
    const char Other = Index < Candidate.size() ? Candidate[Index] : '\0';
    const unsigned Bits = static_cast<unsigned char>(m_Text[Index]) ^
                          static_cast<unsigned char>(Other);
    Difference = Difference | Bits;
  }
  return Difference == 0;
}

std::ostream &operator<<(std::ostream &Stream, const Secret & /*Hidden*/) {
  return Stream << "***";
}

} // namespace ragwortmux
