#include "azurepaddle/batch/job_store.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

ItemSpec item(const std::string& id)
{
    ItemSpec spec;
    spec.id = ItemId(id);
    spec.body = "body of " + id;
    spec.group = GroupId("g");
    return spec;
}

JobSpec job(const std::string& id)
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.items = { item("a"), item("b") };
    return spec;
}

ItemResult result(const std::string& id, const std::string& output)
{
    return { ItemId(id), ResultState::Completed, output, { 1 } };
}

}

// Guards against a job that runs twice because the reply to its submission was lost and it is submitted again.
Test(JobStore, sameJob_acceptedAgain_keepsResults)
{
    JobStore store;
    cr_assert(store.accept(job("j")) == AcceptOutcome::Accepted);
    store.recordResults(JobId("j"), { result("a", "text") });
    cr_assert(store.accept(job("j")) == AcceptOutcome::AlreadyAccepted);
    cr_assert(store.find(JobId("j"))->results.size() == 1);
}

// Guards against an item with two positions in the results, or with a result that changes after it was read, when two
// successive leaders record it.
Test(JobStore, itemRecordedTwice_byTwoLeaders_keepsFirstResult)
{
    JobStore store;
    store.accept(job("j"));
    cr_assert(store.recordResults(JobId("j"), { result("b", "first") }) == 1);
    cr_assert(store.recordResults(JobId("j"), { result("b", "second"), result("a", "text") }) == 1);
    const Job& stored = *store.find(JobId("j"));
    cr_assert(stored.results.size() == 2);
    cr_assert(store.load(stored.results[0]).output == "first");
}

// Guards against results that are recorded for items which the job does not have, or for unknown jobs.
Test(JobStore, unknownItem_recorded_isIgnored)
{
    JobStore store;
    store.accept(job("j"));
    cr_assert(store.recordResults(JobId("j"), { result("x", "text") }) == 0);
    cr_assert(store.recordResults(JobId("other"), { result("a", "text") }) == 0);
}

// Guards against bodies that stay in memory after the item has a result or the job has ended, and against bodies that
// are released too early.
Test(JobStore, body_itemHasResultOrJobEnded_isReleased)
{
    JobStore store;
    store.accept(job("j"));
    const std::size_t before = store.bytes();
    store.recordResults(JobId("j"), { result("a", "") });
    cr_assert(store.findItem(JobId("j"), ItemId("a"))->body.empty());
    cr_assert(store.findItem(JobId("j"), ItemId("b"))->body == "body of b");
    cr_assert(store.bytes() < before);
    store.end(JobId("j"));
    cr_assert(store.findItem(JobId("j"), ItemId("b"))->body.empty());
    store.remove(JobId("j"));
    cr_assert(store.bytes() == 0);
}

// Guards against a snapshot without the results or the order of jobs.
Test(JobStore, snapshot_restored_isEqual)
{
    JobStore store;
    store.accept(job("second"));
    store.accept(job("first"));
    store.recordResults(JobId("second"), { result("a", "text") });
    JobStore restored;
    restored.restore(store.snapshot());
    cr_assert(restored.jobs().front()->spec.id == JobId("second"));
    cr_assert(restored.hasResult(JobId("second"), ItemId("a")));
    cr_assert(restored.bytes() == store.bytes());
    cr_assert(restored.accept(job("third")) == AcceptOutcome::Accepted);
    cr_assert(restored.jobs().back()->spec.id == JobId("third"));
}

// Guards against items that are generated again in a later job although their text is stored.
Test(JobStore, itemOfEarlierJob_completed_isFound)
{
    JobStore store;
    store.accept(job("one"));
    store.recordResults(JobId("one"), { result("a", "text"), { ItemId("b"), ResultState::Abandoned, {}, {}, {} } });
    cr_assert(store.findCompleted(ItemId("a"), {})->output == "text");
    cr_assert(!store.findCompleted(ItemId("b"), {}));
}

