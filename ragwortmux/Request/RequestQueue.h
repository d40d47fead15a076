#ifndef RAGWORTMUX_REQUEST_REQUESTQUEUE_H
#define RAGWORTMUX_REQUEST_REQUESTQUEUE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Version/CatalogueEntry.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <set>

namespace ragwortmux {

/// Result of trying to run a queued request.
enum class TryResult : std::uint8_t {
  Dispatched, ///< It was sent and leaves the queue.
  NotYet,     ///< It cannot run now; another request of its entry may.
  EntryFull,  ///< No request of its entry can run now.
  ClassFull,  ///< No request of its class can run now.
};

/// Queue of requests that wait for a connection: ordered by traffic class;
/// round-robin between the owners of a class and between the entries of an
/// owner; in order of arrival within an entry.
class RequestQueue final {
public:
  using TryRun = std::function<TryResult(RequestId)>;

  /// Adds a request. Ids ascend with arrival, so a request that is queued again
  /// for a retry gets its old position.
  void add(const CatalogueEntry &Entry, RequestId Request);
  /// Removes a request if it is queued.
  void remove(const CatalogueEntry &Entry, RequestId Request);
  /// Calls \p Try for the requests in the order above, until each one was tried
  /// or excluded by a result. \p Try must not change the queue.
  void run(const TryRun &Try);

  bool empty() const;
  std::size_t size() const;

private:
  using EntryQueue = std::set<RequestId>;

  struct OwnerQueue final {
    std::map<EntryName, EntryQueue> m_Entries; ///< Never an empty one.
    EntryName m_LastEntry;                     ///< Whose turn it was.
  };

  struct ClassQueue final {
    std::map<OwnerId, OwnerQueue> m_Owners; ///< Never an empty one.
    OwnerId m_LastOwner;                    ///< Whose turn it was.
  };

  struct RunProgress;

  static constexpr std::size_t ClassCount = 4;

  static TryResult tryNext(ClassQueue &Class, const OwnerId &Owner,
                           RunProgress &Progress, const TryRun &Try);
  static void runClass(ClassQueue &Class, const TryRun &Try);

  std::array<ClassQueue, ClassCount> m_Classes; ///< Queues by TrafficClass.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_REQUESTQUEUE_H
