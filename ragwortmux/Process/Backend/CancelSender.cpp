#include "ragwortmux/Process/Backend/CancelSender.h"

#include "ragwortmux/Process/Loop/ActorSystem.h"
#include "ragwortmux/Process/Support/Log.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <libpq-fe.h>

#include <array>

namespace ragwortmux {

namespace {

/// Limit on concurrent requests: each one blocks a thread until the server has
/// closed the connection.
constexpr unsigned MaxInFlight = 8;
/// Buffer size for libpq's error text, as recommended by its documentation.
constexpr std::size_t ReasonBytes = 256;

void sendBlocking(pg_cancel &Request) {
  std::array<char, ReasonBytes> Reason{};
  const bool Sent =
      PQcancel(&Request, Reason.data(), static_cast<int>(Reason.size())) != 0;
  if (!Sent) {
    logWarn(Part::Pool, "Could not cancel a statement: {}.", Reason.data());
  }
}

} // namespace

CancelSender::CancelSender(ActorSystem &Actors)
    : m_Actors(Actors), m_InFlight(std::make_shared<std::atomic<unsigned>>(0)) {
}

void CancelSender::send(const std::shared_ptr<pg_cancel> &Request) {
  if (*m_InFlight >= MaxInFlight) {
    logWarn(Part::Pool, "Dropped a cancel request: {} are already in flight.",
            MaxInFlight);
    return;
  }
  ++*m_InFlight;
  m_Actors.system().spawn<caf::detached>(
      [Request, InFlight = m_InFlight](caf::event_based_actor *) {
        sendBlocking(*Request);
        --*InFlight;
      });
}

} // namespace ragwortmux
