#include "decoders.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "accountshares.h"
#include "callerauth.h"
#include "callermessages.h"
#include "cell.h"
#include "document.h"
#include "fleetsettings.h"
#include "httpadviceclient.h"
#include "httptableclient.h"
#include "httpworkerport.h"
#include "learnedstate.h"
#include "members.h"
#include "ownerrow.h"
#include "settings.h"
#include "siterows.h"

namespace gooseberry::fuzz {

namespace {

using namespace cells;

// Ends the process if a decoder's result breaks its promise.
auto
Require(bool aHolds, const char* aWhat) -> void
{
  if (!aHolds) {
    std::fprintf(stderr, "broken: %s\n", aWhat);
    std::abort();
  }
}

// What is decoded survives encoding. Returns what was decoded.
template<class Value>
auto
RequireRoundTrip(const std::string& aBytes,
                 std::optional<Value> (*aDecode)(const std::string&,
                                                 std::string&),
                 std::string (*aEncode)(const Value&)) -> std::optional<Value>
{
  auto reason = std::string{};
  auto value = aDecode(aBytes, reason);
  Require(value.has_value() || !reason.empty(), "no reason");
  if (value) {
    Require(aDecode(aEncode(*value), reason).has_value(), "no round trip");
  }
  return value;
}

// A reply of HTTP with this body.
auto
ReplyWith(int aStatus, const std::string& aBody) -> HttpReply
{
  auto reply = HttpReply{};
  reply.outcome = HttpOutcome::Answered;
  reply.status = aStatus;
  reply.body = aBody;
  return reply;
}

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;

auto
DecodeCallerRequest(const std::string& aBytes) -> void
{
  const auto half = aBytes.size() / 2;
  const auto request = HttpRequest{ "GET",
                                    aBytes.substr(0, half),
                                    { { "Host", aBytes.substr(half) },
                                      { "Deadline-Ms", aBytes.substr(half) },
                                      { "Credential", aBytes.substr(half) } },
                                    "" };
  const auto parsed = wire::ParseCallerRequest(request);
  auto config = SiteConfig{ 1, { { { "queue" } } } };
  config.accounts[{ "account" }] = { { "account" }, { "jobs", "key" } };
  const auto decision =
    fleet::CallerAuth{ {} }.Decide(std::make_shared<const SiteConfig>(config),
                                   config.queues.front(),
                                   parsed.credential,
                                   Micros{ 0 });
  Require((decision.outcome == fleet::AuthOutcome::Allowed) ==
            (config.FindAccount(parsed.credential) != nullptr),
          "keys of the configuration are admitted, and no others");
  wire::ParseCallerOperation(request, parsed.path);
  JobId::Parse(parsed.path);
}

auto
DecodeJob(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  const auto spec = wire::ParseJob(aBytes, reason);
  Require(spec.has_value() || !reason.empty(), "no reason");
  if (spec) {
    auto row = JobRow{ *JobId::Parse("0000000000000001"), { "queue" } };
    row.spec = *spec;
    const auto stored = DecodeJobRow(EncodeJobRow(row), reason);
    Require(stored == row, "a job that is accepted can be read again");
  }
}

auto
DecodeWorkerReport(const std::string& aBytes) -> void
{
  wire::ParseWorkerAnswer({}, ReplyWith(kOk, aBytes));
}

auto
DecodeWorkerRefusal(const std::string& aBytes) -> void
{
  auto call = WorkerCall{};
  call.kind = CallKind::Start;
  wire::ParseWorkerAnswer(call, ReplyWith(kConflict, aBytes));
}

auto
DecodeCommitReply(const std::string& aBytes) -> void
{
  wire::ParseCommitReply(ReplyWith(kPreconditionFailed, aBytes));
}

auto
DecodePageReply(const std::string& aBytes) -> void
{
  wire::ParsePageReply(ReplyWith(kOk, aBytes));
}

auto
DecodeFeedReply(const std::string& aBytes) -> void
{
  wire::ParseFeedReply(ReplyWith(kOk, aBytes));
}

auto
DecodeAdvice(const std::string& aBytes) -> void
{
  wire::ParseAdviceAnswer(1, ReplyWith(kOk, aBytes));
}

auto
DecodeSiteConfig(const std::string& aBytes) -> void
{
  const auto config =
    RequireRoundTrip(aBytes, wire::ParseSiteConfig, wire::SerializeSiteConfig);
  if (!config) {
    return;
  }
  for (const auto& [id, account] : config->accounts) {
    Require(account.weight > 0.0 && !account.keys.empty() && !id.Empty(),
            "an account has a name, keys and a weight");
    for (const auto& key : account.keys) {
      Require(!key.empty() && config->FindAccount(key)->id == id,
              "a key belongs to one account");
    }
  }
}

auto
DecodeWorkerEntry(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  if (const auto entry = wire::ParseWorkerEntry("w", aBytes, reason)) {
    entry->Rack();
    PlanLayout({}, { { entry->id, *entry } }, 1);
  }
}

auto
DecodeStoredJob(const std::string& aBytes) -> void
{
  RequireRoundTrip(aBytes, DecodeJobRow, EncodeJobRow);
}

auto
DecodeStoredOwner(const std::string& aBytes) -> void
{
  RequireRoundTrip(aBytes, DecodeOwnerRow, EncodeOwnerRow);
}

auto
DecodeStoredMember(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  if (const auto row = DecodeMember(aBytes, reason)) {
    auto members = MemberTracker{};
    members.OnRowsRead(Time{ Millis{ 1000 } }, { { *row, 1 } });
    members.OwnerRank(row->instance, "c0");
  }
}

auto
DecodeStoredLayout(const std::string& aBytes) -> void
{
  if (const auto layout = RequireRoundTrip(aBytes, DecodeLayout, EncodeLayout);
      layout && !layout->cells.empty()) {
    layout->HostsOf(layout->cells.front());
    layout->NeighboursOf("unknown");
  }
}

auto
DecodeStoredLoad(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  if (const auto load = DecodeCellLoad(aBytes, reason)) {
    auto job = JobRow{ *JobId::Parse("0000000000000001") };
    job.policy.service = { "pool" };
    job.spec.steps = { StepSpec{ 1 } };
    ChooseCell({ { "c0", "c1" }, {} }, { { "c0", *load } }, job);
  }
}

auto
DecodeDelegationRows(const std::string& aBytes) -> void
{
  RequireRoundTrip(aBytes, DecodeDelegation, EncodeDelegation);
  RequireRoundTrip(aBytes, DecodeDelegationReport, EncodeDelegationReport);
  if (const auto key = ParseDelegationKey(aBytes)) {
    Require(ParseDelegationKey(ToText(*key)) == key, "no round trip of a key");
  }
}

// A cell that is taken over with what its rows hold, and runs for a second.
// What the previous owner had learnt comes once more, from another cell.
auto
RunTakeover(CellTakeover aTakeover) -> void
{
  const auto learned = aTakeover.learnedState;
  auto log = NullDecisionLog{};
  auto now = Time{ Millis{ 1'000'000 } };
  aTakeover.fencingToken = 2;
  aTakeover.now = now;
  auto options = CellOptions{};
  options.learnedRunTimes = true;
  options.secondRuns = true;
  auto cell = Cell{ options, std::move(aTakeover), log };
  auto config = std::make_shared<SiteConfig>();
  config->services.emplace(ServiceId{ "pool" }, Service{ { "pool" } });
  cell.OnConfig(config);
  auto entry = WorkerEntry{ { "w1" }, { "pool" }, "w1:1", { "zone" } };
  entry.capacity = { 64000, 256000, 0 };
  entry.startUnixMs = 1000;
  cell.OnWorkers(now, { { entry.id, entry } });
  for (auto round = 0; round < 10; ++round) {
    cell.OnSiteUpToDate(now);
    cell.OnTick(now, 0);
    for (const auto& call : cell.TakeCalls(now)) {
      auto answer = WorkerAnswer{ call.number, CallOutcome::Done };
      answer.clockMs = SteadyMillis(now);
      answer.workerStartUnixMs = entry.startUnixMs;
      cell.OnWorkerAnswer(now, answer);
    }
    if (const auto batch = cell.NextBatch(now)) {
      cell.OnBatchRecorded(now, batch->number);
    }
    cell.LoadSummary();
    cell.ExportLearnedState(now);
    cell.ExportSharedState(now, Millis{ 10000 });
    if (learned && round == 1) {
      cell.OnPeerLearned(now, Millis{ 0 }, *learned);
    }
    now += Millis{ 100 };
  }
}

// A job of two steps.
auto
KnownJob() -> JobRow
{
  auto row = JobRow{ *JobId::Parse("0000000000000001"), { "queue" } };
  row.policy.service = { "pool" };
  row.policy.maxAttempts = 2;
  row.spec.payload = "payload";
  row.spec.steps = { StepSpec{ 4, { 1000, 1000, 0 }, Millis{ 500 } },
                     StepSpec{ 2, { 1000, 1000, 0 }, Millis{ 500 } } };
  row.spec.steps[1].dependencies = { 0 };
  row.spec.steps[1].bestEffort = true;
  return row;
}

auto
DecodeStoredRecord(const std::string& aBytes) -> void
{
  RequireRoundTrip(aBytes, DecodeJobRecord, EncodeJobRecord);
  auto reason = std::string{};
  if (auto record = DecodeJobRecord(aBytes, reason)) {
    auto takeover = CellTakeover{};
    takeover.jobs.emplace_back(KnownJob(), std::move(*record));
    RunTakeover(std::move(takeover));
  }
}

auto
DecodeStoredLearned(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  if (auto learned = DecodeLearnedState(aBytes, reason)) {
    auto takeover = CellTakeover{};
    takeover.jobs.emplace_back(KnownJob(), std::nullopt);
    takeover.learnedState = std::move(*learned);
    RunTakeover(std::move(takeover));
  }
}

auto
TakeOverStoredJob(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  if (auto job = DecodeJobRow(aBytes, reason)) {
    job->policy.service = { "pool" };
    auto takeover = CellTakeover{};
    takeover.jobs.emplace_back(std::move(*job), std::nullopt);
    RunTakeover(std::move(takeover));
  }
}

auto
TakeOverDelegations(const std::string& aBytes) -> void
{
  auto reason = std::string{};
  auto takeover = CellTakeover{};
  takeover.jobs.emplace_back(KnownJob(), std::nullopt);
  if (auto delegation = DecodeDelegation(aBytes, reason)) {
    takeover.delegated.emplace_back("host", *delegation);
    takeover.hosted.emplace_back("home", *delegation);
    RunTakeover(std::move(takeover));
  } else if (const auto report = DecodeDelegationReport(aBytes, reason)) {
    auto hosted = Delegation{ report->number, KnownJob() };
    hosted.job.id = report->job;
    hosted.tasks = { { 0 }, { 1 } };
    takeover.hosted.emplace_back("home", hosted);
    takeover.ownReports.emplace_back("home", *report);
    takeover.reports.emplace_back("host", *report);
    RunTakeover(std::move(takeover));
  }
}

// The owner of a cell that works with the rows it reads.
auto
DecodeShareRows(const std::string& aBytes) -> void
{
  RequireRoundTrip(aBytes, DecodeSharePool, EncodeSharePool);
  RequireRoundTrip(aBytes, DecodeCellShares, EncodeCellShares);
  const auto account = AccountId{ "account" };
  auto config = SiteConfig{ 1 };
  config.accounts[account] = { account, { "key" }, 1.0, { 9000, 0, 2 } };
  for (const auto* const key : { "pool", "cell/c0", "cell/c1" }) {
    auto shares = AccountShares{ "c0", 1 };
    shares.OnCells({ "c0", "c1" });
    shares.OnConfig(config);
    shares.OnRow(
      { { AccountShares::kTable, AccountShares::kPartition, key }, aBytes, 1 });
    shares.OnAllRowsRead();
    auto demand = AccountDemand{ { 1000, 0, 0 }, { 1000, 0, 0 } };
    for (auto second = 0; second < 3; ++second) {
      if (shares.NextTransaction(Time{ Millis{ second * 1000 } },
                                 { { account, demand } })) {
        shares.OnOutcome(
          { TableStatus::Done, static_cast<std::uint64_t>(second + 2) });
      }
      shares.Usable();
      demand.waiting.cpuMillis *= 3;
    }
  }
}

auto
DecodeFleetSettings(const std::string& aBytes) -> void
{
  auto errors = std::vector<YamlError>{};
  const auto settings = fleet::ParseFleetSettings("input", aBytes, errors);
  Require(settings.has_value() || !errors.empty(), "no error");
  fleet::LooksLikeFleetSettings(aBytes);
}

auto
DecodeSettings(const std::string& aBytes) -> void
{
  auto errors = std::vector<YamlError>{};
  const auto settings = ParseSettings("input", aBytes, errors);
  Require(settings.has_value() || !errors.empty(), "no error");
}

auto
DecodeDocument(const std::string& aBytes) -> void
{
  auto errors = std::vector<YamlError>{};
  auto reason = std::string{};
  for (const auto* const section : { "site", "team-a" }) {
    BuildDocument(1, { { section, { section, 1, aBytes } } }, errors);
  }
  WithDomainState(aBytes, { "zone" }, true, reason);
}

} // namespace

auto
Decoders() -> const std::vector<Decoder>&
{
  static const auto decoders = std::vector<Decoder>{
    { "advice", DecodeAdvice },
    { "caller_request", DecodeCallerRequest },
    { "delegation", DecodeDelegationRows },
    { "delegation_takeover", TakeOverDelegations },
    { "document", DecodeDocument, 32 },
    { "fleet_settings", DecodeFleetSettings },
    { "job", DecodeJob },
    { "job_row", DecodeStoredJob },
    { "job_takeover", TakeOverStoredJob },
    { "layout", DecodeStoredLayout },
    { "learned", DecodeStoredLearned },
    { "load", DecodeStoredLoad },
    { "member", DecodeStoredMember },
    { "owner", DecodeStoredOwner },
    { "record", DecodeStoredRecord },
    { "settings", DecodeSettings, 4 },
    { "shares", DecodeShareRows },
    { "site_config", DecodeSiteConfig },
    { "store_commit", DecodeCommitReply },
    { "store_feed", DecodeFeedReply },
    { "store_page", DecodePageReply },
    { "worker_entry", DecodeWorkerEntry },
    { "worker_refusal", DecodeWorkerRefusal },
    { "worker_report", DecodeWorkerReport },
  };
  return decoders;
}

auto
FindDecoder(const std::string& aName) -> const Decoder*
{
  const auto& decoders = Decoders();
  const auto found = std::find_if(
    decoders.begin(), decoders.end(), [&](const Decoder& aDecoder) {
      return aName == aDecoder.name;
    });
  return found == decoders.end() ? nullptr : &*found;
}

} // namespace gooseberry::fuzz
