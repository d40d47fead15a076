#include "ragwortmux/Request/CrossDomainPolicy.h"

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace {

constexpr std::uint64_t BytesPerKb = 1024;
constexpr std::uint32_t PercentBase = 100;
/// Assumed size of a read and its reply before any reply of its entry.
constexpr std::uint64_t DefaultBytes = 512;
constexpr double BytesWeight = 0.1;
/// The tables by entry and workspace are emptied at this size: both come and
/// go.
constexpr std::size_t MaxEntries = 1024;
/// A share of refusals above this does not raise the estimate any further.
constexpr double MaxRefusedShare = 0.95;
/// Reads that may leave at once after a time without any that had a reason.
constexpr double MaxCredit = 2;
/// Foreign servers have too little room if they refuse more than this share of
/// the reads that left. With random arrivals a server of 5 slots refuses 11% at
/// 60% of its load and 20% at 80%, so fewer refusals are no reason to leave
/// that room unused.
constexpr std::uint32_t RefusedPercent = 40;
/// Refusals are judged once this many reads have left, or after a second.
constexpr std::uint32_t MinJudged = 8;
/// Pauses after a refusal for which a foreign server gets no reads that have
/// another choice.
constexpr int NoRoomPauses = 2;
/// Factor of the share after too many refusals.
constexpr double Decrease = 0.7;
/// A smaller share is 0.
constexpr double MinShare = 0.02;
/// The limit does not fall below this, because only reads that leave show that
/// foreign servers have room again.
constexpr double MinLimit = 0.02;

double toShare(std::uint32_t Percent) {
  return static_cast<double>(Percent) / PercentBase;
}

/// Mean time spent on refusals before a try succeeds.
Duration refusalTime(double RefusedShare, Duration Pause) {
  const double Refused = std::min(RefusedShare, MaxRefusedShare);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Pause.count()) * Refused / (1 - Refused)));
}

/// Multiplicative generator (MMIX); the quality suffices for a choice between
/// few servers.
std::uint64_t nextRandom(std::uint64_t State) {
  return State * 6364136223846793005U + 1442695040888963407U;
}

} // namespace

CrossDomainPolicy::CrossDomainPolicy(const CrossDomainSettings &Settings)
    : m_Settings(Settings), m_Reads(Settings.m_Memory),
      m_Far(Settings.m_Memory), m_FarBytes(Settings.m_Memory),
      m_Limit(toShare(Settings.m_MaxSharePercent)),
      m_GrowthPause(Settings.m_GrowthPause),
      m_Random(nextRandom(Settings.m_Seed)) {}

std::optional<CrossDomainChange> CrossDomainPolicy::beginPass(Instant Now) {
  if (!m_Settings.m_IsEnabled)
    return std::nullopt;
  m_Held = 0;
  if (Now < m_NextStep)
    return std::nullopt;
  m_NextStep = Now + m_Settings.m_StepInterval;
  const double Max = toShare(m_Settings.m_MaxSharePercent);
  const bool MayGrow = Now >= m_NoGrowthUntil;
  CrossDomainChange Change;
  Change.m_Before = m_Share;
  Change.m_LimitBefore = m_Limit;
  const bool IsJudged =
      m_Judged >= MinJudged || Now >= m_JudgedSince + m_Settings.m_Memory;
  if (IsJudged && m_JudgedRefused * PercentBase > m_Judged * RefusedPercent) {
    Change.m_Reason = CrossDomainChangeReason::FarRefuses;
    pauseGrowth(Now);
    setShare(m_Share * Decrease);
    m_Limit = std::min(m_Limit, std::max(MinLimit, m_Limit * Decrease));
  } else if (m_StepWanting > 0 && m_IsShort && m_Share < m_Limit && MayGrow) {
    Change.m_Reason = CrossDomainChangeReason::NearSlower;
    setShare(std::min(m_Limit, m_Share + m_Settings.m_ShareStep));
  } else if (m_StepWanting == 0 && m_Share > 0 &&
             Now >= m_LastWanting + m_Settings.m_ReturnAfter) {
    Change.m_Reason = CrossDomainChangeReason::NearFine;
    setShare(m_Share - m_Settings.m_ShareStep);
  } else if (m_Limit < Max && MayGrow) {
    Change.m_Reason = CrossDomainChangeReason::FarHasRoom;
    m_Limit = std::min(Max, m_Limit + m_Settings.m_ShareStep);
  }
  Change.m_Share = m_Share;
  Change.m_Limit = m_Limit;
  Change.m_WithReason = std::exchange(m_StepWanting, 0);
  Change.m_Left = m_Judged;
  Change.m_Refused = m_JudgedRefused;
  Change.m_NearTime = m_LastNearTime;
  Change.m_FarTime = m_LastFarTime;
  m_IsShort = false;
  if (IsJudged) {
    m_Judged = 0;
    m_JudgedRefused = 0;
    m_JudgedSince = Now;
  }
  const bool HasChanged =
      m_Share != Change.m_Before || m_Limit != Change.m_LimitBefore;
  return HasChanged ? std::optional(Change) : std::nullopt;
}

