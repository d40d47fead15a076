#include "ragwortmux/Core/ResultCode.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace ragwortmux {

namespace {

constexpr std::array ResultCodes = {
    ResultCodeInfo{ResultCode::Ok, "ok", "00000",
                   "The request was run and its answer is whole."},
    ResultCodeInfo{ResultCode::NotRunNoPrimary, "not-run-no-primary", "57P03",
                   "Not run: the group has no primary at the moment."},
    ResultCodeInfo{
        ResultCode::NotRunQueueFull, "not-run-queue-full", "53300",
        "Not run: the entry's queue or concurrency limit is reached."},
    ResultCodeInfo{ResultCode::NotRunDeadline, "not-run-deadline", "57014",
                   "Not run: the deadline passed before the request was sent."},
    ResultCodeInfo{
        ResultCode::NotRunNoConnection, "not-run-no-connection", "08001",
        "Not run: no connection to a suitable backend server could be had."},
    ResultCodeInfo{ResultCode::NotRunDraining, "not-run-draining", "57P01",
                   "Not run: this proxy is shutting down; connect again."},
    ResultCodeInfo{ResultCode::NotRunTermRefused, "not-run-term-refused",
                   "72000",
                   "Not run: the backend server refused the request's term."},
    ResultCodeInfo{
        ResultCode::NotRunNoLease, "not-run-no-lease", "57P03",
        "Not run: this proxy holds no lease for the group; another proxy may."},
    ResultCodeInfo{ResultCode::NotRunUnknownEntry, "not-run-unknown-entry",
                   "3D000",
                   "Not run: the catalogue has no entry of this name."},
    ResultCodeInfo{ResultCode::NotRunTooOld, "not-run-too-old", "72001",
                   "Not run: no backend server holds data young enough for the "
                   "stated age."},
    ResultCodeInfo{ResultCode::NotRunKeyExpired, "not-run-key-expired", "72002",
                   "Not run: the request key is older than the ledger's "
                   "retention, or lies in the future."},
    ResultCodeInfo{ResultCode::NotRunLedgerUnavailable,
                   "not-run-ledger-unavailable", "57P03",
                   "Not run: the request ledger has no quorum, so the key "
                   "could not be reserved."},
    ResultCodeInfo{
        ResultCode::NotRunRolledBack, "not-run-rolled-back", "40001",
        "Not run: the transaction was rolled back and can no longer commit."},
    ResultCodeInfo{
        ResultCode::NotRunNotCovered, "not-run-not-covered", "72003",
        "Not run: no backend server in reach covers the session's last write."},
    ResultCodeInfo{ResultCode::NotRunKeyInUse, "not-run-key-in-use", "55006",
                   "Not run this time: the same request key is being run; ask "
                   "again for its outcome."},
    ResultCodeInfo{ResultCode::NotRunBadRequest, "not-run-bad-request", "0A000",
                   "Not run: the request is malformed or uses a feature that "
                   "is not supported."},
    ResultCodeInfo{ResultCode::NotRunUnknownStatement,
                   "not-run-unknown-statement", "26000",
                   "Not run: the session has no prepared statement of this "
                   "name."},
    ResultCodeInfo{ResultCode::NotRunCatalogueDiffers,
                   "not-run-catalogue-differs", "57P03",
                   "Not run: the proxy that serves the group has another "
                   "version of the catalogue entry; ask again."},
    ResultCodeInfo{ResultCode::NotRunUnknownKey, "not-run-unknown-key", "28P01",
                   "Not run: the caller's key belongs to no workspace."},
    ResultCodeInfo{ResultCode::NotRunRateLimited, "not-run-rate-limited",
                   "53400",
                   "Not run: the workspace has reached its rate limit."},
    ResultCodeInfo{ResultCode::OutcomeUnknown, "outcome-unknown", "08007",
                   "It is not known whether the request was run."},
    ResultCodeInfo{ResultCode::OutcomeUnknownTermEnded,
                   "outcome-unknown-term-ended", "08007",
                   "It is not known whether the request survives: the "
                   "primary's term ended before the answer."},
    ResultCodeInfo{
        ResultCode::RanAnswerTooLarge, "ran-answer-too-large", "54000",
        "The request was run, but its answer exceeds the entry's size limit."},
    ResultCodeInfo{ResultCode::RanAnswerLost, "ran-answer-lost", "72004",
                   "The request was run once; its answer was lost with the "
                   "proxy that ran it."},
    ResultCodeInfo{
        ResultCode::RanEarlier, "ran-earlier", "72005",
        "The request was run once, earlier; this is the recorded outcome."},
    ResultCodeInfo{ResultCode::RanFailed, "ran-failed", "58000",
                   "The backend server ran the request and reported that it "
                   "failed."},
    ResultCodeInfo{ResultCode::RanTimedOut, "ran-timed-out", "57014",
                   "The backend server ran the request and ended it because it "
                   "took too long."},
    ResultCodeInfo{ResultCode::BadSetting, "bad-setting", "",
                   "A setting is missing or out of range."},
    ResultCodeInfo{ResultCode::BadArgument, "bad-argument", "",
                   "A command-line argument is wrong."},
    ResultCodeInfo{
        ResultCode::CatalogueConflict, "catalogue-conflict", "",
        "Another change took this revision; the answer shows the winner."},
    ResultCodeInfo{ResultCode::CatalogueInvalid, "catalogue-invalid", "",
                   "The entry is not valid."},
    ResultCodeInfo{ResultCode::CatalogueNotFound, "catalogue-not-found", "",
                   "No entry of this name."},
    ResultCodeInfo{ResultCode::NotLeader, "not-leader", "",
                   "This control host does not lead; try another."},
    ResultCodeInfo{ResultCode::Unauthorized, "unauthorized", "28000",
                   "The key or token is missing or wrong."},
    ResultCodeInfo{ResultCode::Unreachable, "unreachable", "",
                   "No process answered in time."},
    ResultCodeInfo{ResultCode::LogCorrupt, "log-corrupt", "",
                   "A control log file is damaged before its end; restore or "
                   "replace this voter."},
    ResultCodeInfo{ResultCode::LogWriteFailed, "log-write-failed", "",
                   "The control log could not be synced."},
    ResultCodeInfo{ResultCode::WrongIdentity, "wrong-identity", "",
                   "The data folder belongs to another voter or cluster."},
};

} // namespace

std::span<const ResultCodeInfo> allResultCodes() { return ResultCodes; }

const ResultCodeInfo &resultCodeInfo(ResultCode Code) {
  const auto *Found =
      std::ranges::find(ResultCodes, Code, &ResultCodeInfo::m_Code);
  assert(Found != ResultCodes.end());
  return *Found;
}

bool isNotRun(ResultCode Code) {
  constexpr std::uint16_t FirstNotRun = 100;
  constexpr std::uint16_t FirstUnknown = 200;
  const auto Number = static_cast<std::uint16_t>(Code);
  return Number > FirstNotRun && Number < FirstUnknown;
}

} // namespace ragwortmux
