#ifndef RAGWORTMUX_VERSION_REQUESTLEDGER_H
#define RAGWORTMUX_VERSION_REQUESTLEDGER_H

#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/LedgerRecord.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwortmux {

struct RecordOutcome;
struct ReserveKey;
struct ResolveAttempt;

/// The ledger of keyed requests. At most one attempt at a time reserves a key,
/// and after an attempt has run no other one can.
class RequestLedger final {
public:
  /// Bounds of the ledger.
  struct Settings final {
    std::chrono::milliseconds m_Retention =
        std::chrono::hours(24); ///< Older keys are refused.
    std::chrono::milliseconds m_MaxAhead =
        std::chrono::minutes(5); ///< Keys further in the future are refused.
    std::size_t m_MaxAnswerBytes = 16384; ///< Longer answers are not stored.
    std::size_t m_MaxKeysPerOwner =
        100000; ///< Maximum number of live keys per owner.
  };

  explicit RequestLedger(const Settings &Bounds) : m_Settings(Bounds) {}

  /// Reserves a key at log time \p Now. For a key that is reserved or has run,
  /// returns its record. A new reservation is refused with \p Permission unless
  /// that is Ok.
  ControlResult reserve(const ReserveKey &Command, WallTime Now,
                        const ControlResult &Permission);
  /// Records an outcome if the attempt still holds the reservation.
  ControlResult record(const RecordOutcome &Command);
  /// Records the outcome that the current primary has reported for an attempt.
  /// \p HasHolderEnded states whether the session that holds the reservation
  /// has ended; while it is open, only that session may resolve the attempt.
  ControlResult resolve(const ResolveAttempt &Command, bool HasHolderEnded);
  /// Removes the keys that reserve() refuses at log time \p Now.
  void prune(WallTime Now);

  void importData(const std::vector<LedgerRecord> &Records);

  /// The record, or null; \p Key may be in upper or lower case.
  const LedgerRecord *find(const OwnerId &Owner, const RequestKey &Key) const;
  /// The number of live keys.
  std::size_t size() const { return m_Records.size(); }
  /// Calls \p Visit for each record by owner and key.
  void
  forEachRecord(const std::function<void(const LedgerRecord &)> &Visit) const;

private:
  struct Key final {
    OwnerId m_Owner;  ///< Owner of the request.
    RequestKey m_Key; ///< Key in canonical form.
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  ControlResult checkKeyTime(const RequestKey &Canonical, WallTime Now) const;
  LedgerRecord *findMutable(const OwnerId &Owner, const RequestKey &Key);
  void insert(LedgerRecord Record);

  Settings m_Settings;                   ///< The bounds.
  std::map<Key, LedgerRecord> m_Records; ///< All live keys.
  std::map<OwnerId, std::size_t>
      m_LiveKeyCounts; ///< Number of live keys per owner.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_REQUESTLEDGER_H