void CrossDomainPolicy::pauseGrowth(Instant Now) {
  if (Now >= m_NoGrowthUntil + m_Settings.m_GrowthPauseMax)
    m_GrowthPause = m_Settings.m_GrowthPause;
  m_NoGrowthUntil = Now + m_GrowthPause;
  m_GrowthPause = std::min(m_GrowthPause * 2, m_Settings.m_GrowthPauseMax);
}

void CrossDomainPolicy::setShare(double Share) {
  m_Share = Share < MinShare ? 0 : Share;
  m_Credit = std::min(m_Credit, m_Share * MaxCredit);
}

CrossDomainVerdict
CrossDomainPolicy::choose(Instant Now, const CrossDomainRead &Read,
                          std::span<const ReadTarget> Targets) const {
  CrossDomainVerdict Verdict;
  Verdict.m_Bytes = expectedBytes(Read);
  const auto GoTo = [&Verdict](const Candidate &Chosen, bool IsFar) {
    Verdict.m_Server = Chosen.m_Target->m_Server;
    Verdict.m_IsFar = IsFar;
    Verdict.m_IsReady =
        Chosen.m_Target->m_IsAllowed && Chosen.m_Target->m_Free > 0;
  };
  const Candidates Near = nearCandidates(Now, Read, Targets);
  const std::optional<Candidate> Far =
      chooseFar(farCandidates(Now, Read, Targets, Near.empty()));
  if (Far)
    Verdict.m_FarTime = Far->m_Time;
  if (Near.empty()) {
    Verdict.m_Reason = CrossDomainReason::NotServedNear;
    if (Far)
      GoTo(*Far, true);
    return Verdict;
  }
  const Candidate &Best = *std::min_element(
      Near.begin(), Near.end(), [](const Candidate &A, const Candidate &B) {
        return A.m_Time < B.m_Time;
      });
  Verdict.m_NearTime = Best.m_Time;
  GoTo(Best, false);
  if (!Far) {
    Verdict.m_Reason = CrossDomainReason::NoForeign;
    return Verdict;
  }

  Verdict.m_Price = Duration(static_cast<Duration::rep>(
      Verdict.m_Bytes * m_Settings.m_UsPerKb / BytesPerKb));
  // A read that is late in both places is no reason for a crossing.
  const auto OnlyFarIsBefore = [&](Instant Limit) {
    return Now + Best.m_Time > Limit && Now + Far->m_Time <= Limit;
  };
  const bool IsUrgent = (Read.m_LateAt && OnlyFarIsBefore(*Read.m_LateAt)) ||
                        OnlyFarIsBefore(Read.m_Deadline);
  const Duration Margin = m_Share > 0 ? Duration(0) : m_Settings.m_LeaveMargin;
  const bool Pays = Best.m_Time - Far->m_Time > Verdict.m_Price + Margin;
  if (!IsUrgent && !Pays) {
    Verdict.m_Reason = CrossDomainReason::BelowPrice;
    return Verdict;
  }
  Verdict.m_HasReason = true;
  std::optional<CrossDomainReason> Limit = limitReached(Now, Verdict);
  if (!Limit && !IsUrgent)
    Limit = shareUsed(Now, Read);
  if (Limit) {
    Verdict.m_Reason = *Limit;
    return Verdict;
  }
  Verdict.m_Reason =
      IsUrgent ? CrossDomainReason::WouldBeLate : CrossDomainReason::Saves;
  GoTo(*Far, true);
  return Verdict;
}

