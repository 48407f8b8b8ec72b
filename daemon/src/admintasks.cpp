// Part of AdminPort that submits, cancels, retries, lists and explains tasks.

#include "adminport.h"
#include "httpstatus.h"
#include "jsontext.h"
#include "wallclock.h"

namespace gooseberry {

namespace {

constexpr int kMaxJobsPerCall = 100000;

} // namespace

// A call can be repeated safely: the names of the tasks derive from the name of
// the submission, and a shard takes each name only once.
auto
AdminPort::SubmitJobs(const RequestContext& aContext) -> void
{
  const auto body = ParseJson(aContext.body);
  RequireNumbersInRange(body);
  const auto classId = body.at("class").get<ClassId>();
  const auto count = body.value("count", 1);
  const auto submission = body.at("submission").get<std::string>();
  const auto current = this->controlPlane.CurrentDocument();
  const auto* spec =
    current->document ? current->document->FindClass(classId) : nullptr;
  if (spec == nullptr || spec->kind != TaskKind::Batch) {
    this->Refuse(aContext,
                 kNotFound,
                 "unknown_class",
                 "no batch class '" + classId.text + "' in the document");
    return;
  }
  if (!this->AuthorizeSection(aContext, spec->team.text)) {
    return;
  }
  const auto hasValidCharacters =
    submission.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
    std::string::npos;
  if (count < 1 || count > kMaxJobsPerCall || submission.empty() ||
      submission.size() > 63 || !hasValidCharacters) {
    this->Refuse(aContext,
                 kBadRequest,
                 "bad_submission",
                 "count must be 1 to 100000 and submission 1 to 63 of a-z, "
                 "0-9 and '-'");
    return;
  }
  auto tasks = std::vector<Task>{};
  auto names = nlohmann::json::array();
  for (auto index = 0; index < count; ++index) {
    const auto id =
      TaskId{ classId.text + "." + submission + "." + std::to_string(index) };
    tasks.push_back(NewTask(id, *spec));
    tasks.back().submissionOrder = static_cast<std::uint64_t>(UnixMillis());
    names.push_back(id);
  }
  const auto shardCount = this->controlPlane.ShardCount();
  if (shardCount == 0 || !this->shardStore.SubmitTasks(tasks, shardCount)) {
    this->Refuse(
      aContext,
      kUnavailable,
      "store_unavailable",
      "some tasks may be submitted; repeat with the same submission");
    return;
  }
  this->controlPlane.NotifyInboxOwners(ShardsOf(tasks, shardCount));
  Reply(aContext, { { "tasks", names } });
}

auto
AdminPort::CancelTask(const RequestContext& aContext) -> void
{
  this->SubmitTaskCommand(aContext, InboxItemKind::Cancel, "cancelling");
}

auto
AdminPort::RetryTask(const RequestContext& aContext) -> void
{
  this->SubmitTaskCommand(aContext, InboxItemKind::Retry, "retrying");
}

auto
AdminPort::SubmitTaskCommand(const RequestContext& aContext,
                             InboxItemKind aKind,
                             const char* aReplyKey) -> void
{
  const auto id = TaskId{ aContext.request.matches[1].str() };
  const auto classId = ClassId{ id.text.substr(0, id.text.find('.')) };
  const auto current = this->controlPlane.CurrentDocument();
  const auto* spec =
    current->document ? current->document->FindClass(classId) : nullptr;
  if (!this->AuthorizeSection(
        aContext, spec == nullptr ? kSiteSection : spec->team.text)) {
    return;
  }
  const auto shardCount = this->controlPlane.ShardCount();
  const auto shard = shardCount == 0 ? 0 : ShardOf(id.text, shardCount);
  if (shardCount == 0 || !this->shardStore.SubmitCommand(aKind, id, shard)) {
    this->Refuse(
      aContext, kUnavailable, "store_unavailable", "repeat the call");
    return;
  }
  this->controlPlane.NotifyInboxOwners({ shard });
  Reply(aContext, { { aReplyKey, id } });
}

// Reads all shards from the store, so that each instance gives the same answer.
auto
AdminPort::ListTasks(const RequestContext& aContext) -> void
{
  const auto phase = aContext.request.get_param_value("phase");
  const auto prefix = aContext.request.get_param_value("prefix");
  auto tasks = nlohmann::json::array();
  for (auto shard = ShardNumber{ 0 }; shard < this->controlPlane.ShardCount();
       ++shard) {
    auto reason = std::string{};
    const auto stored = this->shardStore.LoadShard(shard, reason);
    if (!stored) {
      this->Refuse(aContext, kUnavailable, "store_unavailable", reason);
      return;
    }
    for (const auto& [id, task] : stored->tasks) {
      if (task.phase != TaskPhase::Moved && id.text.starts_with(prefix) &&
          (phase.empty() || phase == ToText(task.phase))) {
        tasks.push_back(task);
      }
    }
  }
  Reply(aContext, { { "tasks", tasks } });
}

// Only the owner of a task's shard knows why the task waits. Other instances
// answer with the administration addresses of the other live members.
auto
AdminPort::ExplainTask(const RequestContext& aContext) -> void
{
  const auto id = TaskId{ aContext.request.matches[1].str() };
  const auto explanation = this->controlPlane.ExplainTask(id);
  if (explanation.found) {
    Reply(aContext, { { "task", id }, { "why", explanation.text } });
    return;
  }
  auto owners = nlohmann::json::array();
  for (const auto& member : this->controlPlane.LiveMembers()) {
    if (member.id != this->controlPlane.OwnId()) {
      owners.push_back(member.adminAddress);
    }
  }
  this->Refuse(aContext, kNotFound, "not_owned_here", { { "ask", owners } });
}

} // namespace gooseberry
