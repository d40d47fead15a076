#ifndef RAGWORTMUX_REQUEST_CROSSDOMAINPOLICY_H
#define RAGWORTMUX_REQUEST_CROSSDOMAINPOLICY_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Request/ChooseReadTarget.h"
#include "ragwortmux/Request/CrossDomainEvents.h"
#include "ragwortmux/Request/CrossDomainSettings.h"
#include "ragwortmux/Request/DecayingCount.h"
#include "ragwortmux/Request/ServerObservation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace ragwortmux {

/// Decides which reads leave the host's failure domain.
///
/// Load pattern: the server of one failure domain becomes slow or full while
/// those of others have room, on every entry host of the domain at once. If all
/// of them moved their reads together, the foreign servers would fill up, all
/// would return together, and so on. Therefore the share of the reads that
/// leave changes in small steps, shrinks at once when foreign servers refuse,
/// and grows again only after a pause.
///
/// It only chooses among servers that the read guarantees allow. A read leaves
/// - if no server of the failure domain can serve it, without further limits;
/// - if only abroad it would be answered in time, within the limits on the
///   share, the bytes and the room that this host takes; the limit on the share
///   shrinks while foreign servers refuse;
/// - if it saves more waiting time than its bytes are worth, within the same
///   limits and the current share, higher priorities first.
class CrossDomainPolicy final {
public:
  explicit CrossDomainPolicy(const CrossDomainSettings &Settings);

  bool isEnabled() const { return m_Settings.m_IsEnabled; }

  /// Starts a pass over the queued reads. Returns a change of the share if one
  /// is due.
  std::optional<CrossDomainChange> beginPass(Instant Now);
  /// Decides on \p Read without changing anything.
  CrossDomainVerdict choose(Instant Now, const CrossDomainRead &Read,
                            std::span<const ReadTarget> Targets) const;
  /// A read was decided on for the first time in its life.
  void firstDecided(Instant Now);
  /// \p Read had a reason to leave for the first time in its life.
  void reasonFound(Instant Now, const CrossDomainRead &Read,
                   const CrossDomainVerdict &Verdict);
  /// The read stays in the queue for now.
  void held() { ++m_Held; }
  /// The read was sent as \p Verdict says.
  void readSent(Instant Now, const CrossDomainRead &Read,
                const CrossDomainVerdict &Verdict);

  /// Any statement was sent to \p Server.
  void statementSent(Instant Now, const ServerId &Server);
  /// \p Server answered a statement after \p Took; see ServerObservation.
  /// \p WasPlaced: the statement was a read that choose() had sent there, so
  /// that its refusal tells how many reads may leave.
  void statementAnswered(Instant Now, const ServerId &Server, bool IsNear,
                         Duration Took, bool IsSample, bool IsRefused,
                         bool WasPlaced = true);
  /// A statement on \p Server ended without an answer.
  void statementEnded(const ServerId &Server);
  /// A read of \p Entry is complete; its statement and reply took \p Bytes.
  void replyArrived(Instant Now, const EntryName &Entry, bool IsNear,
                    std::uint64_t Bytes);
  /// Counts a read for the metrics; also while the policy is disabled.
  void countRead(bool IsNear) { ++(IsNear ? m_Counts.m_Near : m_Counts.m_Far); }

  /// Reads held in the current pass.
  std::uint32_t heldCount() const { return m_Held; }
  /// When the next pass is due even without an event; none if nothing is.
  std::optional<Instant> nextDeadline(Instant Now, bool IsAnyWaiting) const;
  /// Current share of the reads that may leave because it pays, from 0 to 1.
  double share() const { return m_Share; }
  const CrossDomainCounts &counts() const { return m_Counts; }

private:
  /// A server with its expected time.
  struct Candidate final {
    const ReadTarget *m_Target = nullptr; ///< The server.
    Duration m_Time{0};                   ///< Expected wait and run time.
  };
  using Candidates = std::vector<Candidate>;

  Candidates nearCandidates(Instant Now, const CrossDomainRead &Read,
                            std::span<const ReadTarget> Targets) const;
  Candidates farCandidates(Instant Now, const CrossDomainRead &Read,
                           std::span<const ReadTarget> Targets,
                           bool IsOnlyChoice) const;
  std::optional<Candidate> chooseFar(const Candidates &Far) const;
  Duration nearTime(Instant Now, const CrossDomainRead &Read,
                    const ReadTarget &Target) const;
  Duration farTime(Instant Now, const ReadTarget &Target,
                   std::span<const ReadTarget> Targets) const;
  Duration unknownFarTime(const ServerObservation *Seen,
                          std::span<const ReadTarget> Targets) const;
  bool isStalled(Instant Now, const ServerId &Server) const;
  std::uint32_t room(Instant Now, const CrossDomainRead &Read,
                     const ReadTarget &Target) const;
  std::uint64_t expectedBytes(const CrossDomainRead &Read) const;
  std::optional<CrossDomainReason>
  limitReached(Instant Now, const CrossDomainVerdict &Verdict) const;
  std::optional<CrossDomainReason> shareUsed(Instant Now,
                                             const CrossDomainRead &Read) const;
  const ServerObservation *find(const ServerId &Server) const;
  ServerObservation &observe(const ServerId &Server);
  void pauseGrowth(Instant Now);
  void setShare(double Share);

  CrossDomainSettings m_Settings;                  ///< Limits and weights.
  std::map<ServerId, ServerObservation> m_Servers; ///< Observations by server.
  std::map<ServerId, Instant>
      m_NoRoomUntil; ///< Until when a foreign server that had no free slot gets
                     ///< no reads that have another choice.
  std::map<EntryName, double> m_Bytes; ///< Mean bytes of a read by entry.
  std::map<WorkspaceId, std::uint32_t>
      m_FarInARow; ///< Reads that a workspace has sent abroad since its last
                   ///< one in the failure domain.
  std::map<std::uint32_t, DecayingCount>
      m_Wanting;            ///< Recent reads with a reason to leave, by
                            ///< priority.
  DecayingCount m_Reads;    ///< Recent reads.
  DecayingCount m_Far;      ///< Recent reads that left.
  DecayingCount m_FarBytes; ///< Recent bytes of reads that left.
  double m_Share = 0;       ///< See share().
  double m_Limit; ///< Limit of all reads that leave although the near server
                  ///< serves; at most the setting.
  double m_Credit = 0;      ///< Reads that may leave now; each read adds the
                            ///< share to it.
  std::uint32_t m_Held = 0; ///< Reads held in the current pass.
  std::uint32_t m_StepWanting = 0; ///< Reads with a reason to leave in the
                                   ///< current step.
  std::uint32_t m_Judged = 0; ///< Reads that left since refusals were judged.
  std::uint32_t m_JudgedRefused = 0; ///< Refusals by foreign servers since.
  Instant m_JudgedSince;             ///< When refusals were last judged.
  bool m_IsShort = false;     ///< The share was used up in the current step.
  Duration m_LastNearTime{0}; ///< Expected times of the last read that had a
  Duration m_LastFarTime{0};  ///< reason to leave.
  Instant m_NextStep;         ///< Earliest time for the next change.
  Instant m_LastWanting;      ///< When a read last had a reason to leave.
  Instant m_NoGrowthUntil;    ///< The share does not grow before this time.
  Duration m_GrowthPause;     ///< Next pause of growth.
  std::uint64_t m_Random;     ///< State of the choice among foreign servers.
  CrossDomainCounts m_Counts; ///< Totals.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CROSSDOMAINPOLICY_H