CrossDomainPolicy::Candidates
CrossDomainPolicy::nearCandidates(Instant Now, const CrossDomainRead &Read,
                                  std::span<const ReadTarget> Targets) const {
  Candidates Result;
  for (const ReadTarget &Target : Targets) {
    const bool IsUsable =
        Target.m_IsNear && (Target.m_IsAllowed || Target.m_IsFull) &&
        (Target.m_Free > 0 || Target.m_Running > 0 || Target.m_CanOpen) &&
        !isStalled(Now, Target.m_Server);
    if (IsUsable)
      Result.push_back({&Target, nearTime(Now, Read, Target)});
  }
  return Result;
}

CrossDomainPolicy::Candidates
CrossDomainPolicy::farCandidates(Instant Now, const CrossDomainRead &Read,
                                 std::span<const ReadTarget> Targets,
                                 bool IsOnlyChoice) const {
  Candidates Result;
  for (const ReadTarget &Target : Targets) {
    if (Target.m_IsNear || !Target.m_IsAllowed ||
        (Target.m_Free == 0 && !Target.m_CanOpen))
      continue;
    const auto NoRoom = m_NoRoomUntil.find(Target.m_Server);
    const bool HasRoom =
        (NoRoom == m_NoRoomUntil.end() || Now >= NoRoom->second) &&
        Target.m_Running < room(Now, Read, Target) &&
        !isStalled(Now, Target.m_Server);
    if (HasRoom || IsOnlyChoice)
      Result.push_back({&Target, farTime(Now, Target, Targets)});
  }
  return Result;
}

/// Takes the better one of two servers, which are drawn at random if there are
/// more: the estimates of all hosts are stale in the same way, and if each took
/// the best of all, they would all take the same one.
std::optional<CrossDomainPolicy::Candidate>
CrossDomainPolicy::chooseFar(const Candidates &Far) const {
  if (Far.empty())
    return std::nullopt;
  const auto Count = static_cast<std::uint64_t>(Far.size());
  const std::uint64_t First = (m_Random >> 33U) % Count;
  if (Count == 1)
    return Far[0];
  const std::uint64_t Second =
      (First + 1 + (nextRandom(m_Random) >> 33U) % (Count - 1)) % Count;
  const auto Cost = [this](const Candidate &Each) {
    return Each.m_Time + (Each.m_Target->m_IsPrimary
                              ? m_Settings.m_PrimaryPenalty
                              : Duration(0));
  };
  return Cost(Far[Second]) < Cost(Far[First]) ? Far[Second] : Far[First];
}

Duration CrossDomainPolicy::nearTime(Instant Now, const CrossDomainRead &Read,
                                     const ReadTarget &Target) const {
  const ServerObservation *Seen = find(Target.m_Server);
  Duration Time = m_Settings.m_DefaultResponse;
  Duration Wait{0};
  if (Seen != nullptr) {
    Time = Seen->expectedResponse(Now, m_Settings.m_DefaultResponse);
    Wait = refusalTime(Seen->refusedShare(Now), m_Settings.m_RefusalPause);
  }
  if (Target.m_IsFull)
    Wait = std::max(Wait, m_Settings.m_RefusalPause);
  const bool IsSentNow = Target.m_Free > 0 && !Target.m_IsFull;
  if (IsSentNow)
    return Time + Wait;
  // The reads that are held go first, and each needs a connection that a
  // running statement frees.
  Duration Queue = Time * m_Held / std::max(1U, Target.m_Running);
  if (Target.m_Free == 0) {
    // Opening a connection pays for the reads to come as well, so a workspace
    // that keeps going abroad for lack of one gets one here.
    Duration Open = m_Settings.m_OpenTime;
    const auto FarInARow = m_FarInARow.find(Read.m_Workspace);
    if (FarInARow != m_FarInARow.end())
      Open /= 1 + FarInARow->second;
    if (Target.m_Running > 0)
      Queue += Time / Target.m_Running;
    if (Target.m_Running == 0 || (Target.m_CanOpen && Open < Queue))
      Queue = Open;
  }
  // A read that has waited longer than expected probably waits as long again.
  return Time + std::max(Wait + Queue, Now - Read.m_Arrived);
}

