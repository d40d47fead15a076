#include "bench/Measure/Workload.h"

#include <array>

namespace ragwortmux {

namespace {

Workload makeNilerackWorkload() {
  Workload Load;
  Load.m_Name = "nilerack";
  Load.m_GroupPrefix = "portal-db";
  Load.m_Domains = {"nasr-city", "smart-village", "new-capital"};
  Load.m_Slots = 5;
  Load.m_EntryHosts = 7;
  Load.m_OpenDelay = Workload::Milliseconds(12);
  Load.m_DomainDelay = Workload::Milliseconds(3);
  Load.m_ClientDelay = Workload::Milliseconds(3);
  Load.m_Mix = {
      .m_Booking = 3, .m_Write = 4, .m_SessionRead = 13, .m_AgedRead = 80};
  Load.m_RequestsPerSecond = 400;
  return Load;
}

Workload makeHaddowWorkload() {
  Workload Load;
  Load.m_Name = "haddow";
  Load.m_GroupPrefix = "depot-ledger";
  Load.m_Domains = {"launceston", "hobart", "devonport"};
  Load.m_Slots = 3;
  Load.m_EntryHosts = 9;
  Load.m_OpenDelay = Workload::Milliseconds(27);
  Load.m_DomainDelay = Workload::Milliseconds(5);
  Load.m_ClientDelay = Workload::Milliseconds(1);
  Load.m_Mix = {
      .m_Booking = 15, .m_Write = 10, .m_SessionRead = 30, .m_AgedRead = 45};
  Load.m_RequestsPerSecond = 200;
  return Load;
}

} // namespace

std::string_view loadClassName(LoadClass Class) {
  constexpr std::array<std::string_view, LoadClassCount> Names = {
      "booking", "write", "session-read", "aged-read"};
  return Names[static_cast<std::size_t>(Class)];
}

std::optional<Workload> findWorkload(std::string_view Name) {
  if (Name == "nilerack") {
    return makeNilerackWorkload();
  }
  if (Name == "haddow") {
    return makeHaddowWorkload();
  }
  return std::nullopt;
}

} // namespace ragwortmux
