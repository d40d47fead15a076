#include "ragwortmux/Request/ServerObservation.h"

#include <algorithm>
#include <cmath>

namespace ragwortmux {

namespace {

constexpr Duration UsualMemory = std::chrono::seconds(30);
/// The network's own time is taken from the fastest answer of one to two
/// periods, so that a longer route is noticed within a minute.
constexpr Duration FastestPeriod = std::chrono::seconds(30);
/// Bounds of the weight of one sample: a single outlier after a quiet time must
/// not be the whole estimate, and answers of one instant must count at all.
constexpr double MinRecentWeight = 0.01;
constexpr double MinUsualWeight = 0.0003;
constexpr double MaxWeight = 0.5;

double ageRatio(Duration Age, Duration Memory) {
  return static_cast<double>(std::max(Age, Duration(0)).count()) /
         static_cast<double>(Memory.count());
}

void addSample(double &Mean, double Sample, double AgeRatio, double MinWeight) {
  const double Weight =
      std::clamp(1 - std::exp(-AgeRatio), MinWeight, MaxWeight);
  Mean += Weight * (Sample - Mean);
}

Duration toDuration(double Microseconds) {
  return Duration(static_cast<Duration::rep>(Microseconds));
}

} // namespace

ServerObservation::ServerObservation(Duration Memory)
    : m_Memory(Memory), m_Answered(Memory), m_Refused(Memory) {}

void ServerObservation::sent(Instant Now) {
  ++m_UnderWay;
  if (m_UnderWay == 2)
    m_QuietSince = Now;
}

void ServerObservation::ended() {
  if (m_UnderWay > 0)
    --m_UnderWay;
}

void ServerObservation::answered(Instant Now, Duration Took, bool IsSample,
                                 bool IsRefused) {
  ended();
  m_QuietSince = Now;
  m_Answered.add(Now, 1);
  if (IsRefused)
    m_Refused.add(Now, 1);
  if (Now >= m_PeriodEnd) {
    m_PreviousFastest = m_Fastest;
    m_Fastest = Took;
    m_PeriodEnd = Now + FastestPeriod;
  }
  m_Fastest = std::min(m_Fastest, Took);
  if (!IsSample)
    return;
  const double Sample = static_cast<double>(Took.count());
  if (m_HasSamples) {
    const Duration Age = Now - m_LastSample;
    addSample(m_Recent, Sample, ageRatio(Age, m_Memory), MinRecentWeight);
    addSample(m_Usual, Sample, ageRatio(Age, UsualMemory), MinUsualWeight);
  } else {
    m_Recent = Sample;
    m_Usual = Sample;
    m_HasSamples = true;
  }
  m_LastSample = Now;
}

Duration ServerObservation::expectedResponse(Instant Now,
                                             Duration Default) const {
  Duration Expected = Default;
  if (m_HasSamples) {
    const Duration Age = Now - m_LastSample;
    const double Recent = std::exp(-ageRatio(Age, m_Memory));
    const double Usual = std::exp(-ageRatio(Age, UsualMemory));
    const double Old =
        Usual * m_Usual + (1 - Usual) * static_cast<double>(Default.count());
    Expected = toDuration(Recent * m_Recent + (1 - Recent) * Old);
  }
  return std::max(Expected, silence(Now));
}

std::optional<Duration> ServerObservation::usualResponse() const {
  return m_HasSamples ? std::optional(toDuration(m_Usual)) : std::nullopt;
}

std::optional<Duration> ServerObservation::fastest() const {
  if (m_Fastest == Duration(0))
    return std::nullopt;
  return m_PreviousFastest == Duration(0)
             ? m_Fastest
             : std::min(m_Fastest, m_PreviousFastest);
}

Duration ServerObservation::silence(Instant Now) const {
  return m_UnderWay < 2 ? Duration(0)
                        : std::max(Duration(0), Now - m_QuietSince);
}

double ServerObservation::refusedShare(Instant Now) const {
  const double Answered = m_Answered.value(Now);
  return Answered < 1 ? 0 : m_Refused.value(Now) / Answered;
}

} // namespace ragwortmux
