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

// Guards against a batch job that runs twice because its acceptance was lost on the way.
Test(JobStore, sameJob_acceptedAgain_isKnown)
{
    JobStore store;
    cr_assert(store.accept(job("j")) == AcceptOutcome::Accepted);
    store.list(JobId("j"), { result("a", "text") });
    cr_assert(store.accept(job("j")) == AcceptOutcome::Known);
    cr_assert(store.find(JobId("j"))->results.size() == 1);
}

// Guards against an item that stands at two positions, or whose result changes after it was read.
Test(JobStore, itemListedTwice_byTwoLeaders_keepsFirstResult)
{
    JobStore store;
    store.accept(job("j"));
    cr_assert(store.list(JobId("j"), { result("b", "first") }) == 1);
    cr_assert(store.list(JobId("j"), { result("b", "second"), result("a", "text") }) == 1);
    const Job& stored = *store.find(JobId("j"));
    cr_assert(stored.results.size() == 2);
    cr_assert(store.load(stored.results[0]).output == "first");
}

// Guards against results of items that the job does not have.
Test(JobStore, foreignItem_listed_isIgnored)
{
    JobStore store;
    store.accept(job("j"));
    cr_assert(store.list(JobId("j"), { result("x", "text") }) == 0);
    cr_assert(store.list(JobId("other"), { result("a", "text") }) == 0);
}

// Guards against memory that grows with bodies nobody may ask for any more, and against bodies dropped too early.
Test(JobStore, body_isKeptUntilItemListedOrJobEnded)
{
    JobStore store;
    store.accept(job("j"));
    const std::size_t before = store.bytes();
    store.list(JobId("j"), { result("a", "") });
    cr_assert(store.findItem(JobId("j"), ItemId("a"))->body.empty());
    cr_assert(store.findItem(JobId("j"), ItemId("b"))->body == "body of b");
    cr_assert(store.bytes() < before);
    store.end(JobId("j"));
    cr_assert(store.findItem(JobId("j"), ItemId("b"))->body.empty());
    store.remove(JobId("j"));
    cr_assert(store.bytes() == 0);
}

// Guards against a snapshot that loses results or the order of jobs.
Test(JobStore, snapshot_restored_isEqual)
{
    JobStore store;
    store.accept(job("second"));
    store.accept(job("first"));
    store.list(JobId("second"), { result("a", "text") });
    JobStore restored;
    restored.restore(store.snapshot());
    cr_assert(restored.jobs().front()->spec.id == JobId("second"));
    cr_assert(restored.hasResult(JobId("second"), ItemId("a")));
    cr_assert(restored.bytes() == store.bytes());
    cr_assert(restored.accept(job("third")) == AcceptOutcome::Accepted);
    cr_assert(restored.jobs().back()->spec.id == JobId("third"));
}

// Guards against a group that comes again and is generated again although its text is stored.
Test(JobStore, itemOfEarlierJob_completed_isFound)
{
    JobStore store;
    store.accept(job("one"));
    store.list(JobId("one"), { result("a", "text"), { ItemId("b"), ResultState::Abandoned, {}, {}, {} } });
    cr_assert(store.findCompleted(ItemId("a"), {})->output == "text");
    cr_assert(!store.findCompleted(ItemId("b"), {}));
}

// Guards against the score of another reward call beside a text that is used again.
Test(JobStore, itemOfEarlierJob_otherRewardCall_scoreIsNotReused)
{
    JobStore store;
    JobSpec spec = job("one");
    spec.items.front().reward = { "r1", "h", "/score/", "body" };
    store.accept(spec);
    const ItemId item = spec.items.front().id;
    store.list(JobId("one"), { { item, ResultState::Completed, "text", { 1 }, "s1" } });
    cr_assert(store.findCompleted(item, { "r1", "h", "/score/", "body" })->score == "s1");
    cr_assert(store.findCompleted(item, { "r2", "h", "/score/", "body" })->score.empty());
    cr_assert(store.bytes() == job("one").items.back().body.size() + 4, "the body of the reward call is still counted");
}

// Guards against empty bytes that are handed out as the body of an item which is listed or whose job has ended.
Test(JobStore, bodyOfItem_listedOrEnded_isNotThere)
{
    JobStore store;
    store.accept(job("one"));
    cr_assert(*store.bodyOf(JobId("one"), ItemId("a")) == job("one").items.front().body);
    store.list(JobId("one"), { result("a", "text") });
    cr_assert(!store.bodyOf(JobId("one"), ItemId("a")));
    cr_assert(store.bodyOf(JobId("one"), ItemId("b")));
    store.end(JobId("one"));
    cr_assert(!store.bodyOf(JobId("one"), ItemId("b")));
    cr_assert(!store.bodyOf(JobId("other"), ItemId("a")));
}

// Guards against failures that a new participant forgets, that fall, or that stay after the item is listed.
Test(JobStore, itemFailures_restored_holdUntilListed)
{
    JobStore store;
    store.accept(job("j"));
    store.noteFailures(JobId("j"), { ItemId("a"), 2, 1 });
    store.noteFailures(JobId("j"), { ItemId("a"), 1, 3 });
    store.noteFailures(JobId("j"), { ItemId("x"), 1, 0 });
    JobStore restored;
    restored.restore(store.snapshot());
    cr_assert(restored.failuresOf(JobId("j"), ItemId("a")) == ItemFailures({ ItemId("a"), 2, 3 }));
    cr_assert(restored.failuresOf(JobId("j"), ItemId("x")) == ItemFailures({ ItemId("x"), 0, 0 }));
    restored.list(JobId("j"), { result("a", "text") });
    cr_assert(restored.find(JobId("j"))->failures.empty());
}
