#include "azurepaddle/batch/text_store.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

const ItemId item("i");

TextPart part(std::uint64_t first, std::vector<TextEvent> events)
{
    return { item, first, std::move(events) };
}

TextPart last(std::uint64_t first, std::vector<TextEvent> events)
{
    return { item, first, std::move(events), true };
}

struct StoreFixture {
    TextStore store;
};

}

// Guards against a text with a missing or duplicate event after a change of the leader.
Test(TextStore, partOutOfOrder_added_isIgnored)
{
    TextStore store;
    store.add(part(1, { { "one", 3 } }));
    store.add(part(3, { { "three", 3 } }));
    store.add(part(2, { { "two", 4 } }));
    cr_assert(store.find(item).events == std::vector<TextEvent>({ { "one", 3 }, { "two", 4 } }));
}

// Guards against events of the previous attempt in the text of an item that was restarted.
Test(TextStore, itemRestarted_added_replacesText)
{
    TextStore store;
    store.add(part(1, { { "one", 3 }, { "two", 3 } }));
    store.add(part(1, { { "uno", 4 } }));
    cr_assert(store.find(item).events == std::vector<TextEvent>({ { "uno", 4 } }));
    store.remove(item);
    cr_assert(store.find(item).events.empty());
    cr_assert(store.size() == 0);
}

// Guards against a snapshot without the texts of running items.
Test(TextStore, snapshot_restored_isEqual)
{
    TextStore store;
    store.add(part(1, { { "one", 3 }, { "two", 4 } }));
    TextStore restored;
    restored.restore(store.snapshot());
    cr_assert(restored.find(item) == store.find(item));
}

// Guards against a score that is combined with a text that lacks events.
Test(TextStore, lastPartAfterGap_textIsNotComplete)
{
    StoreFixture fixture;
    fixture.store.add(part(1, { { "one", 3 } }));
    cr_assert(!fixture.store.resultOf({ item, "s", digestOf({ { "one", 3 }, { "two", 4 } }) }));
    fixture.store.add(last(3, { { "three", 3 } }));
    cr_assert(!fixture.store.isComplete(item));
    fixture.store.add(last(2, { { "two", 4 } }));
    const auto result = fixture.store.resultOf({ item, "s", digestOf({ { "one", 3 }, { "two", 4 } }) });
    cr_assert(result == ItemResult({ item, ResultState::Completed, "one\ntwo", { 3, 4 }, "s" }));
}

// Guards against a complete text that is generated again because a snapshot does not record its completeness.
Test(TextStore, completeText_restored_isComplete)
{
    StoreFixture fixture;
    fixture.store.add(last(1, { { "one", 3 } }));
    TextStore restored;
    restored.restore(fixture.store.snapshot());
    cr_assert(restored.isComplete(item));
    restored.add(part(1, { { "again", 4 } }));
    cr_assert(!restored.isComplete(item));
}

// Guards against the score of one text that is combined with another text of the item.
Test(TextStore, otherTextStored_scored_hasNoResult)
{
    StoreFixture fixture;
    fixture.store.add(last(1, { { "one", 3 } }));
    cr_assert(fixture.store.resultOf({ item, "s", digestOf({ { "one", 3 } }) }));
    cr_assert(!fixture.store.resultOf({ item, "s", digestOf({ { "one", 4 } }) }));
    cr_assert(!fixture.store.resultOf({ item, "s", digestOf({ { "other", 3 } }) }));
}

// Guards against a text of two software versions after a change of the leader: their output does not fit together.
Test(TextStore, partOfOtherSoftware_added_isIgnored)
{
    StoreFixture fixture;
    fixture.store.add({ item, 1, { { "one", 3 } }, false, SoftwareVersion("v1") });
    fixture.store.add({ item, 2, { { "two", 3 } }, false, SoftwareVersion("v2") });
    cr_assert(fixture.store.find(item) == TextPart({ item, 1, { { "one", 3 } }, false, SoftwareVersion("v1") }));
}

// Guards against a snapshot after which nobody knows which software generated a text.
Test(TextStore, snapshot_restored_namesSoftware)
{
    StoreFixture fixture;
    fixture.store.add({ item, 1, { { "one", 3 } }, false, SoftwareVersion("v1") });
    TextStore restored;
    restored.restore(fixture.store.snapshot());
    cr_assert(restored.find(item).software == SoftwareVersion("v1"));
}