Duration CrossDomainPolicy::farTime(Instant Now, const ReadTarget &Target,
                                    std::span<const ReadTarget> Targets) const {
  const ServerObservation *Seen = find(Target.m_Server);
  Duration Time = unknownFarTime(Seen, Targets);
  if (Seen != nullptr)
    Time = Seen->expectedResponse(Now, Time) +
           refusalTime(Seen->refusedShare(Now), m_Settings.m_RefusalPause);
  // The estimate is older than what this host has under way there.
  Time += Time * Target.m_Running / std::max(1U, Target.m_Slots);
  return Target.m_Free > 0 ? Time : Time + m_Settings.m_OpenTime;
}

/// Expected time at a foreign server that has not answered any read lately: the
/// usual one of the near server and the crossing. The near server may have been
/// slow since the start, so its usual time only counts up to the default; the
/// first reads show the real one.
Duration
CrossDomainPolicy::unknownFarTime(const ServerObservation *Seen,
                                  std::span<const ReadTarget> Targets) const {
  std::optional<Duration> Usual;
  std::optional<Duration> Fastest;
  for (const ReadTarget &Target : Targets) {
    const ServerObservation *Near =
        Target.m_IsNear ? find(Target.m_Server) : nullptr;
    if (Near == nullptr || !Near->usualResponse())
      continue;
    if (!Usual || *Near->usualResponse() < *Usual)
      Usual = Near->usualResponse();
    if (!Fastest || *Near->fastest() < *Fastest)
      Fastest = Near->fastest();
  }
  Duration Crossing = m_Settings.m_DefaultCrossing;
  if (Seen != nullptr && Seen->fastest() && Fastest)
    Crossing = std::max(Duration(0), *Seen->fastest() - *Fastest);
  return std::min(Usual.value_or(m_Settings.m_DefaultResponse),
                  m_Settings.m_DefaultResponse) +
         Crossing;
}

bool CrossDomainPolicy::isStalled(Instant Now, const ServerId &Server) const {
  const ServerObservation *Seen = find(Server);
  return Seen != nullptr && Seen->silence(Now) >= m_Settings.m_StalledAfter;
}

/// Statements of this host that may run on a foreign server. The last place is
/// kept for the highest priority that has a reason to leave.
std::uint32_t CrossDomainPolicy::room(Instant Now, const CrossDomainRead &Read,
                                      const ReadTarget &Target) const {
  const std::uint32_t Room =
      std::max(1U, Target.m_Slots * m_Settings.m_RoomPercent / PercentBase);
  const bool IsHighest =
      std::none_of(m_Wanting.begin(), m_Wanting.end(), [&](const auto &Each) {
        return Each.first < Read.m_Priority && Each.second.value(Now) >= 1;
      });
  return IsHighest || Room == 1 ? Room : Room - 1;
}

std::uint64_t
CrossDomainPolicy::expectedBytes(const CrossDomainRead &Read) const {
  const auto Known = m_Bytes.find(Read.m_Entry);
  return Known == m_Bytes.end() ? DefaultBytes + Read.m_TextBytes
                                : static_cast<std::uint64_t>(Known->second);
}

std::optional<CrossDomainReason>
CrossDomainPolicy::limitReached(Instant Now,
                                const CrossDomainVerdict &Verdict) const {
  if (m_Far.value(Now) > m_Limit * m_Reads.value(Now))
    return CrossDomainReason::ShareLimit;
  const double Bytes =
      m_FarBytes.value(Now) + static_cast<double>(Verdict.m_Bytes);
  if (m_Settings.m_MaxKbPerSecond > 0 &&
      Bytes > static_cast<double>(m_Settings.m_MaxKbPerSecond * BytesPerKb))
    return CrossDomainReason::ByteLimit;
  return std::nullopt;
}

std::optional<CrossDomainReason>
CrossDomainPolicy::shareUsed(Instant Now, const CrossDomainRead &Read) const {
  // The reads of higher priorities may need the whole share.
  double Higher = 0;
  for (const auto &[Priority, Wanting] : m_Wanting) {
    if (Priority < Read.m_Priority)
      Higher += Wanting.value(Now);
  }
  if (Higher > 0 && Higher >= m_Share * m_Reads.value(Now))
    return CrossDomainReason::PriorityWaits;
  if (m_Credit < 1)
    return CrossDomainReason::ShareUsed;
  return std::nullopt;
}

