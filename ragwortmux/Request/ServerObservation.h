#ifndef RAGWORTMUX_REQUEST_SERVEROBSERVATION_H
#define RAGWORTMUX_REQUEST_SERVEROBSERVATION_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Request/DecayingCount.h"

#include <cstdint>
#include <optional>

namespace ragwortmux {

/// What one server has shown to this host: response times of its reads,
/// refusals for lack of a slot, and silence. Estimates only; whether a read is
/// allowed on the server is decided elsewhere.
class ServerObservation final {
public:
  explicit ServerObservation(Duration Memory);

  /// A statement was sent to the server.
  void sent(Instant Now);
  /// The server answered a statement after \p Took. \p IsSample: the time is
  /// that of a read that ran. \p IsRefused: all slots were taken.
  void answered(Instant Now, Duration Took, bool IsSample, bool IsRefused);
  /// A statement ended without an answer.
  void ended();

  /// Expected response time of a read, without waiting for a connection. Recent
  /// response times count fully; with their age they give way to the usual one
  /// and, after half a minute, to \p Default, so that a server that was slow
  /// is tried again.
  Duration expectedResponse(Instant Now, Duration Default) const;
  /// Mean response time of the last half minute; none without samples.
  std::optional<Duration> usualResponse() const;
  /// Shortest time of an answer, which is close to that of the network alone.
  std::optional<Duration> fastest() const;
  /// How long at least two statements have been under way without any answer,
  /// otherwise 0. One alone may simply be a long statement.
  Duration silence(Instant Now) const;
  /// Share of the recent answers that were refusals for lack of a slot.
  double refusedShare(Instant Now) const;

private:
  Duration m_Memory;   ///< Memory of the recent response times.
  double m_Recent = 0; ///< Mean response time of the memory, us.
  double m_Usual = 0;  ///< Mean response time of the last half minute, us.
  bool m_HasSamples = false;     ///< m_Recent and m_Usual are set.
  Instant m_LastSample;          ///< Time of the last sample.
  Duration m_Fastest{0};         ///< Shortest answer of the current period.
  Duration m_PreviousFastest{0}; ///< Shortest answer of the previous period.
  Instant m_PeriodEnd;           ///< End of the current period.
  std::uint32_t m_UnderWay = 0;  ///< Statements without an answer.
  Instant m_QuietSince; ///< Last answer, or when the second statement under way
                        ///< was sent.
  DecayingCount m_Answered; ///< Recent answers.
  DecayingCount m_Refused;  ///< Of these, refusals for lack of a slot.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_SERVEROBSERVATION_H
