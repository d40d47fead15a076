#include "tests/StandIn/StandInAnnouncer.h"

#include "tests/StandIn/StandInServer.h"

#include <kj/debug.h>

#include <sstream>

namespace ragwortmux::standin {

StandInAnnouncer::StandInAnnouncer(StandInServer &Server) : m_Server(Server) {}

void StandInAnnouncer::start() {
  if (!m_Server.context().m_Settings.m_AnnounceTo.empty()) {
    m_Task = announceLoop().eagerlyEvaluate(nullptr);
  }
}

kj::Promise<void> StandInAnnouncer::announceLoop() {
  const Duration Interval = m_Server.context().m_Settings.m_AnnounceInterval;
  auto Announced = m_Server.context().m_Faults.value("stop_announcing") != 0
                       ? kj::Promise<void>(kj::READY_NOW)
                       : kj::evalNow([this] { return announce(); });
  return Announced
      .catch_([this](kj::Exception &&) {
        ++m_HostIndex;
        m_Client = nullptr;
      })
      .then([this, Interval] {
        return m_Server.timer().afterDelay(Interval.count() * kj::MICROSECONDS);
      })
      .then([this] { return announceLoop(); });
}

kj::Promise<void> StandInAnnouncer::announce() {
  const StandInSettings &Settings = m_Server.context().m_Settings;
  const auto Timeout = Settings.m_AnnounceTimeout.count() * kj::MICROSECONDS;
  if (m_Client.get() != nullptr) {
    return m_Server.timer().timeoutAfter(Timeout, post());
  }
  const std::string &Host =
      Settings.m_AnnounceTo[m_HostIndex % Settings.m_AnnounceTo.size()];
  auto Posted = m_Server.network().parseAddress(Host).then(
      [this](kj::Own<kj::NetworkAddress> Address) {
        m_Address = kj::mv(Address);
        m_Client = kj::newHttpClient(m_Server.timer(), m_Headers, *m_Address);
        return post();
      });
  return m_Server.timer().timeoutAfter(Timeout, kj::mv(Posted));
}

kj::Promise<void> StandInAnnouncer::post() {
  m_Body = announcementJson();
  kj::HttpHeaders Headers(m_Headers);
  Headers.set(kj::HttpHeaderId::HOST, "entry");
  Headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  auto Request = m_Client->request(kj::HttpMethod::POST, "/v1/announce",
                                   Headers, m_Body.size());
  auto Written = Request.body->write(m_Body.data(), m_Body.size());
  return Written.attach(kj::mv(Request.body))
      .then([Response = kj::mv(Request.response)]() mutable {
        return kj::mv(Response);
      })
      .then([](kj::HttpClient::Response Response) -> kj::Promise<void> {
        if (Response.statusCode / 100 != 2) {
          return KJ_EXCEPTION(FAILED,
                              "the entry host refused the announcement");
        }
        auto Read = Response.body->readAllBytes();
        return Read.attach(kj::mv(Response.body)).ignoreResult();
      });
}

std::string StandInAnnouncer::announcementJson() const {
  const StandInContext &Context = m_Server.context();
  const StandInSettings &Settings = Context.m_Settings;
  const LogPoint Point = Context.m_Store.point();
  const bool Primary = Context.m_Store.role() == StandInRole::Primary;
  std::ostringstream Json;
  Json << R"({"group":")" << Settings.m_Group << R"(","server":")"
       << Settings.m_Server << R"(","domain":")" << Settings.m_Domain
       << R"(","address":"127.0.0.1","port":)" << m_Server.port()
       << R"(,"role":")" << (Primary ? "primary" : "replica") << R"(","term":)"
       << Point.m_Term.value() << R"(,"position":)" << Point.m_Position.value()
       << R"(,"slots":)" << Settings.m_Slots << R"(,"connections":)"
       << Settings.m_Connections << R"(,"leaving":)"
       << (Context.m_Faults.value("leave") != 0 ? "true" : "false") << "}";
  return Json.str();
}

} // namespace ragwortmux::standin