// Guards against a reused text that gets the score of another reward call.
Test(JobStore, itemOfEarlierJob_otherRewardCall_scoreIsNotReused)
{
    JobStore store;
    JobSpec spec = job("one");
    spec.items.front().reward = { "r1", "h", "/score/", "body" };
    store.accept(spec);
    const ItemId item = spec.items.front().id;
    store.recordResults(JobId("one"), { { item, ResultState::Completed, "text", { 1 }, "s1" } });
    cr_assert(store.findCompleted(item, { "r1", "h", "/score/", "body" })->score == "s1");
    cr_assert(store.findCompleted(item, { "r2", "h", "/score/", "body" })->score.empty());
    cr_assert(store.bytes() == job("one").items.back().body.size() + 4, "the body of the reward call is still counted");
}

// Guards against a released body that is returned as an empty body, for an item with a result or in an ended job.
Test(JobStore, bodyOfItem_recordedOrEnded_isNull)
{
    JobStore store;
    store.accept(job("one"));
    cr_assert(*store.bodyOf(JobId("one"), ItemId("a")) == job("one").items.front().body);
    store.recordResults(JobId("one"), { result("a", "text") });
    cr_assert(!store.bodyOf(JobId("one"), ItemId("a")));
    cr_assert(store.bodyOf(JobId("one"), ItemId("b")));
    store.end(JobId("one"));
    cr_assert(!store.bodyOf(JobId("one"), ItemId("b")));
    cr_assert(!store.bodyOf(JobId("other"), ItemId("a")));
}

// Guards against failure counts that are missing in a snapshot, that decrease, or that are kept after the item has a
// result.
Test(JobStore, itemFailures_restored_areKeptUntilRecorded)
{
    JobStore store;
    store.accept(job("j"));
    store.recordFailures(JobId("j"), { ItemId("a"), 2, 1 });
    store.recordFailures(JobId("j"), { ItemId("a"), 1, 3 });
    store.recordFailures(JobId("j"), { ItemId("x"), 1, 0 });
    JobStore restored;
    restored.restore(store.snapshot());
    cr_assert(restored.failuresOf(JobId("j"), ItemId("a")) == ItemFailures({ ItemId("a"), 2, 3 }));
    cr_assert(restored.failuresOf(JobId("j"), ItemId("x")) == ItemFailures({ ItemId("x"), 0, 0 }));
    restored.recordResults(JobId("j"), { result("a", "text") });
    cr_assert(restored.find(JobId("j"))->failures.empty());
}

namespace {

/// An item as encoded by the release before prompts.
struct EarlierItem {
    ItemId id;
    std::string path;
    std::vector<ItemField> fields;
    std::string body;
    GroupId group;
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedTokens = 0;
    RewardCall reward {};

    MSGPACK_DEFINE(id, path, fields, body, group, promptTokens, expectedTokens, reward)
};

}

// Guards against logs and snapshots that the previous release cannot read, or that this one cannot.
Test(ItemSpec, encodedByThisOrPreviousRelease_isReadByBoth)
{
    const ItemSpec item { ItemId("i"), "/p", {}, "body", GroupId("g"), 10, 400, {}, { { 1, 1000 }, { 2, 20 } } };
    cr_assert(codec::decode<ItemSpec>(codec::encode(item)) == item);
    const auto earlier = codec::decode<EarlierItem>(codec::encode(item));
    cr_assert(earlier.has_value() && earlier->group == item.group && earlier->expectedTokens == 400);
    const auto read = codec::decode<ItemSpec>(codec::encode(*earlier));
    cr_assert(read.has_value() && read->prompt.empty() && read->body == "body");
}

// Guards against output of one workspace that is delivered to another which uses the same identifier for an item.
Test(JobStore, itemIdentifierOfAnotherWorkspace_isDetected)
{
    const auto job = [](const char* id, const char* item, const char* workspace) {
        JobSpec spec;
        spec.id = JobId(id);
        spec.workspace = WorkspaceName(workspace);
        spec.items.push_back({ ItemId(item), "/x", {}, "body", GroupId("g") });
        return spec;
    };
    JobStore store;
    store.accept(job("blue-1", "a", "blue"));
    store.accept(job("open-1", "b", ""));
    cr_assert(store.hasItemsOfOthers(job("red-1", "a", "red")));
    cr_assert(!store.hasItemsOfOthers(job("blue-2", "a", "blue")));
    cr_assert(!store.hasItemsOfOthers(job("red-1", "c", "red")));
    cr_assert(!store.hasItemsOfOthers(job("red-1", "b", "red")));
}