void CrossDomainPolicy::firstDecided(Instant Now) {
  m_Reads.add(Now, 1);
  m_Credit = std::min(MaxCredit, m_Credit + m_Share);
}

void CrossDomainPolicy::reasonFound(Instant Now, const CrossDomainRead &Read,
                                    const CrossDomainVerdict &Verdict) {
  m_Wanting.try_emplace(Read.m_Priority, m_Settings.m_Memory)
      .first->second.add(Now, 1);
  ++m_StepWanting;
  m_LastWanting = Now;
  m_LastNearTime = Verdict.m_NearTime;
  m_LastFarTime = Verdict.m_FarTime;
  m_IsShort = m_IsShort || Verdict.m_Reason == CrossDomainReason::ShareUsed ||
              Verdict.m_Reason == CrossDomainReason::PriorityWaits;
}

void CrossDomainPolicy::readSent(Instant Now, const CrossDomainRead &Read,
                                 const CrossDomainVerdict &Verdict) {
  if (!Verdict.m_IsFar) {
    m_FarInARow.erase(Read.m_Workspace);
    return;
  }
  m_Far.add(Now, 1);
  ++m_Judged;
  m_Random = nextRandom(m_Random);
  if (Verdict.m_Reason == CrossDomainReason::Saves)
    m_Credit -= 1;
  const bool HasChoice = Verdict.m_Reason != CrossDomainReason::NotServedNear;
  if (!HasChoice || Read.m_Workspace.value().empty())
    return;
  if (m_FarInARow.size() >= MaxEntries)
    m_FarInARow.clear();
  ++m_FarInARow[Read.m_Workspace];
}

void CrossDomainPolicy::statementSent(Instant Now, const ServerId &Server) {
  if (m_Settings.m_IsEnabled)
    observe(Server).sent(Now);
}

void CrossDomainPolicy::statementAnswered(Instant Now, const ServerId &Server,
                                          bool IsNear, Duration Took,
                                          bool IsSample, bool IsRefused,
                                          bool WasPlaced) {
  if (!m_Settings.m_IsEnabled)
    return;
  observe(Server).answered(Now, Took, IsSample, IsRefused);
  if (IsNear || !IsRefused)
    return;
  m_JudgedRefused += WasPlaced ? 1 : 0;
  m_NoRoomUntil[Server] = Now + m_Settings.m_RefusalPause * NoRoomPauses;
}

void CrossDomainPolicy::statementEnded(const ServerId &Server) {
  if (m_Settings.m_IsEnabled)
    observe(Server).ended();
}

void CrossDomainPolicy::replyArrived(Instant Now, const EntryName &Entry,
                                     bool IsNear, std::uint64_t Bytes) {
  if (!IsNear)
    m_Counts.m_FarBytes += Bytes;
  if (!m_Settings.m_IsEnabled)
    return;
  const auto Size = static_cast<double>(Bytes);
  if (!IsNear)
    m_FarBytes.add(Now, Size);
  if (m_Bytes.size() >= MaxEntries && !m_Bytes.contains(Entry))
    m_Bytes.clear();
  double &Mean = m_Bytes.try_emplace(Entry, Size).first->second;
  Mean += BytesWeight * (Size - Mean);
}

std::optional<Instant>
CrossDomainPolicy::nextDeadline(Instant Now, bool IsAnyWaiting) const {
  if (!m_Settings.m_IsEnabled)
    return std::nullopt;
  if (IsAnyWaiting)
    return Now + m_Settings.m_RecheckInterval;
  if (m_Share > 0)
    return std::max(Now, m_NextStep);
  return std::nullopt;
}

const ServerObservation *CrossDomainPolicy::find(const ServerId &Server) const {
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? nullptr : &Found->second;
}

ServerObservation &CrossDomainPolicy::observe(const ServerId &Server) {
  return m_Servers.try_emplace(Server, m_Settings.m_Memory).first->second;
}

} // namespace ragwortmux
